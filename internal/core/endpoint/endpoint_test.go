package endpoint_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/route"
)

var (
	start  = time.Unix(1000, 0)
	engine = &route.Service{Name: "pool", Engine: &route.Engine{Slots: 16, MemoryTokens: 55000, CopiesMemory: true, CopiesStarted: true}}
	plain  = &route.Service{Name: "desk"}
)

// entry returns the n-th engine of a domain.
func entry(n int, d jaywind.Domain) endpoint.Entry {
	return endpoint.Entry{
		ID: jaywind.EndpointID(fmt.Sprintf("e%d", n)), Service: "pool", Address: jaywind.Address(fmt.Sprintf("10.0.0.%d:1", n)),
		Domain: d, Models: []jaywind.Model{"m"}, Slots: 16, Incarnation: 1,
	}
}

func need(tokens int, avoid ...jaywind.EndpointID) endpoint.Requirements {
	return endpoint.Requirements{Model: "m", MemoryTokens: tokens, PromptTokens: tokens, Avoid: avoid}
}

// table returns engines e1 and e2 in domain a and e3 in domain b.
func table() *endpoint.Table {
	t := &endpoint.Table{}
	t.Set(entry(1, "a"))
	t.Set(entry(2, "a"))
	t.Set(entry(3, "b"))
	return t
}

func TestChoose(t *testing.T) {
	tests := map[string]struct {
		prepare func(t *endpoint.Table)
		need    endpoint.Requirements
		want    []jaywind.EndpointID // any of these; none when empty
	}{
		"all alike":   {func(*endpoint.Table) {}, need(6000), []jaywind.EndpointID{"e1", "e2", "e3"}},
		"least work":  {func(t *endpoint.Table) { t.StartCall(t.Get("e1"), need(6000)); t.StartCall(t.Get("e3"), need(6000)) }, need(6000), []jaywind.EndpointID{"e2"}},
		"avoided":     {func(*endpoint.Table) {}, need(6000, "e1", "e2"), []jaywind.EndpointID{"e3"}},
		"all avoided": {func(*endpoint.Table) {}, need(6000, "e1", "e2", "e3"), []jaywind.EndpointID{"e1", "e2", "e3"}},
		"missing":     {func(t *endpoint.Table) { t.MarkMissing("e1", start); t.MarkMissing("e3", start) }, need(6000), []jaywind.EndpointID{"e2"}},
		"all missing": {func(t *endpoint.Table) {
			t.MarkMissing("e1", start)
			t.MarkMissing("e2", start)
			t.MarkMissing("e3", start)
		}, need(6000), []jaywind.EndpointID{"e1", "e2", "e3"}},
		"sighted": {func(t *endpoint.Table) {
			leave(t, 1)
			leave(t, 2)
			leave(t, 3)
			e := entry(9, "a")
			t.AddUnregistered(e)
		}, need(6000), []jaywind.EndpointID{"e9"}},
		"leaving":     {func(t *endpoint.Table) { leave(t, 1); leave(t, 3) }, need(6000), []jaywind.EndpointID{"e2"}},
		"all leaving": {func(t *endpoint.Table) { leave(t, 1); leave(t, 2); leave(t, 3) }, need(6000), nil},
		"other model": {func(*endpoint.Table) {}, endpoint.Requirements{Model: "x"}, nil},
		"failed":      {func(t *endpoint.Table) { t.RecordFailure(t.Get("e1"), start) }, need(6000), []jaywind.EndpointID{"e2", "e3"}},
		"failed domain": {func(t *endpoint.Table) {
			t.RecordFailure(t.Get("e1"), start)
			t.Set(entry(4, "a"))
			t.RecordFailure(t.Get("e2"), start)
		}, need(6000), []jaywind.EndpointID{"e3"}},
		"all failed": {func(t *endpoint.Table) {
			t.RecordFailure(t.Get("e1"), start)
			t.RecordFailure(t.Get("e2"), start)
			t.RecordAbsence(t.Get("e3"), start)
		}, need(6000), []jaywind.EndpointID{"e1", "e2"}},
		"memory is full":  {func(t *endpoint.Table) { t.StartCall(t.Get("e1"), need(46000)); t.StartCall(t.Get("e2"), need(46000)) }, need(6000), []jaywind.EndpointID{"e3"}},
		"copies count":    {func(t *endpoint.Table) { t.AddCopy(t.Get("e1"), need(30000)); t.AddCopy(t.Get("e2"), need(30000)) }, need(6000), []jaywind.EndpointID{"e3"}},
		"ended work":      {func(t *endpoint.Table) { busyThenFree(t) }, need(6000), []jaywind.EndpointID{"e1", "e2", "e3"}},
		"younger address": {func(t *endpoint.Table) { replace(t) }, need(6000), []jaywind.EndpointID{"e2", "e3", "e9"}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tab := table()
			c.prepare(tab)
			got := tab.Choose(engine, c.need, start.Add(100*time.Millisecond))
			if len(c.want) == 0 {
				is.Equal(got, nil)
				return
			}
			is.True(got != nil)
			found := false
			for _, id := range c.want {
				found = found || got.ID == id
			}
			is.True(found) // is one of those wanted
		})
	}
}

