package table

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestGapsFollowTheHighQuantile(t *testing.T) {
	const steady = 30 * time.Millisecond
	tests := map[string]struct {
		gap      func(i int, r *rand.Rand) time.Duration
		low, cap time.Duration
	}{
		"steady": {
			gap: func(int, *rand.Rand) time.Duration { return steady },
			low: steady * 3 / 4, cap: steady * 5 / 4,
		},
		"one in a thousand is long": {
			gap: func(i int, _ *rand.Rand) time.Duration {
				if i%1000 == 0 {
					return time.Second
				}
				return steady
			},
			low: steady * 3 / 4, cap: steady * 2,
		},
		"one in twenty is long": {
			gap: func(_ int, r *rand.Rand) time.Duration {
				if r.IntN(20) == 0 {
					return 10 * steady
				}
				return steady
			},
			low: 5 * steady, cap: 20 * steady,
		},
		"slows down": {
			gap: func(i int, _ *rand.Rand) time.Duration {
				if i < 5000 {
					return steady
				}
				return 5 * steady
			},
			low: 4 * steady, cap: 7 * steady,
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(1, 1))
			var g GapQuantile
			is.Equal(g.P99(), time.Duration(0))
			for i := range 10000 {
				g.Observe(c.gap(i, r))
			}
			t.Logf("high: %v", g.P99())
			is.True(g.P99() >= c.low)
			is.True(g.P99() <= c.cap)
		})
	}
}
