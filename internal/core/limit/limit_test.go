package limit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jaywind"
	"jaywind/internal/core/limit"
)

func at(d time.Duration) time.Time { return start.Add(d) }

// ask lets an only owner answer a question of a sender.
func ask(s *limit.Sender, o *limit.Owner, p jaywind.Priority, now time.Time) bool {
	d, owner, q := s.Begin(target, p, []string{"o"}, now)
	if d != limit.Ask {
		return d == limit.Send
	}
	return s.Apply(target, owner, q, o.Answer(target, q, 1, now), now)
}

// sentWithin counts the requests that may be sent within a time, of one every 10 ms.
func sentWithin(s *limit.Sender, o *limit.Owner, from, until time.Duration) (n int) {
	for t := from; t < until; t += 10 * time.Millisecond {
		if ask(s, o, jaywind.PriorityNormal, at(t)) {
			n++
		}
	}
	return n
}

// TestReadings fails if an answer that was under way decides on a limit, or if one ends without an answer that shows so.
func TestReadings(t *testing.T) {
	limited := func(rate jaywind.Rate, d time.Duration) limit.Reading { return limit.NewReading(rate, at(d)) }
	free := func(d time.Duration) limit.Reading { return limit.Reading{At: at(d)} }
	tests := map[string]struct {
		readings []limit.Reading
		most     int // requests within 4 s, long after the last reading
		least    int
	}{
		"none":                           {most: 400, least: 400},
		"named":                          {readings: []limit.Reading{limited(5, 0)}, most: 25, least: 15},
		"not any more":                   {readings: []limit.Reading{limited(5, 0), free(time.Second)}, most: 400, least: 390},
		"an answer under way":            {readings: []limit.Reading{limited(5, 0), free(-time.Second)}, most: 25, least: 15},
		"names it again":                 {readings: []limit.Reading{limited(5, 0), free(time.Second), limited(5, 2*time.Second)}, most: 25, least: 15},
		"lower":                          {readings: []limit.Reading{limited(50, 0), limited(5, time.Second)}, most: 25, least: 15},
		"higher":                         {readings: []limit.Reading{limited(5, 0), limited(50, time.Second)}, most: 250, least: 150},
		"older value comes late":         {readings: []limit.Reading{limited(5, time.Second), limited(50, 0)}, most: 25, least: 15},
		"nothing":                        {readings: []limit.Reading{limited(0, 0)}, most: 2, least: 1},
		"so large that it limits nobody": {readings: []limit.Reading{limited(1e300, 0)}, most: 400, least: 400},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s, o := &limit.Sender{}, &limit.Owner{}
			for _, r := range c.readings {
				s.Observe(target, r)
				ask(s, o, jaywind.PriorityNormal, r.At)
			}
			ask(s, o, jaywind.PriorityNormal, at(10*time.Second))
			got := sentWithin(s, o, 20*time.Second, 24*time.Second)
			if got > c.most || got < c.least {
				t.Fatalf("%d requests, want %d to %d", got, c.least, c.most)
			}
		})
	}
}

// TestRelease fails if the requests come back all at once when a limit ends.
func TestRelease(t *testing.T) {
	s, o := &limit.Sender{}, &limit.Owner{}
	s.Observe(target, limit.NewReading(5, start))
	sentWithin(s, o, 0, 2*time.Second)
	s.Observe(target, limit.Reading{At: at(2 * time.Second)})
	before := 0
	for second := 2; second < 6; second++ {
		got := sentWithin(s, o, time.Duration(second)*time.Second, time.Duration(second+1)*time.Second)
		if got < before || second == 2 && got > 30 {
			t.Fatalf("%d requests in second %d, %d before", got, second, before)
		}
		before = got
	}
	if before != 100 || s.Count() != 0 {
		t.Fatalf("%d requests at the end, %d endpoints are limited", before, s.Count())
	}
}

// TestStaleReading fails if a router that has heard of a limit long ago brings it back after its end.
func TestStaleReading(t *testing.T) {
	is := is.New(t)
	var s, idle limit.Sender
	o := &limit.Owner{}
	s.Observe(target, limit.NewReading(5, start))
	idle.Observe(target, limit.NewReading(5, start))
	ask(&s, o, jaywind.PriorityNormal, at(time.Second))
	s.Observe(target, limit.Reading{At: at(2 * time.Second)})
	sentWithin(&s, o, 2*time.Second, 6*time.Second)
	announced := 0
	o.OnLimited = func(jaywind.EndpointRef, limit.Reading) { announced++ }
	is.True(ask(&idle, o, jaywind.PriorityNormal, at(10*time.Second)))
	is.Equal(idle.Count(), 0)
	is.Equal(announced, 0)
}

// TestOffered fails if the share of a limit that is used can't be told.
func TestOffered(t *testing.T) {
	is := is.New(t)
	var s limit.Sender
	o := &limit.Owner{}
	s.Observe(target, limit.NewReading(8, start))
	used := sentWithin(&s, o, 0, 4*time.Second)
	is.True(o.Offered() > 30 && o.Offered() <= 32)
	is.True(float64(used) > 0.9*o.Offered()) // there are more requests than that
	ask(&s, o, jaywind.PriorityNormal, at(14*time.Second))
	is.True(o.Offered() > 110) // nobody wanted those of the last 10 s
}

