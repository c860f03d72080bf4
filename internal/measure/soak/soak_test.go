package soak

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind/platform/standin"
)

// TestNewPlan checks that a seed always gives the same plan, and that every kind of fault occurs over some seeds.
func TestNewPlan(t *testing.T) {
	is := is.New(t)
	is.Equal(NewPlan(7, Usual, 30*time.Second), NewPlan(7, Usual, 30*time.Second))
	drawn := map[FaultKind]bool{}
	for seed := range uint64(20) {
		for _, s := range NewPlan(seed, Usual, 30*time.Second).Faults {
			drawn[s.Kind] = true
			is.True(s.Duration >= minFaultTime && s.Duration <= maxFaultTime)
			is.Equal(s.Variant != "", len(variants[s.Kind]) > 0)
		}
	}
	is.Equal(len(drawn), len(weights)+len(laterWeights)+len(troubleWeights)+len(floodWeights)+len(demandWeights)+len(deadlyWeights)+len(linkWeights)+len(burstWeights)+len(pauseWeights))
}

// TestSeedOfCI checks that the seed which is played in CI has all kinds of trouble.
func TestSeedOfCI(t *testing.T) {
	is := is.New(t)
	p := NewPlan(1, Small, 10*time.Second)
	for _, kinds := range []map[FaultKind]int{troubleWeights, demandWeights, deadlyWeights, linkWeights, burstWeights, pauseWeights} {
		for kind := range kinds {
			is.True(slices.ContainsFunc(p.Faults, func(s Fault) bool { return s.Kind == kind }))
		}
	}
}

// newScene returns a checker for a fleet with one router, and an attempt to it that succeeded.
func newScene() (*checker, *attempt) {
	r := &router{}
	r.name = "vm0"
	f := &fleet{routers: []*router{r}}
	u := &operatorConfig{}
	u.initial()
	sent := time.Now().Add(-time.Minute)
	return newChecker(f, u, io.Discard), &attempt{
		id: "q1", prefix: "/buy/", target: "/buy/x", body: "b", key: "key", router: r, sentAt: sent, endedAt: sent.Add(100 * time.Millisecond),
		status: 200, fromEndpoint: true, complete: true, responseBody: "POST /buy/x b",
	}
}

