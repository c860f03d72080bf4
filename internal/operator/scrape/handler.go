package scrape

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

const prefix = "jaywind_"

var quantiles = []float64{0.5, 0.95, 0.99}

// Handler serves the metrics of a registry.
func Handler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		Write(w, r)
	})
}

// Write writes the metrics of a registry, sorted by name.
func Write(w io.Writer, r metrics.Registry) {
	all := map[string]any{}
	r.Each(func(name string, m any) { all[name] = m })
	names := make([]string, 0, len(all))
	for n := range all {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		writeMetric(w, prefix+strings.NewReplacer(".", "_", "-", "_").Replace(n), all[n])
	}
}

func writeMetric(w io.Writer, name string, m any) {
	switch m := m.(type) {
	case metrics.Counter:
		writeValue(w, name, "counter", float64(m.Count()))
	case metrics.Gauge:
		writeValue(w, name, "gauge", float64(m.Value()))
	case metrics.GaugeFloat64:
		writeValue(w, name, "gauge", m.Value())
	case metrics.Meter:
		writeValue(w, name, "counter", float64(m.Count()))
	case metrics.Histogram:
		writeSummary(w, name, m.Snapshot())
	}
}

func writeValue(w io.Writer, name, kind string, v float64) {
	_, _ = fmt.Fprintf(w, "# TYPE %s %s\n%s %g\n", name, kind, name, v)
}

func writeSummary(w io.Writer, name string, h metrics.Histogram) {
	_, _ = fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for i, v := range h.Percentiles(quantiles) {
		_, _ = fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, quantiles[i], v)
	}
	_, _ = fmt.Fprintf(w, "%s_sum %d\n%s_count %d\n", name, h.Sum(), name, h.Count())
}
