package table

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDurations fails if the quantile of durations that several routers have counted is not that of all of them.
func TestDurations(t *testing.T) {
	tests := map[string]struct {
		counted [][]time.Duration // by each router
		want    time.Duration     // 0 for too few
	}{
		"none":              {nil, 0},
		"too few":           {[][]time.Duration{{1000}, {1000}}, 0},
		"few at each":       {[][]time.Duration{{1, 2, 3}, {4, 5, 6}, {7, 8, 9}, {10}}, 10},
		"one of 20 is long": {[][]time.Duration{{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, {1, 1, 1, 1, 1, 1, 1, 1, 1, 50}}, 1},
		"two of 20 are":     {[][]time.Duration{{1, 1, 1, 1, 1, 1, 1, 1, 1, 50}, {1, 1, 1, 1, 1, 1, 1, 1, 1, 50}}, 50},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var all Durations
			for _, counted := range c.counted {
				var d Durations
				for _, v := range counted {
					d.Observe(v * time.Millisecond)
				}
				all.Add(d)
			}
			got, ok := all.High()
			is.Equal(ok, c.want > 0)
			is.True(got >= c.want*time.Millisecond && got <= c.want*time.Millisecond*11/10) // an upper bound
		})
	}
}

// TestDurationsFade fails if durations of long ago outweigh those of now.
func TestDurationsFade(t *testing.T) {
	var d Durations
	for range 10 * maxDurations {
		d.Observe(time.Second)
	}
	for range 10 * maxDurations {
		d.Observe(time.Millisecond)
	}
	high, ok := d.High()
	is.New(t).True(ok && high < 2*time.Millisecond)
}