// TestGuarantees checks that the violation of each guarantee is found, and that allowed outcomes give none.
func TestGuarantees(t *testing.T) {
	run := func(a *attempt, after time.Duration) standin.RunEvent {
		return standin.RunEvent{UnixMilli: a.sentAt.Add(after).UnixMilli(), Kind: "run", AttemptID: a.id, Replica: "i", Target: a.target}
	}
	stream := func(a *attempt) { a.prefix, a.target, a.received = "/stream/", "/stream/x", streamEvents }
	tests := map[string]struct {
		change func(c *checker, a *attempt)
		want   string // the violated guarantee; empty for none
	}{
		"served":                                {func(c *checker, a *attempt) { c.addEvent(run(a, 0)) }, ""},
		"not the endpoint's":                    {func(_ *checker, a *attempt) { a.fromEndpoint = false }, "whole"},
		"other bytes":                           {func(_ *checker, a *attempt) { a.responseBody = "POST /buy/y b" }, "whole"},
		"complete stream":                       {func(_ *checker, a *attempt) { stream(a) }, ""},
		"short stream":                          {func(_ *checker, a *attempt) { stream(a); a.received-- }, "whole"},
		"broken stream":                         {func(_ *checker, a *attempt) { stream(a); a.received, a.complete = 3, false }, ""},
		"stream cut while its engine is silent": {func(c *checker, a *attempt) { stream(a); cutAt(c, a, a.sentAt.Add(time.Second), true) }, "cut"},
		"stream cut after its engine ended":     {func(c *checker, a *attempt) { stream(a); cutAt(c, a, a.sentAt.Add(time.Second), false) }, ""},
		"stream cut at its deadline":            {func(c *checker, a *attempt) { stream(a); cutAt(c, a, a.sentAt.Add(streamTimeout), true) }, ""},
		"stream cut as its engine crashed": {func(c *checker, a *attempt) {
			stream(a)
			cutAt(c, a, a.sentAt.Add(time.Second), true)
			c.attempts["d"] = &attempt{id: "d", part: "bad1", status: 502, router: a.router}
			c.addEvent(standin.RunEvent{UnixMilli: a.endedAt.UnixMilli() - 1, Kind: "crash", AttemptID: "d", Replica: "i-replica0-1"})
		}, ""},
		"stream cut, router was killed": {func(c *checker, a *attempt) {
			stream(a)
			cutAt(c, a, a.sentAt.Add(time.Second), true)
			a.router.disturbances = []span{{from: a.endedAt}}
		}, ""},
		"deadly part runs on":      {func(c *checker, a *attempt) { deadlyRuns(c, a, freeCrashes+maxDeadlyRuns+1) }, "deadly"},
		"deadly part is kept back": {func(c *checker, a *attempt) { deadlyRuns(c, a, freeCrashes+maxDeadlyRuns) }, ""},
		"deadly part, fresh router": {func(c *checker, a *attempt) {
			deadlyRuns(c, a, 20)
			a.router.disturbances = []span{{from: a.sentAt, until: a.sentAt.Add(12 * time.Second)}}
		}, ""},
		"sound streams are kept back": {func(c *checker, a *attempt) { deadlyRuns(c, a, freeCrashes); soundStreams(c, a, minCompared/2-1) }, "sound"},
		"sound streams are refused in a burst": {func(c *checker, a *attempt) {
			deadlyRuns(c, a, freeCrashes)
			soundStreams(c, a, 0)
			c.bursts = []span{{from: a.sentAt.Add(3 * time.Second), until: a.sentAt.Add(5 * time.Second)}}
		}, ""},
		"sound streams are kept back after a burst": {func(c *checker, a *attempt) {
			deadlyRuns(c, a, freeCrashes)
			soundStreams(c, a, 0)
			c.bursts = []span{{from: a.sentAt, until: a.sentAt.Add(3 * time.Second)}}
		}, "sound"},
		"sound streams, router is cut off from the store": {func(c *checker, a *attempt) {
			deadlyRuns(c, a, freeCrashes)
			soundStreams(c, a, minCompared/2-1)
			c.fleet.storeDisturbances = []storeDisturbance{{span{from: a.sentAt.Add(3 * time.Second), until: a.sentAt.Add(4 * time.Second)}, a.router}}
		}, ""},
		"sound streams, half of the engines are limited": {func(c *checker, a *attempt) {
			deadlyRuns(c, a, freeCrashes)
			soundStreams(c, a, minCompared/2-1)
			limitEngines(c, a, 2)
		}, ""},
		"sound streams, few engines are limited": {func(c *checker, a *attempt) {
			deadlyRuns(c, a, freeCrashes)
			soundStreams(c, a, minCompared/2-1)
			limitEngines(c, a, 1)
		}, "sound"},
		"sound streams, another router is cut off": {func(c *checker, a *attempt) {
			deadlyRuns(c, a, freeCrashes)
			soundStreams(c, a, minCompared/2-1)
			c.fleet.storeDisturbances = []storeDisturbance{{span{from: a.sentAt.Add(3 * time.Second), until: a.sentAt.Add(4 * time.Second)}, &router{}}}
		}, "sound"},
		"sound streams, router is cut off from the replicas": {func(c *checker, a *attempt) {
			deadlyRuns(c, a, freeCrashes)
			soundStreams(c, a, minCompared/2-1)
			cutLinksOf(c, a, span{from: a.sentAt, until: a.sentAt.Add(10 * time.Second)})
		}, "sound"},
		"sound streams, no router reaches the replicas": {func(c *checker, a *attempt) {
			deadlyRuns(c, a, freeCrashes)
			soundStreams(c, a, minCompared/2-1)
			other := cutLinksOf(c, a, span{from: a.sentAt, until: a.sentAt.Add(10 * time.Second)})
			other.disturbances = []span{{from: a.sentAt}}
		}, ""},
		"requests at a router that is cut off fail": {func(c *checker, a *attempt) { failsWhileCut(c, a) }, "reach"},
		"requests at a router that is cut off fail, the other one is down": {func(c *checker, a *attempt) {
			other := failsWhileCut(c, a)
			other.disturbances = []span{{from: a.sentAt.Add(-time.Second), until: a.sentAt.Add(2 * linkContactTime)}}
		}, ""},
		"requests at a router that is cut off fail, the other one was down before": {func(c *checker, a *attempt) {
			other := failsWhileCut(c, a)
			other.disturbances = []span{{from: a.sentAt.Add(-time.Second), until: a.sentAt}}
		}, "reach"},
		"sound streams are served": {func(c *checker, a *attempt) { deadlyRuns(c, a, freeCrashes); soundStreams(c, a, minCompared/2) }, ""},
		"wrong event":              {func(_ *checker, a *attempt) { stream(a); a.eventError = "x" }, "order"},
		"unexpected 404":           {func(_ *checker, a *attempt) { a.status, a.fromEndpoint = 404, false }, "denied"},
		"unknown key":              {func(_ *checker, a *attempt) { a.status, a.fromEndpoint, a.key = 401, false, extraKeyName(0) }, ""},
		"no response":              {func(_ *checker, a *attempt) { a.status, a.complete = 0, false }, "answer"},
		"router was killed": {func(_ *checker, a *attempt) {
			a.status, a.complete = 0, false
			a.router.disturbances = []span{{from: a.sentAt, until: a.endedAt}}
		}, ""},
		"router exited after SIGTERM, within its grace period": {func(_ *checker, a *attempt) {
			a.status, a.complete = 0, false
			a.router.disturbances = []span{{from: a.sentAt.Add(time.Second), stopRequested: a.sentAt}}
		}, "answer"},
		"router exited after SIGTERM, at the end of its grace period": {func(_ *checker, a *attempt) {
			a.status, a.complete = 0, false
			a.router.disturbances = []span{{from: a.sentAt.Add(time.Second), stopRequested: a.sentAt.Add(time.Second - grace)}}
		}, ""},
		"stream truncated by a router that shut down": {func(_ *checker, a *attempt) {
			stream(a)
			a.received, a.complete, a.endedAt = 3, false, a.sentAt.Add(time.Second)
			a.router.disturbances = []span{{from: a.endedAt, stopRequested: a.sentAt}}
		}, "answer"},
		"continues after the caller disconnected": {func(c *checker, a *attempt) {
			stream(a)
			a.leftAt, a.received, a.complete = a.sentAt, 1, false
			s := run(a, 5*time.Second)
			s.Kind = "end"
			c.addEvent(run(a, 0))
			c.addEvent(s)
		}, "gone"},
		"late": {func(_ *checker, a *attempt) {
			a.endedAt = a.sentAt.Add(plainTimeout + maxLateness + schedulingSlack + 1)
		}, "late"},
		"stream runs on after it went on elsewhere": {func(c *checker, a *attempt) { overlappingRuns(c, a, 2*time.Second, span{}) }, "single"},
		"stream ends when it goes on elsewhere":     {func(c *checker, a *attempt) { overlappingRuns(c, a, 300*time.Millisecond, span{}) }, ""},
		"stream ends when its engine wakes": {func(c *checker, a *attempt) {
			overlappingRuns(c, a, 2*time.Second, span{from: a.sentAt, until: a.sentAt.Add(2900 * time.Millisecond), silent: true})
		}, ""},
		"stream runs on after its engine woke": {func(c *checker, a *attempt) {
			overlappingRuns(c, a, 4*time.Second, span{from: a.sentAt, until: a.sentAt.Add(2 * time.Second), silent: true})
		}, "single"},
		"stream runs on at an engine behind a lost connection": {func(c *checker, a *attempt) {
			overlappingRuns(c, a, 2*time.Second, span{from: a.sentAt, until: a.sentAt.Add(time.Second)})
		}, ""},
		"ran twice":       {func(c *checker, a *attempt) { c.addEvent(run(a, 0)); c.addEvent(run(a, 1)) }, "once"},
		"refused and ran": {func(c *checker, a *attempt) { c.addEvent(run(a, 0)); a.status, a.fromEndpoint = 503, false }, "refused"},
		"stream was refused and ran": {func(c *checker, a *attempt) {
			stream(a)
			c.addEvent(run(a, 0))
			a.status, a.fromEndpoint, a.received = 503, false, 0
		}, "refused"},
		"stream was refused": {func(_ *checker, a *attempt) { stream(a); a.status, a.fromEndpoint, a.received = 503, false, 0 }, ""},
		"bulk stream was refused and ran": {func(c *checker, a *attempt) {
			a.prefix, a.target = "/bulk/", "/bulk/x"
			c.addEvent(run(a, 0))
			a.status, a.fromEndpoint = 503, false
		}, "refused"},
		"short bulk stream":                         {func(_ *checker, a *attempt) { stream(a); a.prefix, a.target, a.received = "/bulk/", "/bulk/x", 3 }, "whole"},
		"urgent streams are served less often":      {func(c *checker, a *attempt) { burstStreams(c, a, 8, 0) }, "priority"},
		"urgent streams are served as often":        {func(c *checker, a *attempt) { burstStreams(c, a, 18, 0) }, ""},
		"urgent streams are served less by chance":  {func(c *checker, a *attempt) { burstStreams(c, a, 14, 0) }, ""},
		"urgent streams are sent in a worse second": {func(c *checker, a *attempt) { burstStreams(c, a, 8, burstStratum) }, ""},
		"urgent streams are served less, after burst": {func(c *checker, a *attempt) {
			burstStreams(c, a, 8, 0)
			c.bursts[0].until = a.sentAt.Add(-time.Microsecond)
		}, ""},
		"urgent streams at a router that reaches no engines": {func(c *checker, a *attempt) {
			burstStreams(c, a, 8, 0)
			c.fleet.linkCuts = []linkCut{{span: span{from: a.sentAt, until: a.sentAt.Add(time.Second)}, routers: []*router{a.router}}}
		}, ""},
		"refused by the replica": {func(c *checker, a *attempt) { c.addEvent(run(a, 0)); a.status = 503 }, ""},
		"other target":           {func(c *checker, a *attempt) { s := run(a, 0); s.Target = "/"; c.addEvent(s) }, "unasked"},
		"unknown attempt id":     {func(c *checker, a *attempt) { s := run(a, 0); s.AttemptID = "q9"; c.addEvent(s) }, "unasked"},
		"drained long ago": {func(c *checker, a *attempt) {
			s := run(a, 0)
			s.DrainingSince = a.sentAt.Add(-5 * time.Second).UnixMilli()
			c.addEvent(s)
		}, "drain"},
		"just drained": {func(c *checker, a *attempt) {
			s := run(a, 0)
			s.DrainingSince = a.sentAt.Add(-time.Second).UnixMilli()
			c.addEvent(s)
		}, ""},
		"key was revoked long ago": {func(c *checker, a *attempt) {
			c.config.keysRevokedAt = []time.Time{a.sentAt.Add(-8 * time.Second), {}}
			s := run(a, 0)
			s.Organisation = extraOrganisation(0)
			c.addEvent(s)
		}, "revoked"},
		"endpoint that is leaving": {func(c *checker, a *attempt) {
			c.attempts["q0"] = &attempt{id: "q0", status: 200, router: a.router, leaving: "i", headAt: a.sentAt.Add(-drainTime - 1)}
			c.addEvent(run(a, 0))
		}, "leaving"},
		"endpoint that has just said that it is leaving": {func(c *checker, a *attempt) {
			c.attempts["q0"] = &attempt{id: "q0", status: 200, router: a.router, leaving: "i", headAt: a.sentAt.Add(-drainTime)}
			c.addEvent(run(a, 0))
		}, ""},
		"endpoint that another router knows to be leaving": {func(c *checker, a *attempt) {
			c.attempts["q0"] = &attempt{id: "q0", status: 200, router: &router{}, leaving: "i", headAt: a.sentAt.Add(-drainTime - 1)}
			c.addEvent(run(a, 0))
		}, ""},
		"requests in a pause":           {func(c *checker, a *attempt) { pausedRuns(c, a, maxArrivalsPaused+1) }, "pause"},
		"requests that were on the way": {func(c *checker, a *attempt) { pausedRuns(c, a, maxArrivalsPaused) }, ""},
		"deadly request runs on":        {func(c *checker, a *attempt) { repeatedRuns(c, a, crashesToLearn+maxRepeats+1) }, "repeat"},
		"deadly request was answered before it ran on": {func(c *checker, a *attempt) {
			repeatedRuns(c, a, crashesToLearn+maxRepeats+1)
			c.attempts["answered"] = &attempt{id: "answered", prefix: "/get/", deadly: "deadly0", router: a.router, sentAt: a.sentAt, headAt: a.sentAt.Add(time.Second), endedAt: a.sentAt.Add(time.Second), status: 200, fromEndpoint: true, complete: true}
		}, ""},
		"deadly request was answered after it ran on": {func(c *checker, a *attempt) {
			repeatedRuns(c, a, crashesToLearn+maxRepeats+1)
			c.attempts["answered"] = &attempt{id: "answered", prefix: "/get/", deadly: "deadly0", router: a.router, sentAt: a.sentAt, headAt: a.sentAt.Add(time.Minute), endedAt: a.sentAt.Add(time.Minute), status: 200, fromEndpoint: true, complete: true}
		}, "repeat"},
		"deadly request is kept back":      {func(c *checker, a *attempt) { repeatedRuns(c, a, crashesToLearn+maxRepeats) }, ""},
		"limit is exceeded":                {func(c *checker, a *attempt) { limitedRuns(c, a, limitSettles, 12) }, "limit"},
		"limit is kept":                    {func(c *checker, a *attempt) { limitedRuns(c, a, limitSettles, 11) }, ""},
		"limit that was named just now":    {func(c *checker, a *attempt) { limitedRuns(c, a, limitSettles-time.Second, 12) }, ""},
		"limit that the router can't know": {func(c *checker, a *attempt) { limitedRuns(c, a, limitSettles, 12); c.attempts["q0"].router = &router{} }, ""},
		"starts after the caller disconnected": {func(c *checker, a *attempt) {
			stream(a)
			a.leftAt, a.received, a.complete = a.sentAt, 1, false
			c.addEvent(run(a, 5*time.Second))
		}, "gone"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, a := newScene()
			c.change(r, a)
			r.checkAttempt(a)
			r.checkRun()
			if c.want == "" {
				is.Equal(len(r.violations), 0)
				return
			}
			is.Equal(len(r.violations), 1)
			is.Equal(r.violations[0].Guarantee, c.want)
		})
	}
}

