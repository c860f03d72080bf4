package endpoint_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/endpoint"
)

// wideTable returns engines e1 to e5 in domain a, e6 to e8 in domain b and e9 and e10 in domain c.
func wideTable() *endpoint.Table {
	t := &endpoint.Table{}
	for n := 1; n <= 10; n++ {
		t.Set(entry(n, jaywind.Domain("aaaaabbbcc"[n-1:n])))
	}
	return t
}

// ids returns the ids of engines from a number to another one, except some.
func ids(from, to int, except ...jaywind.EndpointID) (all []jaywind.EndpointID) {
	for n := from; n <= to; n++ {
		if id := entry(n, "").ID; !slices.Contains(except, id) {
			all = append(all, id)
		}
	}
	return all
}

func idsOf(all []*endpoint.Endpoint) (found []jaywind.EndpointID) {
	for _, e := range all {
		found = append(found, e.ID)
	}
	return found
}

// fail records failures of engines, as this router or another one has seen them.
func fail(t *endpoint.Table, remote bool, at time.Time, all ...jaywind.EndpointID) {
	for _, id := range all {
		if remote {
			t.RecordRemoteFailure(t.Get(id), false, at)
			continue
		}
		t.RecordFailure(t.Get(id), at)
	}
}

// TestSchedulable guards against an owner that assigns runs to the rest of a failure domain which is being lost, and against one that
// closes a whole domain, with a third of the capacity, for a few single failures.
func TestSchedulable(t *testing.T) {
	tests := map[string]struct {
		prepare func(t *endpoint.Table)
		after   time.Duration
		want    []jaywind.EndpointID
	}{
		"all alike":                     {func(*endpoint.Table) {}, 0, ids(1, 10)},
		"one failure":                   {func(t *endpoint.Table) { fail(t, false, start, "e1") }, 0, ids(2, 10)},
		"two single failures":           {func(t *endpoint.Table) { fail(t, false, start, "e1", "e2") }, 0, ids(3, 10)},
		"two in different domains":      {func(t *endpoint.Table) { fail(t, false, start, "e1", "e6") }, 0, ids(2, 10, "e6")},
		"three of five":                 {func(t *endpoint.Table) { fail(t, false, start, "e1", "e2", "e3") }, 0, ids(6, 10)},
		"three of five, seen by others": {func(t *endpoint.Table) { fail(t, true, start, "e1", "e2", "e3") }, 0, ids(6, 10)},
		"three of five, no longer":      {func(t *endpoint.Table) { fail(t, true, start, "e1", "e2", "e3") }, 800 * time.Millisecond, ids(1, 10)},
		"three, one works again":        {func(t *endpoint.Table) { fail(t, false, start, "e1", "e2", "e3"); t.RecordSuccess(t.Get("e2")) }, 0, ids(1, 10, "e1", "e3")},
		"all of a small domain":         {func(t *endpoint.Table) { fail(t, false, start, "e9", "e10") }, 0, ids(1, 8)},
		"one of a small domain":         {func(t *endpoint.Table) { fail(t, false, start, "e9") }, 0, ids(1, 10, "e9")},
		"missing ones count as failed":  {func(t *endpoint.Table) { fail(t, false, start, "e1", "e2"); t.MarkMissing("e3", start) }, 0, ids(6, 10)},
		"missing":                       {func(t *endpoint.Table) { t.MarkMissing("e3", start) }, 0, ids(1, 10, "e3")},
		"leaving":                       {func(t *endpoint.Table) { t.MarkLeaving("e3", 1) }, 0, ids(1, 10, "e3")},
		"leaving ones have not failed":  {func(t *endpoint.Table) { t.MarkLeaving("e1", 1); t.MarkLeaving("e2", 1); t.MarkLeaving("e3", 1) }, 0, ids(4, 10)},
		"paused":                        {func(t *endpoint.Table) { t.Pause(t.Get("e3"), time.Second, start) }, 0, ids(1, 10, "e3")},
		"all have failed":               {func(t *endpoint.Table) { fail(t, true, start, ids(1, 10)...) }, 0, nil},
		"domain of more than the others": {func(t *endpoint.Table) {
			t.Set(entry(11, "b"))
			t.Set(entry(12, "b"))
			fail(t, false, start, "e6", "e7")
		}, 0, ids(1, 12, "e6", "e7")},
		"three of eight": {func(t *endpoint.Table) {
			for n := 11; n <= 15; n++ {
				t.Set(entry(n, "b"))
			}
			fail(t, false, start, "e6", "e7", "e8")
		}, 0, ids(1, 15, "e6", "e7", "e8")},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := wideTable()
			c.prepare(table)
			got := idsOf(table.Schedulable(engine, start.Add(c.after)))
			slices.Sort(got)
			slices.Sort(c.want)
			is.Equal(got, c.want)
		})
	}
	is.New(t).Equal(len((&endpoint.Table{}).Schedulable(engine, start)), 0)
}

