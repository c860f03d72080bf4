package scrape

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

func TestWrite(t *testing.T) {
	tests := map[string]struct {
		metric any
		want   string
	}{
		"counter":     {metric: counter(3), want: "# TYPE jaywind_a_b counter\njaywind_a_b 3\n"},
		"gauge":       {metric: gauge(-2), want: "# TYPE jaywind_a_b gauge\njaywind_a_b -2\n"},
		"histogram":   {metric: histogram(5, 5), want: "jaywind_a_b{quantile=\"0.95\"} 5\n"},
		"its total":   {metric: histogram(5, 5), want: "jaywind_a_b_sum 10\njaywind_a_b_count 2\n"},
		"other kinds": {metric: metrics.NewHealthcheck(nil), want: ""},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := metrics.NewRegistry()
			is.NoErr(r.Register("a.b", c.metric))
			var text strings.Builder
			Write(&text, r)
			is.True(strings.Contains(text.String(), c.want))
		})
	}
}

func counter(n int64) metrics.Counter {
	c := metrics.NewCounter()
	c.Inc(n)
	return c
}

func gauge(n int64) metrics.Gauge {
	g := metrics.NewGauge()
	g.Update(n)
	return g
}

func histogram(values ...int64) metrics.Histogram {
	h := metrics.NewHistogram(metrics.NewUniformSample(10))
	for _, v := range values {
		h.Update(v)
	}
	return h
}