// cutAt ends a stream of an engine that is silent, or has ended.
func cutAt(c *checker, a *attempt, at time.Time, silent bool) {
	e := &replica{}
	e.name, e.disturbances = "replica0", []span{{from: a.sentAt, until: at, silent: silent}}
	c.fleet.replicas = []*replica{e}
	c.addEvent(standin.RunEvent{UnixMilli: a.sentAt.UnixMilli(), Kind: "run", AttemptID: a.id, Replica: "i-replica0-1", Target: a.target})
	a.received, a.complete, a.endedAt = 3, false, at
}

// deadlyRuns lets requests with a part that crashes engines run: five at once, the others over 3 s later, and one that is kept back.
func deadlyRuns(c *checker, a *attempt, runs int) {
	for i := range runs + 1 {
		at := a.sentAt
		if i >= freeCrashes {
			at = at.Add(learnTime + 2*time.Second)
		}
		d := &attempt{id: fmt.Sprint("d", i), prefix: "/stream/", target: "/stream/x", part: "bad1", router: a.router, sentAt: at, endedAt: at, status: 502, complete: true}
		c.attempts[d.id] = d
		if i == runs {
			d.sentAt = at.Add(10 * time.Second)
			return
		}
		for _, kind := range []string{"run", "crash"} {
			c.addEvent(standin.RunEvent{UnixMilli: at.UnixMilli(), Kind: kind, AttemptID: d.id, Replica: fmt.Sprint("i-e", i), Target: d.target})
		}
	}
}

