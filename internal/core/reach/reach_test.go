package reach_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/reach"
)

var start = time.Unix(1000, 0)

const endpointAddress = jaywind.Address("10.0.0.1:80")

// TestProbes checks that a lost link is probed by one call at a time, ever less often, and only while calls use it.
func TestProbes(t *testing.T) {
	is := is.New(t)
	var l reach.Links
	is.True(!l.TakeProbe(endpointAddress, start)) // not lost
	is.True(l.RecordLost(endpointAddress, start))
	is.True(!l.RecordLost(endpointAddress, start)) // no news
	var probes []time.Duration
	for at := time.Duration(0); at < 5*time.Second; at += 10 * time.Millisecond {
		for range 3 {
			if l.TakeProbe(endpointAddress, start.Add(at)) {
				probes = append(probes, at)
			}
		}
	}
	is.Equal(probes, []time.Duration{250 * time.Millisecond, 750 * time.Millisecond, 1750 * time.Millisecond, 2750 * time.Millisecond, 3750 * time.Millisecond, 4750 * time.Millisecond})
	is.True(l.RecordConnected(endpointAddress))
	is.True(!l.RecordConnected(endpointAddress))
	is.Equal(l.Count(), 0)
}

// TestUnusedLinks guards against links to endpoints that are gone, which would be counted as lost for good.
func TestUnusedLinks(t *testing.T) {
	is := is.New(t)
	var l reach.Links
	l.RecordLost(endpointAddress, start)
	l.RecordLost("10.0.0.2:80", start)
	for at := time.Duration(0); at < 20*time.Second; at += time.Second {
		l.TakeProbe(endpointAddress, start.Add(at))
		l.Expire(start.Add(at))
	}
	is.True(l.IsLost(endpointAddress))
	is.True(!l.IsLost("10.0.0.2:80"))
}

// TestOrder checks which helpers are preferred.
func TestOrder(t *testing.T) {
	known := []jaywind.Address{"a", "b", "c", "d", "e"}
	tests := map[string]struct {
		prepare func(h *reach.Helpers)
		after   time.Duration
		first   jaywind.Address // mostly; empty for any
	}{
		"none has helped":           {prepare: func(*reach.Helpers) {}, first: "a"},
		"one has helped":            {prepare: func(h *reach.Helpers) { h.RecordSuccess("d") }, first: "d"},
		"one outside the sample":    {prepare: func(h *reach.Helpers) { h.RecordSuccess("z") }, first: "z"},
		"one could not":             {prepare: func(h *reach.Helpers) { h.RecordFailure("a", start) }, first: "b"},
		"one could not a while ago": {prepare: func(h *reach.Helpers) { h.RecordFailure("a", start) }, after: 2 * time.Second, first: "a"},
		"it has helped and then could not": {prepare: func(h *reach.Helpers) {
			h.RecordSuccess("a")
			h.RecordFailure("a", start)
		}, first: "b"},
		"it could not and then has helped": {prepare: func(h *reach.Helpers) {
			h.RecordFailure("e", start)
			h.RecordSuccess("e")
		}, first: "e"},
		"only those that could not are left": {prepare: func(h *reach.Helpers) {
			for _, at := range known {
				h.RecordFailure(at, start)
			}
		}, first: "a"},
		"more have helped than are preferred": {prepare: func(h *reach.Helpers) {
			for i := range 40 {
				h.RecordSuccess(jaywind.Address(fmt.Sprint("w", i)))
			}
		}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var h reach.Helpers
			c.prepare(&h)
			const orders = 400
			first := map[jaywind.Address]int{}
			for range orders {
				order := h.Order(known, start.Add(c.after))
				is.Equal(len(order), reach.MaxTries)
				first[order[0]]++
			}
			is.True(c.first == "" || first[c.first] > orders/2)
		})
	}
}

// TestLatency checks the limits that follow from the times that answers took.
func TestLatency(t *testing.T) {
	const usual, least, most = 600 * time.Millisecond, 30 * time.Millisecond, time.Second
	tests := map[string]struct {
		prepare    func(l *reach.Latency)
		after      time.Duration
		from, upTo time.Duration
	}{
		"no samples":          {prepare: func(*reach.Latency) {}, from: usual, upTo: usual},
		"fast":                {prepare: func(l *reach.Latency) { repeat(l, 50, time.Millisecond) }, from: least, upTo: least},
		"steady":              {prepare: func(l *reach.Latency) { repeat(l, 50, 100*time.Millisecond) }, from: 100 * time.Millisecond, upTo: 110 * time.Millisecond},
		"one sample":          {prepare: func(l *reach.Latency) { repeat(l, 1, 100*time.Millisecond) }, from: 300 * time.Millisecond, upTo: 300 * time.Millisecond},
		"one is late":         {prepare: func(l *reach.Latency) { repeat(l, 50, time.Millisecond); repeat(l, 1, 100*time.Millisecond) }, from: 100 * time.Millisecond, upTo: 120 * time.Millisecond},
		"none came in time":   {prepare: func(l *reach.Latency) { repeat(l, 50, 100*time.Millisecond); l.RecordTimeout(start) }, from: 200 * time.Millisecond, upTo: 220 * time.Millisecond},
		"none came for long":  {prepare: func(l *reach.Latency) { l.RecordTimeout(start); l.RecordTimeout(start); l.RecordTimeout(start) }, from: most, upTo: most},
		"one came after that": {prepare: func(l *reach.Latency) { l.RecordTimeout(start); repeat(l, 50, time.Millisecond) }, from: least, upTo: least},
		"a while ago":         {prepare: func(l *reach.Latency) { repeat(l, 50, 300*time.Millisecond) }, after: 11 * time.Second, from: usual, upTo: usual},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var l reach.Latency
			c.prepare(&l)
			if got := l.Limit(usual, least, most, start.Add(c.after)); got < c.from || got > c.upTo {
				t.Errorf("limit %v, want %v to %v", got, c.from, c.upTo)
			}
		})
	}
}

// repeat records a time several times.
func repeat(l *reach.Latency, times int, took time.Duration) {
	for range times {
		l.Record(took, start)
	}
}
