// Package scrape writes a go-metrics registry in the text format that the usual
// scrapers read over HTTP.
//
//	http.Handle("/metrics", scrape.Handler(registry))
//
// Counters, gauges, meters and histograms are written; a histogram becomes a
// summary with its quantiles.
package scrape