// soundStreams serves all streams of an earlier time, and some of those after five crashes.
func soundStreams(c *checker, a *attempt, served int) {
	for i := range 2 * minCompared {
		s := &attempt{id: fmt.Sprint("s", i), prefix: "/stream/", router: a.router, sentAt: a.sentAt.Add(-5 * time.Second), status: 200, complete: true}
		if i >= minCompared {
			s.sentAt = a.sentAt.Add(4 * time.Second)
			if i >= minCompared+served {
				s.status = 503
			}
		}
		s.endedAt = s.sentAt
		c.attempts[s.id] = s
	}
}

// cutLinksOf cuts the router of an attempt from all replicas, and returns another router, which reaches them.
func cutLinksOf(c *checker, a *attempt, during span) *router {
	other := &router{}
	c.fleet.routers = []*router{a.router, other}
	c.fleet.linkCuts = []linkCut{{span: during, routers: []*router{a.router}}}
	return other
}

// failsWhileCut lets first tries fail at a router that is cut off from the replicas, for a second, and later ones be served at another one.
func failsWhileCut(c *checker, a *attempt) *router {
	other := cutLinksOf(c, a, span{from: a.sentAt, until: a.sentAt.Add(20 * time.Second)})
	for i := range 2 * minCompared {
		failed := &attempt{id: fmt.Sprint("f", i), prefix: "/get/", router: a.router, status: 503, complete: true}
		failed.sentAt = a.sentAt.Add(linkContactTime + time.Duration(i)*50*time.Millisecond)
		served := &attempt{id: fmt.Sprint("g", i), prefix: "/stream/", router: other, status: 200, complete: true, received: streamEvents}
		served.sentAt = a.sentAt.Add(15 * time.Second)
		for _, s := range []*attempt{failed, served} {
			s.endedAt = s.sentAt
			c.attempts[s.id] = s
		}
	}
	return other
}