// TestRemoteFailure guards against an endpoint that stays closed for ever longer, or a failure domain that is avoided, because of what
// other routers report: their successes are not reported.
func TestRemoteFailure(t *testing.T) {
	const last = 4 * time.Second
	tests := map[string]struct {
		record func(t *endpoint.Table, e *endpoint.Endpoint)
		closed time.Duration // after the start
	}{
		"once":   {func(t *endpoint.Table, e *endpoint.Endpoint) { t.RecordRemoteFailure(e, false, start) }, 800 * time.Millisecond},
		"absent": {func(t *endpoint.Table, e *endpoint.Endpoint) { t.RecordRemoteFailure(e, true, start) }, last},
		"many at once": {func(t *endpoint.Table, e *endpoint.Endpoint) {
			for range 20 {
				t.RecordRemoteFailure(e, false, start)
			}
		}, 800 * time.Millisecond},
		"many, one after the other": {func(t *endpoint.Table, e *endpoint.Endpoint) {
			for i := range 5 {
				t.RecordRemoteFailure(e, false, start.Add(time.Duration(i)*time.Second-last))
			}
		}, 800 * time.Millisecond},
		"absent while it is closed": {func(t *endpoint.Table, e *endpoint.Endpoint) {
			t.RecordRemoteFailure(e, false, start.Add(-100*time.Millisecond))
			t.RecordRemoteFailure(e, true, start)
		}, last},
		"again while it is closed": {func(t *endpoint.Table, e *endpoint.Endpoint) {
			t.RecordRemoteFailure(e, false, start)
			t.RecordRemoteFailure(e, false, start.Add(700*time.Millisecond))
		}, 800 * time.Millisecond},
		"after a longer pause of this router": {func(t *endpoint.Table, e *endpoint.Endpoint) {
			t.RecordAbsence(e, start)
			t.RecordRemoteFailure(e, false, start.Add(time.Second))
		}, last},
		"then this router's own": {func(t *endpoint.Table, e *endpoint.Endpoint) {
			for i := range 10 {
				t.RecordRemoteFailure(e, false, start.Add(time.Duration(i)*time.Second-10*time.Second))
			}
			t.RecordFailure(e, start)
		}, 300 * time.Millisecond},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := wideTable()
			e := table.Get("e1")
			c.record(table, e)
			is.True(!table.AcceptsWork(e, start.Add(c.closed-time.Millisecond)))
			is.True(table.AcceptsWork(e, start.Add(c.closed)))
			is.True(!table.CopyLost(table.Get("e2"), start)) // its domain is not avoided
			table.RecordRemoteFailure(table.Get("e2"), false, start)
			is.True(!table.CopyLost(table.Get("e3"), start))
			table.RecordSuccess(e)
			is.True(table.AcceptsWork(e, start))
		})
	}
}

// TestIneligible guards against runs that the owner assigns to engines which the router would not choose, and against requests that
// exclude all engines although one may run them.
func TestIneligible(t *testing.T) {
	tests := map[string]struct {
		prepare func(t *endpoint.Table)
		need    endpoint.Requirements
		want    []jaywind.EndpointID
		anyLeft bool
	}{
		"all alike":   {func(*endpoint.Table) {}, need(6000), nil, true},
		"full":        {func(t *endpoint.Table) { t.StartCall(t.Get("e1"), need(55000)) }, need(6000), nil, true}, // as the owner knows all work
		"avoided":     {func(*endpoint.Table) {}, need(6000, "e1", "e2"), ids(1, 2), true},
		"all avoided": {func(*endpoint.Table) {}, need(6000, "e1", "e2", "e3"), ids(1, 3), false},
		"other version": {func(t *endpoint.Table) { e := entry(1, "a"); e.Version = "v2"; t.Set(e) },
			endpoint.Requirements{Model: "m", Version: "v2"}, ids(2, 3), true},
		"excluded version": {func(t *endpoint.Table) { e := entry(1, "a"); e.Version = "v2"; t.Set(e) },
			endpoint.Requirements{Model: "m", ExcludeVersions: []jaywind.Version{"v2"}}, ids(1, 1), true},
		"other model": {func(*endpoint.Table) {}, endpoint.Requirements{Model: "other"}, ids(1, 3), false},
		"failed":      {func(t *endpoint.Table) { fail(t, true, start, "e2") }, need(6000), ids(2, 2), true},
		"missing":     {func(t *endpoint.Table) { t.MarkMissing("e2", start) }, need(6000), ids(2, 2), true},
		"leaving":     {func(t *endpoint.Table) { leave(t, 2) }, need(6000), ids(2, 2), true},
		"paused":      {func(t *endpoint.Table) { t.Pause(t.Get("e2"), time.Second, start) }, need(6000), ids(2, 2), true},
		"held":        {func(t *endpoint.Table) { t.Hold(t.Get("e2"), false, start.Add(time.Second), start) }, need(6000), ids(2, 2), true},
		"held, not for urgent": {func(t *endpoint.Table) { t.Hold(t.Get("e2"), false, start.Add(time.Second), start) },
			endpoint.Requirements{Model: "m", Urgent: true}, nil, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := table()
			c.prepare(table)
			all, anyLeft := table.Ineligible(engine, c.need, start)
			got := idsOf(all)
			slices.Sort(got)
			is.Equal(got, c.want)
			is.Equal(anyLeft, c.anyLeft)
		})
	}
	_, anyLeft := (&endpoint.Table{}).Ineligible(engine, need(6000), start)
	is.New(t).True(!anyLeft)
}
