package follow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind/internal/provider/follow"
)

// TestOutage: a router regains the store and soon after sees the deletion of an endpoint's entry. The test fails if the grace
// period does not count from the return of the store: counted from the deletion, it would keep the endpoint for too long.
func TestOutage(t *testing.T) {
	start := time.Unix(1000, 0)
	type call struct {
		at time.Duration
		ok bool
	}
	tests := map[string]struct {
		calls   []call
		at      time.Duration
		settled bool
	}{
		"never unavailable":              {nil, 0, true},
		"answers only":                   {[]call{{0, true}, {time.Second, true}}, time.Second, true},
		"unavailable":                    {[]call{{0, false}}, 5 * time.Second, false},
		"just available again":           {[]call{{0, false}, {8 * time.Second, true}}, 9900 * time.Millisecond, false},
		"available for the grace period": {[]call{{0, false}, {8 * time.Second, true}}, 10 * time.Second, true},
		"later answers change nothing":   {[]call{{0, false}, {8 * time.Second, true}, {9 * time.Second, true}}, 10 * time.Second, true},
		"at the return":                  {[]call{{0, false}, {3 * time.Second, true}}, 3 * time.Second, false},
		"unavailable again":              {[]call{{0, false}, {8 * time.Second, true}, {9 * time.Second, false}}, 12 * time.Second, false},
		"counted from the second return": {[]call{{0, false}, {8 * time.Second, true}, {9 * time.Second, false}, {10 * time.Second, true}}, 11 * time.Second, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var o follow.OutageTracker
			for _, one := range c.calls {
				o.Record(one.ok, start.Add(one.at))
			}
			is.New(t).Equal(o.Recovered(start.Add(c.at)), c.settled)
		})
	}
}
