package follow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind/internal/provider/follow"
)

// TestOutage: the pattern is a router that was cut off and hears, soon after, that an endpoint has left without notice;
// it must not keep it for the time from then that an entry may take to come back, but from the store's return.
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
		"never away":                     {nil, 0, true},
		"answers only":                   {[]call{{0, true}, {time.Second, true}}, time.Second, true},
		"away":                           {[]call{{0, false}}, 5 * time.Second, false},
		"just back":                      {[]call{{0, false}, {8 * time.Second, true}}, 9900 * time.Millisecond, false},
		"back for a while":               {[]call{{0, false}, {8 * time.Second, true}}, 10 * time.Second, true},
		"later answers change nothing":   {[]call{{0, false}, {8 * time.Second, true}, {9 * time.Second, true}}, 10 * time.Second, true},
		"a long wait before the return":  {[]call{{0, false}, {3 * time.Second, true}}, 3 * time.Second, false},
		"away again":                     {[]call{{0, false}, {8 * time.Second, true}, {9 * time.Second, false}}, 12 * time.Second, false},
		"back again, counted from there": {[]call{{0, false}, {8 * time.Second, true}, {9 * time.Second, false}, {10 * time.Second, true}}, 11 * time.Second, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var o follow.Outage
			for _, one := range c.calls {
				o.Note(one.ok, start.Add(one.at))
			}
			is.New(t).Equal(o.Settled(start.Add(c.at)), c.settled)
		})
	}
}
