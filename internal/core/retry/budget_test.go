package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jaywind/internal/core/retry"
)

func TestTake(t *testing.T) {
	tests := map[string]struct {
		requests, routers int
		wait              time.Duration // between the requests and the retries
		want              int
	}{
		"spare alone":           {requests: 0, routers: 1, want: 80},
		"spare of ten routers":  {requests: 0, routers: 10, want: 8},
		"share of the requests": {requests: 100, routers: 10, want: 48},
		"requests of long ago":  {requests: 100, routers: 10, wait: 11 * time.Second, want: 8},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			b := retry.Budget{Ratio: 0.5, Reserve: 100, Window: 10 * time.Second}
			now := time.Unix(1000, 0)
			for range c.requests {
				b.RecordRequest(now)
			}
			now = now.Add(c.wait)
			got := 0
			for range 1000 {
				if b.Take(now, c.routers) {
					got++
				}
			}
			is.New(t).Equal(got, c.want)
		})
	}
}

// TestFleetStaysInBudget checks that several routers together never exceed the budget in any window,
// for any order of requests and retries.
func TestFleetStaysInBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const routers = 3
		fleet := make([]retry.Budget, routers)
		for i := range fleet {
			fleet[i] = retry.Budget{Ratio: 0.5, Reserve: 30, Window: 10 * time.Second}
		}
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			b := &fleet[rapid.IntRange(0, routers-1).Draw(t, "router")]
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest(now)
				requests = append(requests, now)
			} else if b.Take(now, routers) {
				retries = append(retries, now)
			}
			since := func(all []time.Time, span time.Duration) (n int) {
				for _, at := range all {
					if now.Sub(at) < span {
						n++
					}
				}
				return n
			}
			if got, limit := since(retries, 10*time.Second), 0.5*float64(since(requests, 10500*time.Millisecond))+30; float64(got) > limit {
				t.Fatalf("%d retries, %.1f allowed", got, limit)
			}
		}
	})
}

// TestAllRoutersRestart guards against a budget that is spent twice when all routers are killed after
// spending it: the new processes don't know the earlier retries, and the budget must hold.
func TestAllRoutersRestart(t *testing.T) {
	is := is.New(t)
	const routers, requests, spare = 8, 12, 150
	budget := retry.Budget{Ratio: 0.8, Reserve: spare, Window: 10 * time.Second}
	now := time.Unix(1000, 0)
	spend := func() (spent int) {
		for range routers {
			b := budget
			for range requests {
				b.RecordRequest(now)
			}
			for b.Take(now, routers) {
				spent++
			}
		}
		return spent
	}
	spent := spend()
	is.True(spent > spare)
	for range 6 { // a kill at any time within the window leaves only the rest of the budget
		now = now.Add(1500 * time.Millisecond)
		budget.Started = now
		is.True(float64(spent+spend()) <= 0.8*2*routers*requests+spare)
	}
	now = now.Add(10 * time.Second)
	is.Equal(spend(), spent) // the full budget is available one window later
}

// TestLeft guards against hedges that spend the retries which failures need: they stop at half of what is left.
func TestLeft(t *testing.T) {
	tests := map[string]struct {
		reserve        float64
		taken, routers int // retries, and routers that share the budget
		want           float64
	}{
		"unused":                      {100, 0, 1, 1},
		"half":                        {100, 40, 1, 0.5},
		"spent":                       {100, 80, 1, 0},
		"less than one retry":         {100, 0, 200, 0},
		"part of several":             {100, 4, 10, 0.5},
		"no budget":                   {0, 0, 1, 0},
		"refused ones are no retries": {100, 1000, 1, 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			b := retry.Budget{Reserve: c.reserve, Window: 10 * time.Second}
			now := time.Unix(1000, 0)
			for range c.taken {
				b.Take(now, c.routers)
			}
			is.New(t).Equal(b.Left(now, c.routers), c.want)
		})
	}
}