// pausedRuns lets an endpoint ask for a pause and run some requests of the same router in it.
func pausedRuns(c *checker, a *attempt, runs int) {
	c.attempts["q0"] = &attempt{id: "q0", status: 200, router: a.router}
	c.addEvent(standin.RunEvent{UnixMilli: a.sentAt.UnixMilli(), Kind: "refuse", AttemptID: "q0", Replica: "i"})
	for i := range runs {
		id := fmt.Sprint("p", i)
		c.attempts[id] = &attempt{id: id, status: 200, router: a.router, target: "/get/x"}
		c.addEvent(standin.RunEvent{UnixMilli: a.sentAt.Add(callPause - 50*time.Millisecond).UnixMilli(), Kind: "run", AttemptID: id, Replica: "i", Target: "/get/x"})
	}
}

// repeatedRuns lets a request crash replicas: three at once, the others over 3 s later.
func repeatedRuns(c *checker, a *attempt, runs int) {
	for i := range runs {
		at := a.sentAt
		if i >= crashesToLearn {
			at = at.Add(learnTime + time.Second)
		}
		d := &attempt{id: fmt.Sprint("d", i), prefix: "/get/", target: "/get/x", deadly: "deadly0", router: a.router, sentAt: at, endedAt: at, status: 502, complete: true}
		c.attempts[d.id] = d
		for _, kind := range []string{"run", "crash"} {
			c.addEvent(standin.RunEvent{UnixMilli: at.UnixMilli(), Kind: kind, AttemptID: d.id, Replica: fmt.Sprint("i-e", i), Target: d.target})
		}
	}
}

