package hedge_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/hedge"
)

const ms = time.Millisecond

var (
	start = time.Unix(1000, 0)
	key   = hedge.Key{Route: "look", Service: "desk"}
)

// TestDelay guards against a delay that is constant, comes from too few samples, or follows a change only after many seconds.
func TestDelay(t *testing.T) {
	spread := func(from, to time.Duration) func(i int) time.Duration {
		return func(i int) time.Duration { return from + (to-from)*time.Duration(i%20)/20 }
	}
	type phase struct {
		length    time.Duration
		perSecond int
		took      func(i int) time.Duration
	}
	tests := map[string]struct {
		phases   []phase
		wait     time.Duration // after the last sample
		min, max time.Duration // of the delay; 0 for none
	}{
		"none":               {},
		"too few":            {phases: []phase{{19 * time.Second, 1, spread(10*ms, 30*ms)}}},
		"one per second":     {phases: []phase{{29 * time.Second, 1, spread(10*ms, 30*ms)}}, min: 27 * ms, max: 30 * ms},
		"usual":              {phases: []phase{{5 * time.Second, 20, spread(10*ms, 30*ms)}}, min: 27 * ms, max: 30 * ms},
		"rises in 1 s":       {phases: []phase{{20 * time.Second, 20, spread(10*ms, 30*ms)}, {time.Second, 20, spread(100*ms, 300*ms)}}, min: 100 * ms, max: 300 * ms},
		"falls in 6 s":       {phases: []phase{{20 * time.Second, 20, spread(100*ms, 300*ms)}, {6 * time.Second, 20, spread(10*ms, 30*ms)}}, min: 27 * ms, max: 30 * ms},
		"a pause in 50":      {phases: []phase{{5 * time.Second, 20, func(i int) time.Duration { return 20*ms + time.Second*time.Duration(i%50/49) }}}, min: 20 * ms, max: 20 * ms},
		"samples are old":    {phases: []phase{{5 * time.Second, 20, spread(10*ms, 30*ms)}}, wait: 31 * time.Second},
		"samples become old": {phases: []phase{{5 * time.Second, 20, spread(10*ms, 30*ms)}}, wait: 20 * time.Second, min: 27 * ms, max: 30 * ms},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var l hedge.Learner
			now := start
			for _, p := range c.phases {
				for i := range int(p.length.Seconds() * float64(p.perSecond)) {
					l.Add(key, "e1", p.took(i), now)
					now = now.Add(time.Second / time.Duration(p.perSecond))
				}
			}
			got, learned := l.Delay(key, now.Add(c.wait))
			t.Log(got)
			is.Equal(learned, c.max > 0)
			is.True(got >= c.min && got <= c.max)
		})
	}
}

// TestSlowEndpoints guards against a slow endpoint that raises the delay to its own answer time, so that its calls are never
// hedged; and against a service of which all endpoints count as slow.
func TestSlowEndpoints(t *testing.T) {
	tests := map[string]struct {
		factors []int // of the answer times of the endpoints
		slow    []bool
		max     time.Duration
	}{
		"equal":       {[]int{1, 1, 1, 1}, []bool{false, false, false, false}, 40 * ms},
		"one of four": {[]int{1, 8, 1, 1}, []bool{false, true, false, false}, 40 * ms},
		"two of four": {[]int{8, 8, 1, 1}, []bool{true, true, false, false}, 40 * ms},
		"one of two":  {[]int{1, 8}, []bool{false, true}, 40 * ms},
		"all":         {[]int{8, 8, 8, 8}, []bool{false, false, false, false}, 320 * ms},
		"only one":    {[]int{8}, []bool{false}, 320 * ms},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var l hedge.Learner
			random := rand.New(rand.NewPCG(1, 2))
			now := start
			for i := range 100 {
				n := i % len(c.factors)
				l.Add(key, jaywind.EndpointID(fmt.Sprint(n)), time.Duration(c.factors[n])*(20*ms+time.Duration(random.Int64N(int64(20*ms)))), now)
				now = now.Add(50 * ms)
			}
			got, learned := l.Delay(key, now)
			is.True(learned)
			is.True(got <= c.max && got > c.max/2)
			for n, want := range c.slow {
				is.Equal(l.Slow(key, jaywind.EndpointID(fmt.Sprint(n)), now), want)
			}
		})
	}
}

// TestMemoryIsBounded guards against a learner that grows with the routes that configurations have had.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	var l hedge.Learner
	now := start
	for i := range 1000 {
		for range 20 {
			l.Add(hedge.Key{Route: jaywind.Route(fmt.Sprint(i))}, "e1", 10*ms, now)
			now = now.Add(ms)
		}
	}
	known := 0
	for i := range 1000 {
		if _, learned := l.Delay(hedge.Key{Route: jaywind.Route(fmt.Sprint(i))}, now); learned {
			known++
		}
	}
	is.Equal(known, 256)
}
