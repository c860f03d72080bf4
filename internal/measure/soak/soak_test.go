package soak

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind/platform/standin"
)

// TestDraw: a seed always strikes in the same way, and over some seeds every kind of fault is drawn.
func TestDraw(t *testing.T) {
	is := is.New(t)
	is.Equal(Draw(7, Usual, 30*time.Second), Draw(7, Usual, 30*time.Second))
	drawn := map[Kind]bool{}
	for seed := range uint64(20) {
		for _, s := range Draw(seed, Usual, 30*time.Second).Strikes {
			drawn[s.Kind] = true
			is.True(s.For >= shortest && s.For <= longest)
			is.Equal(s.Variant != "", len(variants[s.Kind]) > 0)
		}
	}
	is.Equal(len(drawn), len(weights))
}

// scene returns a record of a fleet with one router, and an attempt there that was answered well.
func scene() (*record, *attempt) {
	r := &router{}
	r.name = "vm0"
	f := &fleet{routers: []*router{r}}
	u := &rules{}
	u.first()
	sent := time.Now().Add(-time.Minute)
	return newRecord(f, u, io.Discard), &attempt{
		id: "q1", prefix: "/buy/", target: "/buy/x", body: "b", key: "key", at: r, sent: sent, ended: sent.Add(100 * time.Millisecond),
		status: 200, sealed: true, whole: true, text: "POST /buy/x b",
	}
}

// TestPromises: each promise is found broken by what callers and replicas saw, and only then.
func TestPromises(t *testing.T) {
	run := func(a *attempt, after time.Duration) standin.Sight {
		return standin.Sight{At: a.sent.Add(after).UnixMilli(), What: "run", Attempt: a.id, Replica: "i", Target: a.target}
	}
	stream := func(a *attempt) { a.prefix, a.target, a.got = "/stream/", "/stream/x", events }
	tests := map[string]struct {
		change func(c *record, a *attempt)
		want   string // the promise that is broken; empty for none
	}{
		"served":             {func(c *record, a *attempt) { c.see(run(a, 0)) }, ""},
		"not the endpoint's": {func(_ *record, a *attempt) { a.sealed = false }, "whole"},
		"other bytes":        {func(_ *record, a *attempt) { a.text = "POST /buy/y b" }, "whole"},
		"whole stream":       {func(_ *record, a *attempt) { stream(a) }, ""},
		"short stream":       {func(_ *record, a *attempt) { stream(a); a.got-- }, "whole"},
		"broken stream":      {func(_ *record, a *attempt) { stream(a); a.got, a.whole = 3, false }, ""},
		"wrong piece":        {func(_ *record, a *attempt) { stream(a); a.disorder = "x" }, "order"},
		"refused for good":   {func(_ *record, a *attempt) { a.status, a.sealed = 404, false }, "denied"},
		"unknown key":        {func(_ *record, a *attempt) { a.status, a.sealed, a.key = 401, false, extraKey(0) }, ""},
		"no answer":          {func(_ *record, a *attempt) { a.status, a.whole = 0, false }, "answer"},
		"router was killed": {func(_ *record, a *attempt) {
			a.status, a.whole = 0, false
			a.at.spans = []span{{from: a.sent, till: a.ended}}
		}, ""},
		"router ended by itself, early": {func(_ *record, a *attempt) {
			a.status, a.whole = 0, false
			a.at.spans = []span{{from: a.sent.Add(time.Second), asked: a.sent}}
		}, "answer"},
		"router's grace was over": {func(_ *record, a *attempt) {
			a.status, a.whole = 0, false
			a.at.spans = []span{{from: a.sent.Add(time.Second), asked: a.sent.Add(time.Second - grace)}}
		}, ""},
		"stream cut by a router that ended": {func(_ *record, a *attempt) {
			stream(a)
			a.got, a.whole, a.ended = 3, false, a.sent.Add(time.Second)
			a.at.spans = []span{{from: a.ended, asked: a.sent}}
		}, "answer"},
		"goes on after the caller left": {func(c *record, a *attempt) {
			stream(a)
			a.left, a.got, a.whole = a.sent, 1, false
			s := run(a, 5*time.Second)
			s.What = "end"
			c.see(run(a, 0))
			c.see(s)
		}, "gone"},
		"late":                   {func(_ *record, a *attempt) { a.ended = a.sent.Add(plainTime + lateBound + slack + 1) }, "late"},
		"ran twice":              {func(c *record, a *attempt) { c.see(run(a, 0)); c.see(run(a, 1)) }, "once"},
		"refused and ran":        {func(c *record, a *attempt) { c.see(run(a, 0)); a.status, a.sealed = 503, false }, "refused"},
		"refused by the replica": {func(c *record, a *attempt) { c.see(run(a, 0)); a.status = 503 }, ""},
		"other target":           {func(c *record, a *attempt) { s := run(a, 0); s.Target = "/"; c.see(s) }, "unasked"},
		"nobody asked":           {func(c *record, a *attempt) { s := run(a, 0); s.Attempt = "q9"; c.see(s) }, "unasked"},
		"drained long ago": {func(c *record, a *attempt) {
			s := run(a, 0)
			s.Draining = a.sent.Add(-5 * time.Second).UnixMilli()
			c.see(s)
		}, "drain"},
		"just drained": {func(c *record, a *attempt) {
			s := run(a, 0)
			s.Draining = a.sent.Add(-time.Second).UnixMilli()
			c.see(s)
		}, ""},
		"key is gone": {func(c *record, a *attempt) {
			c.rules.keys = []time.Time{a.sent.Add(-8 * time.Second), {}}
			s := run(a, 0)
			s.Organisation = extraOrg(0)
			c.see(s)
		}, "revoked"},
		"sent after the caller left": {func(c *record, a *attempt) {
			stream(a)
			a.left, a.got, a.whole = a.sent, 1, false
			c.see(run(a, 5*time.Second))
		}, "gone"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, a := scene()
			c.change(r, a)
			r.judge(a)
			r.settle()
			if c.want == "" {
				is.Equal(len(r.broken), 0)
				return
			}
			is.Equal(len(r.broken), 1)
			is.Equal(r.broken[0].Promise, c.want)
		})
	}
}

// TestBudget: repeats are counted over the fleet.
func TestBudget(t *testing.T) {
	for repeats, broken := range map[int]int{budgetSpare: 0, budgetSpare + 2: 1} {
		is := is.New(t)
		r, a := scene()
		a.prefix, a.target, a.text = "/get/", "/get/x", "POST /get/x b"
		for i := range repeats + 1 {
			r.see(standin.Sight{At: a.sent.Add(time.Duration(i) * time.Millisecond).UnixMilli(), What: "run", Attempt: a.id, Target: a.target})
		}
		r.judge(a)
		r.settle()
		is.Equal(len(r.broken), broken)
	}
}
