// Package scrape exposes a go-metrics registry over HTTP in the Prometheus text
// format.
//
//	http.Handle("/metrics", scrape.Handler(registry))
//
// It writes counters, gauges, meters and histograms; a meter becomes a counter,
// and a histogram a summary with its quantiles.
package scrape