// TestPriorities fails if background work takes requests that others need, or if streams that have begun come last.
func TestPriorities(t *testing.T) {
	is := is.New(t)
	var s limit.Sender
	o := &limit.Owner{}
	s.Observe(target, limit.NewReading(2, start))
	now := start
	for ask(&s, o, jaywind.PriorityNormal, now) {
		now = now.Add(time.Millisecond)
	}
	is.True(!ask(&s, o, jaywind.PriorityBackground, now))
	is.True(ask(&s, o, jaywind.PriorityUrgent, now.Add(100*time.Millisecond)))
	is.True(!ask(&s, o, jaywind.PriorityUrgent, now.Add(200*time.Millisecond))) // the debt is bounded
	now = at(10 * time.Second)
	is.True(ask(&s, o, jaywind.PriorityBackground, now)) // nobody else needs them
	is.True(!ask(&s, o, jaywind.PriorityBackground, now))
}

// TestEndOfLimitEndsWaits fails if a router that was refused while a limit lasted does not ask again soon after it has heard of the end.
func TestEndOfLimitEndsWaits(t *testing.T) {
	const soon = 500 * time.Millisecond // in which the rate that is granted doubles after the end
	is := is.New(t)
	var s limit.Sender
	o := &limit.Owner{}
	reading := limit.NewReading(1, start)
	for range 4 { // others take what may be granted, and wait for more
		o.Answer(target, limit.Question{Reading: reading, Count: 1, Priority: jaywind.PriorityNormal}, 1, start)
	}
	s.Observe(target, reading)
	is.True(!ask(&s, o, jaywind.PriorityNormal, start))
	s.Observe(target, limit.Reading{At: at(1100 * time.Millisecond)})
	decision, _, _ := s.Begin(target, jaywind.PriorityNormal, []string{"o"}, at(1100*time.Millisecond+soon))
	is.Equal(decision, limit.Ask)
}

// TestWaitsAfterEnd fails if a request that is refused after the end of a limit is told to wait for longer than until the requests are not
// counted any more, or if the end is not announced once.
func TestWaitsAfterEnd(t *testing.T) {
	const released = 3001 * time.Millisecond // a moment after the end of the growth
	is := is.New(t)
	ended := 0
	o := &limit.Owner{OnEnded: func(_ jaywind.EndpointRef, r limit.Reading) {
		is.True(!r.Limited)
		ended++
	}}
	reading := limit.NewReading(1, start)
	for range 4 {
		o.Answer(target, limit.Question{Reading: reading, Count: 1, Priority: jaywind.PriorityNormal}, 1, start)
	}
	for range 50 {
		g := o.Answer(target, limit.Question{Reading: limit.Reading{At: at(time.Second)}, Count: 1, Priority: jaywind.PriorityNormal}, 1, at(1100*time.Millisecond))
		is.True(g.Wait <= released)
	}
	is.Equal(ended, 1)
}

// TestEndKeepsSilence fails if the end of a limit makes a router ask an owner that has just not answered.
func TestEndKeepsSilence(t *testing.T) {
	is := is.New(t)
	var s limit.Sender
	s.Observe(target, limit.NewReading(1, start))
	s.RecordSilence(target, "o", start)
	s.Observe(target, limit.Reading{At: at(100 * time.Millisecond)})
	decision, _, _ := s.Begin(target, jaywind.PriorityNormal, []string{"o"}, at(200*time.Millisecond))
	is.Equal(decision, limit.Refuse)
}

// TestSendsWithoutOwner fails if a router takes requests by itself while an owner answers, or none while all are silent.
func TestSendsWithoutOwner(t *testing.T) {
	is := is.New(t)
	var s limit.Sender
	owners := []string{"a", "b"}
	s.Observe(target, limit.NewReading(8, start))
	s.RecordSilence(target, "a", start)
	is.True(!s.TakeAlone(target, owners, 2, start))
	s.RecordSilence(target, "b", start)
	sent := 0
	for t := time.Duration(0); t < 900*time.Millisecond; t += 10 * time.Millisecond {
		if s.TakeAlone(target, owners, 2, at(t)) {
			sent++
		}
	}
	is.True(sent >= 2 && sent <= 4) // of 4 a second
	is.True(!s.TakeAlone(target, owners, 2, at(time.Minute)))
}

// TestAnyQuestions feeds an owner any series of questions: in no span may it grant more than its part of the rate, a burst of a second and
// the debt of urgent requests.
func TestAnyQuestions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 100).Draw(t, "rate")
		part := rapid.Float64Range(0.1, 1).Draw(t, "part")
		var o limit.Owner
		now := start
		var granted []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "questions") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			q := limit.Question{Reading: limit.NewReading(jaywind.Rate(rate), start), Count: rapid.IntRange(1, 20).Draw(t, "count"),
				Priority: jaywind.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))}
			g := o.Answer(target, q, part, now)
			if g.Count > q.Count || g.Count == 0 && g.Wait <= 0 {
				t.Fatalf("grant %+v to %+v", g, q)
			}
			for range g.Count {
				granted = append(granted, now)
			}
			for i, first := range granted {
				most := part*max(0.25, rate)*(now.Sub(first).Seconds()+1) + 2
				if n := len(granted) - i; float64(n) > most+1e-6 {
					t.Fatalf("%d grants in %v, want at most %.2f", n, now.Sub(first), most)
				}
			}
		}
	})
}
