package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind/internal/core/retry"
)

// TestSharers: routers leave and others take their place. The test fails if the parts of the budget grow while the spending of one that has left
// still counts, or stay small for good.
func TestSharers(t *testing.T) {
	const window = 10 * time.Second
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		counts map[time.Duration]int
		at     time.Duration
		want   int
	}{
		"none known":             {nil, 0, 1},
		"constant":               {map[time.Duration]int{0: 8}, time.Minute, 8},
		"one has left":           {map[time.Duration]int{0: 8, 20 * time.Second: 7}, 25 * time.Second, 8},
		"one has left long ago":  {map[time.Duration]int{0: 8, 20 * time.Second: 7}, 31 * time.Second, 7},
		"one has joined":         {map[time.Duration]int{0: 8, 20 * time.Second: 9}, 20 * time.Second, 9},
		"in turn":                {map[time.Duration]int{0: 8, 20 * time.Second: 7, 24 * time.Second: 8, 28 * time.Second: 7}, 29 * time.Second, 8},
		"in turn, and then less": {map[time.Duration]int{0: 8, 20 * time.Second: 7, 24 * time.Second: 8, 28 * time.Second: 7}, 39 * time.Second, 7},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var s retry.Sharers
			for at := time.Duration(0); at <= c.at; at += time.Second {
				if n, changes := c.counts[at]; changes {
					s.Set(n, start.Add(at))
				}
				s.Most(start.Add(at), window) // as calls ask for it all the time
			}
			is.New(t).Equal(s.Most(start.Add(c.at), window), c.want)
		})
	}
}