// burstStreams sends 20 bulk streams in a burst, and 20 urgent ones some time later, and serves some of these and 18 bulk ones.
func burstStreams(c *checker, a *attempt, urgentServed int, after time.Duration) {
	c.addBurst(span{from: a.sentAt.Add(-time.Millisecond), until: a.sentAt.Add(burstTime)})
	for prefix, served := range map[string]int{"/stream/": urgentServed, "/bulk/": 18} {
		for i := range 20 {
			s := &attempt{id: fmt.Sprint(prefix, i), prefix: prefix, prompt: burstPrompt, router: a.router, sentAt: a.sentAt, status: 503, complete: true}
			if i < served {
				s.status = 200
			}
			if prefix == "/stream/" {
				s.sentAt = s.sentAt.Add(after)
			}
			s.endedAt = s.sentAt.Add(time.Millisecond)
			c.attempts[s.id] = s
		}
	}
}

// limitEngines lets some of four engines name limits.
func limitEngines(c *checker, a *attempt, limited int) {
	c.fleet.size.Engines = 4
	for i := range limited {
		e := &replica{service: "pool"}
		e.name = fmt.Sprint("replica", i)
		c.fleet.replicas = append(c.fleet.replicas, e)
		c.addLimit(fmt.Sprintf("i-%s-1", e.name), span{from: a.sentAt.Add(3 * time.Second), until: a.sentAt.Add(6 * time.Second)})
	}
}

