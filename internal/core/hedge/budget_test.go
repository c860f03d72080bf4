package hedge_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jaywind/internal/core/hedge"
)

// TestTake guards against hedges in situations in which extra work does harm, and against a denial without a reason.
func TestTake(t *testing.T) {
	alone := hedge.Part{Routers: 1}
	tests := map[string]struct {
		share       float64
		requests    int
		noRoom      time.Duration // before the hedge; 0 for never
		wait        time.Duration // after the requests
		retriesLeft float64
		want        int // hedges
		denial      hedge.Denial
	}{
		"share":                 {share: 0.05, requests: 100, retriesLeft: 1, want: 4, denial: hedge.DeniedShare},
		"whole hedges only":     {share: 0.05, requests: 49, retriesLeft: 1, want: 1, denial: hedge.DeniedShare},
		"too few requests":      {share: 0.05, requests: 24, retriesLeft: 1, denial: hedge.DeniedShare},
		"off":                   {share: 0, requests: 100, retriesLeft: 1, denial: hedge.DeniedOff},
		"old requests":          {share: 0.05, requests: 100, wait: 10 * time.Second, retriesLeft: 1, denial: hedge.DeniedShare},
		"half of the retries":   {share: 0.05, requests: 100, retriesLeft: 0.5, want: 4, denial: hedge.DeniedShare},
		"less than half":        {share: 0.05, requests: 100, retriesLeft: 0.49, denial: hedge.DeniedRetries},
		"refused 1 s before":    {share: 0.05, requests: 100, noRoom: time.Second, retriesLeft: 1, denial: hedge.DeniedNoRoom},
		"refused 2 s before":    {share: 0.05, requests: 100, noRoom: 2 * time.Second, retriesLeft: 1, want: 4, denial: hedge.DeniedShare},
		"refused, few retries":  {share: 0.05, requests: 100, noRoom: time.Second, denial: hedge.DeniedNoRoom},
		"margin":                {share: 1, requests: 7, retriesLeft: 1, want: 5, denial: hedge.DeniedShare},
		"no request in process": {share: 0.2, retriesLeft: 1, denial: hedge.DeniedShare},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := hedge.Budget{Share: c.share}
			now := start
			for range c.requests {
				b.RecordRequest(now)
			}
			now = now.Add(c.wait)
			if c.noRoom > 0 {
				b.RecordNoRoom(now.Add(-c.noRoom))
			}
			got := 0
			for b.Take(now, alone, c.retriesLeft) == hedge.Allowed {
				got++
			}
			is.Equal(got, c.want)
			is.Equal(b.Take(now, alone, c.retriesLeft), c.denial)
		})
	}
}

// TestShareInEachWindow guards against hedges beyond the share in any window of 10 s that ends with a hedge, for any sequence of
// requests and hedges at one router.
func TestShareInEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.01, 0.2).Draw(t, "share")
		b := hedge.Budget{Share: share}
		now := start
		var requests, hedges []time.Time
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * ms)
			if rapid.IntRange(0, 2).Draw(t, "kind") > 0 {
				b.RecordRequest(now)
				requests = append(requests, now)
				continue
			}
			if b.Take(now, hedge.Part{Routers: 1}, 1) != hedge.Allowed {
				continue
			}
			hedges = append(hedges, now)
			if got, limit := within(hedges, now), share*float64(within(requests, now)); float64(got) > limit+1e-6 {
				t.Fatalf("%d hedges, %.2f allowed", got, limit)
			}
		}
	})
}

// within returns how many times are at most 10 s before now.
func within(all []time.Time, now time.Time) (n int) {
	for _, at := range all {
		if now.Sub(at) < hedge.Window {
			n++
		}
	}
	return n
}

// TestFleetKeepsShare guards against routers with few requests that together exceed the share, as each of them rounds its part up;
// and against routers that can never hedge, as each rounds it down. All routers try to hedge each request.
func TestFleetKeepsShare(t *testing.T) {
	tests := map[string]struct {
		routers   int
		perSecond float64 // requests at each router
		share     float64
		used      float64 // least part of the share that is used
		slack     int     // hedges beyond the share in a window, as the requests of so few routers vary between windows
	}{
		"large routers":       {10, 15, 0.05, 0.6, 0},
		"few requests":        {81, 1.2, 0.05, 0.4, 0},
		"very few requests":   {370, 0.3, 0.05, 0.2, 0},
		"some requests":       {62, 3.9, 0.05, 0.6, 0},
		"the highest share":   {300, 1.2, 0.2, 0.6, 0},
		"a prime of routers":  {61, 1, 0.1, 0.3, 0},
		"three small routers": {3, 1, 0.1, 0.3, 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(3, 4))
			fleet := make([]hedge.Budget, c.routers)
			hedgesOf := make([]int, c.routers)
			var requests, hedges []time.Time
			sent, worst := 0, 0.0
			const step, length = 50 * ms, 300 * time.Second
			for now := start; now.Sub(start) < length; now = now.Add(step) {
				for i := range fleet {
					fleet[i].Share = c.share
					if random.Float64() >= c.perSecond*step.Seconds() {
						continue
					}
					fleet[i].RecordRequest(now)
					requests = append(requests, now)
					if now.Sub(start) > hedge.Window && fleet[i].Take(now, hedge.Part{Index: i, Routers: c.routers}, 1) == hedge.Allowed {
						hedges = append(hedges, now)
						hedgesOf[i]++
						sent++
					}
				}
				requests, hedges = since(requests, now), since(hedges, now)
				if len(hedges) > 0 {
					worst = max(worst, (float64(len(hedges)-c.slack))/float64(len(requests)))
				}
			}
			idle := 0
			for _, n := range hedgesOf {
				if n == 0 {
					idle++
				}
			}
			limit := c.share * c.perSecond * float64(c.routers) * (length - hedge.Window).Seconds()
			t.Logf("worst window %.4f, %.2f of the share used, %d routers without a hedge", worst, float64(sent)/limit, idle)
			is.True(worst <= c.share)
			is.True(float64(sent) >= c.used*limit)
			is.True(idle <= c.routers/10)
		})
	}
}

// since returns the times that are less than 10 s before now.
func since(all []time.Time, now time.Time) []time.Time {
	for len(all) > 0 && now.Sub(all[0]) >= hedge.Window {
		all = all[1:]
	}
	return all
}
