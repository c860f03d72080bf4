package endpoint_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/endpoint"
)

// TestChooseHedge guards against a second attempt in the failure domain of the first one, or at an endpoint that is as slow, full or
// failed. The first attempt runs at e1 in domain a; e2 is in a as well, e3 and e4 are in b.
func TestChooseHedge(t *testing.T) {
	tests := map[string]struct {
		prepare func(t *endpoint.Table)
		avoid   []jaywind.EndpointID
		slow    jaywind.EndpointID
		want    jaywind.EndpointID // no endpoint if empty
	}{
		"less work":           {prepare: func(t *endpoint.Table) { t.StartCall(t.Get("e3"), need(10)) }, want: "e4"},
		"avoided":             {avoid: []jaywind.EndpointID{"e4"}, want: "e3"},
		"all avoided":         {avoid: []jaywind.EndpointID{"e3", "e4"}},
		"slow":                {slow: "e3", want: "e4"},
		"slow and avoided":    {avoid: []jaywind.EndpointID{"e4"}, slow: "e3"},
		"failed":              {prepare: func(t *endpoint.Table) { t.RecordFailure(t.Get("e3"), start) }, want: "e4"},
		"missing":             {prepare: func(t *endpoint.Table) { t.MarkMissing("e4", start) }, want: "e3"},
		"paused":              {prepare: func(t *endpoint.Table) { t.Pause(t.Get("e4"), time.Second, start) }, want: "e3"},
		"held":                {prepare: func(t *endpoint.Table) { t.Hold(t.Get("e4"), false, start.Add(time.Second), start) }, want: "e3"},
		"leaving":             {prepare: func(t *endpoint.Table) { t.MarkLeaving("e3", 1) }, want: "e4"},
		"no slot is free":     {prepare: func(t *endpoint.Table) { fill(t, "e3") }, want: "e4"},
		"no slot is free yet": {prepare: func(t *endpoint.Table) { fill(t, "e3"); fill(t, "e4") }},
		"domain has failed": {prepare: func(t *endpoint.Table) {
			t.RecordFailure(t.Get("e3"), start)
			t.RecordFailure(t.Get("e4"), start)
			t.RecordSuccess(t.Get("e3"))
		}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var all endpoint.Table
			for n, d := range map[int]jaywind.Domain{1: "a", 2: "a", 3: "b", 4: "b"} {
				e := entry(n, d)
				e.Service = plain.Name
				all.Set(e)
			}
			if c.prepare != nil {
				c.prepare(&all)
			}
			slow := func(e *endpoint.Endpoint) bool { return e.ID == c.slow }
			got := all.ChooseHedge(plain, all.Get("e1"), endpoint.Requirements{Avoid: c.avoid}, slow, start)
			if got == nil {
				is.New(t).Equal(c.want, jaywind.EndpointID(""))
				return
			}
			is.New(t).Equal(got.ID, c.want)
		})
	}
}

// fill starts calls in all slots of an endpoint.
func fill(t *endpoint.Table, id jaywind.EndpointID) {
	for range t.Get(id).Slots {
		t.StartCall(t.Get(id), endpoint.Requirements{})
	}
}
