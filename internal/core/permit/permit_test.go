package permit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/permit"
)

var (
	start    = time.Unix(1000, 0)
	endpoint = jaywind.EndpointRef{ID: "e1", Incarnation: 1, Address: "10.0.0.1:80"}
	other    = jaywind.EndpointRef{ID: "e2", Incarnation: 1, Address: "10.0.0.2:80"}
)

// TestTracker checks which endpoints count as brittle.
func TestTracker(t *testing.T) {
	type answer struct {
		e       jaywind.EndpointRef
		brittle bool
		at      time.Duration
	}
	tests := map[string]struct {
		answers []answer
		at      time.Duration
		brittle [2]bool // endpoint and other
	}{
		"none has answered":              {nil, 0, [2]bool{false, false}},
		"one is brittle":                 {[]answer{{endpoint, true, 0}}, time.Second, [2]bool{true, true}},
		"one is not":                     {[]answer{{endpoint, false, 0}}, time.Second, [2]bool{false, false}},
		"one is, the other is not":       {[]answer{{endpoint, true, 0}, {other, false, 0}}, time.Second, [2]bool{true, false}},
		"it ends at one":                 {[]answer{{endpoint, true, 0}, {endpoint, false, time.Second}}, 2 * time.Second, [2]bool{false, false}},
		"the other still is":             {[]answer{{endpoint, true, 0}, {other, true, 0}, {endpoint, false, time.Second}}, 2 * time.Second, [2]bool{false, true}},
		"not heard of for a long time":   {[]answer{{endpoint, true, 0}}, 11 * time.Second, [2]bool{false, false}},
		"it begins again":                {[]answer{{endpoint, true, 0}, {endpoint, false, time.Second}, {other, true, 2 * time.Second}}, 3 * time.Second, [2]bool{false, true}},
		"it begins again, heard of both": {[]answer{{endpoint, false, 0}, {other, true, 0}, {endpoint, true, time.Second}}, 3 * time.Second, [2]bool{true, true}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var k permit.Tracker
			for _, a := range c.answers {
				k.Record(a.e, "pool", a.brittle, 5, start.Add(a.at))
			}
			first, _ := k.Brittle(endpoint, "pool", start.Add(c.at))
			second, _ := k.Brittle(other, "pool", start.Add(c.at))
			foreign, _ := k.Brittle(jaywind.EndpointRef{ID: "e3"}, "desk", start.Add(c.at))
			is.New(t).Equal([3]bool{first, second, foreign}, [3]bool{c.brittle[0], c.brittle[1], false})
		})
	}
}

// TestLimit checks how many permits an owner grants: few at first, more while there is demand, never more than the endpoint has slots,
// and less after a rejection.
func TestLimit(t *testing.T) {
	is := is.New(t)
	var o permit.Owner
	q := permit.Question{Slots: 16, Tolerance: 10, Lease: time.Minute}
	var ids []uint64
	takeAll := func(at time.Duration) int {
		for {
			g := o.Take(endpoint, q, start.Add(at))
			if !g.Granted() {
				is.True(g.Wait > 0)
				return len(ids)
			}
			ids = append(ids, g.ID)
		}
	}
	is.Equal(takeAll(0), 4)
	is.Equal(takeAll(110*time.Millisecond), 5)
	for at := 200 * time.Millisecond; at < 5*time.Second; at += 50 * time.Millisecond {
		is.True(takeAll(at) <= 16)
	}
	is.Equal(len(ids), 16)
	o.Return(endpoint, ids[0], true, start.Add(5*time.Second)) // turned away
	ids = ids[1:]
	is.Equal(takeAll(5*time.Second), 15) // under the level of the rejection again only once some are returned
	for _, id := range ids {
		o.Return(endpoint, id, false, start.Add(5*time.Second))
	}
	ids = nil
	is.Equal(takeAll(5*time.Second), 10)
	for at := 5 * time.Second; at < 5900*time.Millisecond; at += 50 * time.Millisecond {
		is.True(takeAll(at) <= 15)
	}
	is.Equal(len(ids), 15)
	is.Equal(takeAll(8*time.Second), 16)
	is.Equal(o.Held(), 16)
}

// TestOnset guards against callers that are refused while there is room, as permits begin to count.
func TestOnset(t *testing.T) {
	is := is.New(t)
	var o permit.Owner
	for range 16 {
		is.True(o.Take(endpoint, permit.Question{Slots: 16, Tolerance: 10, Lease: time.Minute, Onset: true}, start).Granted())
	}
	is.True(!o.Take(endpoint, permit.Question{Slots: 16, Tolerance: 10, Lease: time.Minute, Onset: true}, start).Granted())
}

// TestRejections guards against calls that go on to an endpoint which has turned away nearly as many as it tolerates.
func TestRejections(t *testing.T) {
	tests := map[string]struct {
		tolerance, rejections int
		granted               bool
	}{
		"none":                      {10, 0, true},
		"some":                      {10, 4, true},
		"half of what it tolerates": {10, 5, false},
		"one, and one is tolerated": {1, 1, false},
		"one, and none is":          {0, 1, false},
		"none, and none is":         {0, 0, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var o permit.Owner
			q := permit.Question{Slots: 100, Tolerance: c.tolerance, Lease: time.Minute}
			var ids []uint64
			for range 10 {
				ids = append(ids, o.Take(endpoint, q, start).ID)
			}
			for _, id := range ids[:c.rejections] {
				o.Return(endpoint, id, true, start)
			}
			for _, id := range ids[c.rejections:] {
				o.Return(endpoint, id, false, start)
			}
			is.Equal(o.Take(endpoint, q, start.Add(time.Millisecond)).Granted(), c.granted)
			is.True(o.Take(endpoint, q, start.Add(1100*time.Millisecond)).Granted())
		})
	}
}

// TestSubstitute guards against permits of two routers at the same time that together are more than an endpoint has room for and tolerates.
func TestSubstitute(t *testing.T) {
	for tolerance, want := range map[int]int{0: 0, 1: 0, 2: 1, 4: 2, 100: 4} {
		is := is.New(t)
		var o permit.Owner
		q := permit.Question{Slots: 16, Tolerance: tolerance, Lease: time.Minute, Substitute: true}
		granted := 0
		for granted < 20 && o.Take(endpoint, q, start).Granted() {
			granted++
		}
		is.Equal(granted, want)
	}
}

// TestLeases guards against permits that are lost with their router.
func TestLeases(t *testing.T) {
	is := is.New(t)
	var o permit.Owner
	q := permit.Question{Slots: 4, Tolerance: 10, Lease: time.Second}
	is.True(o.Take(endpoint, q, start).Granted())
	is.True(!o.Take(endpoint, q, start.Add(50*time.Millisecond)).Granted())
	is.True(o.Take(endpoint, q, start.Add(time.Second)).Granted())
	is.Equal(o.Held(), 1)
}