func leave(t *endpoint.Table, n int) {
	e := t.Get(jaywind.EndpointID(fmt.Sprintf("e%d", n))).Entry
	e.Leaving = true
	t.Set(e)
}

func busyThenFree(t *endpoint.Table) {
	e := t.Get("e1")
	t.StartCall(e, need(40000))
	t.FinishPrefill(e, need(40000))
	t.FinishCall(e, need(40000))
}

// replace lets a younger endpoint take the address of e1, whose entry is then written once more.
func replace(t *endpoint.Table) {
	e := entry(1, "a")
	e.ID, e.Incarnation = "e9", 2
	t.Set(e)
	t.Set(entry(1, "a"))
}

func TestStandby(t *testing.T) {
	tests := map[string]struct {
		prepare func(t *endpoint.Table)
		want    jaywind.EndpointID // empty for none
	}{
		"other domain":                 {func(*endpoint.Table) {}, "e3"},
		"same domain if need be":       {func(t *endpoint.Table) { leave(t, 3) }, "e2"},
		"none with a full memory":      {func(t *endpoint.Table) { t.AddCopy(t.Get("e2"), need(45000)); t.AddCopy(t.Get("e3"), need(45000)) }, ""},
		"not one that has just failed": {func(t *endpoint.Table) { t.RecordFailure(t.Get("e3"), start) }, "e2"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			tab := table()
			c.prepare(tab)
			got := tab.ChooseStandby(engine, tab.Get("e1"), need(6000), start.Add(100*time.Millisecond))
			var id jaywind.EndpointID
			if got != nil {
				id = got.ID
			}
			is.New(t).Equal(id, c.want)
		})
	}
}

// TestRoutersShareWithoutTalking: the pattern is many routers that place prompts at once and see only their own;
// where the prompts are fewer than the engines, none may be read behind another.
func TestRoutersShareWithoutTalking(t *testing.T) {
	const routers, engines, prompts = 8, 36, 4
	busy := map[jaywind.EndpointID]int{}
	for i := range routers {
		tab := &endpoint.Table{}
		for n := range engines {
			tab.Set(entry(n, jaywind.Domain(fmt.Sprint(n%4))))
		}
		tab.SetPartition(i, routers)
		for range prompts {
			e := tab.Choose(engine, need(6000), start)
			tab.StartCall(e, need(6000))
			busy[e.ID]++
		}
	}
	is := is.New(t)
	for _, n := range busy {
		is.Equal(n, 1)
	}
	is.Equal(len(busy), routers*prompts)
}

// TestMissing: an entry that is missed is used until it expires, unless it comes back.
func TestMissing(t *testing.T) {
	is := is.New(t)
	tab := table()
	tab.MarkMissing("e1", start)
	tab.MarkMissing("e2", start)
	tab.Set(entry(2, "a"))
	is.Equal(tab.Count(), 3)
	is.Equal(tab.Expire(start), nil)
	is.Equal(tab.Expire(start.Add(time.Millisecond)), []jaywind.EndpointID{"e1"})
	is.Equal(tab.Count(), 2)
}

// TestPlainSpread: calls of a plain service go where the fewest are open.
func TestPlainSpread(t *testing.T) {
	is := is.New(t)
	tab := &endpoint.Table{}
	for n := range 3 {
		e := entry(n, "a")
		e.Service, e.Models = "desk", nil
		tab.Set(e)
	}
	for range 9 {
		e := tab.Choose(plain, endpoint.Requirements{}, start)
		tab.StartCall(e, endpoint.Requirements{})
	}
	for n := range 3 {
		is.Equal(tab.Get(jaywind.EndpointID(fmt.Sprintf("e%d", n))).Calls, 3)
	}
}

// TestSighted: an endpoint known by its own word lapses unless the registry has it.
func TestSighted(t *testing.T) {
	is := is.New(t)
	tab := table()
	tab.AddUnregistered(entry(8, "a"))
	tab.AddUnregistered(entry(9, "b"))
	tab.Set(entry(9, "b"))
	is.Equal(tab.Expire(start), []jaywind.EndpointID{"e8"})
	is.Equal(tab.Count(), 4)
}