// limitedRuns lets an endpoint name a limit and run some requests at a time after that.
func limitedRuns(c *checker, a *attempt, after time.Duration, runs int) {
	c.addLimit("i", span{from: a.sentAt, until: a.sentAt.Add(limitTime)})
	c.attempts["q0"] = &attempt{id: "q0", status: 200, router: a.router, limited: "i", headAt: a.sentAt.Add(time.Millisecond)}
	for i := range runs {
		id := fmt.Sprint("p", i)
		c.attempts[id] = &attempt{id: id, status: 200, router: a.router, target: "/get/x"}
		c.addEvent(standin.RunEvent{UnixMilli: a.sentAt.Add(after + time.Duration(100+i)*time.Millisecond).UnixMilli(), Kind: "run", AttemptID: id, Replica: "i", Target: "/get/x"})
	}
}

// TestBudget checks that retries are counted over the whole fleet.
func TestBudget(t *testing.T) {
	for retries, violations := range map[int]int{budgetReserve: 0, budgetReserve + 2: 1} {
		is := is.New(t)
		r, a := newScene()
		a.prefix, a.target, a.responseBody = "/get/", "/get/x", "POST /get/x b"
		for i := range retries + 1 {
			r.addEvent(standin.RunEvent{UnixMilli: a.sentAt.Add(time.Duration(i) * time.Millisecond).UnixMilli(), Kind: "run", AttemptID: a.id, Target: a.target})
		}
		r.checkAttempt(a)
		r.checkRun()
		is.Equal(len(r.violations), violations)
	}
}

// overlappingRuns adds two runs of a stream, of which the first one goes on for a time after the second one has begun, at an engine that was
// disturbed for a span.
func overlappingRuns(c *checker, a *attempt, overlap time.Duration, disturbed span) {
	a.prefix, a.target, a.received, a.endedAt = "/stream/", "/stream/x", streamEvents, a.sentAt.Add(6*time.Second)
	for _, name := range []string{"replica0", "replica1"} {
		e := &replica{}
		e.name = name
		c.fleet.replicas = append(c.fleet.replicas, e)
	}
	if !disturbed.from.IsZero() {
		c.fleet.replicas[0].disturbances = []span{disturbed}
	}
	event := func(replica, kind string, after time.Duration) {
		c.addEvent(standin.RunEvent{UnixMilli: a.sentAt.Add(after).UnixMilli(), Kind: kind, AttemptID: a.id, Replica: replica, Target: a.target})
	}
	event("i-replica0-1", "run", 0)
	event("i-replica1-1", "run", time.Second)
	event("i-replica0-1", "left", time.Second+overlap)
	event("i-replica1-1", "end", 5*time.Second)
}
