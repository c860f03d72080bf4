package moves

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"jaywind"
	"jaywind/internal/core/move"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

// request starts one request at one router.
func (u *simulation) startRequest() {
	i := u.rng.IntN(len(u.routers))
	if u.scenario.OneRouter {
		i = 0
	}
	m := u.move(i)
	r := &table.Request{ID: jaywind.RequestID(fmt.Sprintf("r%x", u.rng.Uint64())), Model: "heat", Route: u.pickRoute()}
	toNew := move.VersionFor(u.routers[i], r) == "v2"
	if m != nil {
		delete(m.Trials, r.ID)
	}
	pool := u.old
	if toNew {
		pool = u.replicas[i]
	}
	u.oracle.recordStart(u.tick, toNew)
	if m == nil || len(pool) == 0 {
		return
	}
	e, found := u.pickReplica(pool)
	if found {
		u.scheduleOutcomes(i, &table.Trial{New: toNew, Route: r.Route, Endpoint: e.ID})
	}
}

func (u *simulation) pickRoute() jaywind.Route {
	if u.workload.SingleRoute {
		return ""
	}
	x := u.rng.Float64()
	for _, r := range routes {
		if x < r.share {
			return r.name
		}
		x -= r.share
	}
	return routes[0].name
}

// pick takes the less loaded of two replicas that are not known to be dead.
func (u *simulation) pickReplica(pool []rule.Endpoint) (rule.Endpoint, bool) {
	var best rule.Endpoint
	found := false
	for range 6 {
		e := pool[u.rng.IntN(len(pool))]
		if at, dead := u.deadSince[e.ID]; dead && u.tick-at >= int(deathNoticeDelay/u.workload.Tick) {
			continue
		}
		if found {
			if u.inflight[e.ID] < u.inflight[best.ID] {
				best = e
			}
			break
		}
		best = e
		found = true
	}
	return best, found
}

// answer draws what becomes of an attempt and puts its outcomes off to their times.
func (u *simulation) scheduleOutcomes(i int, t *table.Trial) {
	u.inflight[t.Endpoint]++
	if _, dead := u.deadSince[t.Endpoint]; dead {
		u.schedule(0, outcome{router: i, trial: t, measure: table.MeasureFailure, bad: true, final: true})
		return
	}
	slow := 1.0
	fail := baseFailureRate
	hang := 0.0
	if u.scenario.LoadDoubles && u.tick >= u.faultTick {
		slow = doubledLoadSlowdown
	}
	if t.New && u.faulty(t) {
		fail = max(fail, u.scenario.FailureRate)
		hang = u.scenario.HangRate
		slow *= max(u.scenario.Slowdown, 1)
	}
	first := sampleLatency(u.rng, firstTokenMedian, firstTokenSigma, slow)
	gap := sampleLatency(u.rng, tokenGapMedian, tokenGapSigma, slow)
	tokens := u.rng.ExpFloat64() * meanTokens
	if u.rng.Float64() < longAnswerShare {
		tokens = u.rng.ExpFloat64() * longAnswerTokens
	}
	whole := first + time.Duration(tokens*float64(gap))
	if u.rng.Float64() < hang {
		u.schedule(hangTimeout, outcome{router: i, trial: t, measure: table.MeasureFailure, bad: true, final: true})
		return
	}
	u.schedule(first, outcome{router: i, trial: t, measure: table.MeasureFirst, latency: first})
	if u.rng.Float64() < fail {
		at := time.Duration(u.rng.Float64() * float64(whole))
		u.schedule(at, outcome{router: i, trial: t, measure: table.MeasureFailure, bad: true, final: true})
		return
	}
	u.schedule(min(first+32*gap, whole), outcome{router: i, trial: t, measure: table.MeasureGap, latency: gap})
	u.schedule(whole, outcome{router: i, trial: t, measure: table.MeasureFailure, final: true})
}

func sampleLatency(rng *rand.Rand, median time.Duration, sigma, factor float64) time.Duration {
	return time.Duration(float64(median) * factor * math.Exp(sigma*rng.NormFloat64()))
}

func (u *simulation) schedule(d time.Duration, o outcome) {
	at := u.tick + max(int(d/u.workload.Tick), 0)
	u.pending[at] = append(u.pending[at], o)
}

// badNow tells whether the new version's fault shows on an attempt that starts now.
func (u *simulation) faulty(t *table.Trial) bool {
	k := u.scenario
	if !k.Bad || k.LateFault && u.tick < u.faultTick || k.OneRouteOnly && t.Route != routes[2].name {
		return false
	}
	return !k.UnderLoadOnly || float64(u.inflight[t.Endpoint]) >= 0.7*u.meanInflight()
}

func (u *simulation) meanInflight() float64 {
	sum := 0
	for _, e := range u.old {
		sum += u.inflight[e.ID]
	}
	return max(float64(sum)/float64(len(u.old)), 1)
}

// settle hands an outcome to the router that saw it.
func (u *simulation) recordOutcome(o outcome) {
	if o.final {
		u.inflight[o.trial.Endpoint]--
	}
	_, dead := u.deadSince[o.trial.Endpoint]
	bad := o.bad || o.final && dead
	if o.trial.New && (!u.scenario.LateFault || u.tick >= u.faultTick) {
		u.oracle.recordOutcome(u.tick, o, bad)
	}
	m := u.move(o.router)
	if m.State != table.MoveGoing {
		return
	}
	s := u.routers[o.router]
	if o.measure == table.MeasureFailure {
		move.Count(s, m, o.trial, o.measure, bad)
		return
	}
	if !dead {
		move.Compare(s, m, o.trial, o.measure, o.latency)
	}
}

// strike brings about the fault of the surroundings.
func (u *simulation) injectFault() {
	if u.scenario.DomainLost {
		for id, e := range u.routers[0].Rules.Endpoints {
			if e.Domain == "d0" {
				u.killReplica(id)
			}
		}
	}
	if u.scenario.ReplicaDies && len(u.replicas[0]) > 0 {
		u.killReplica(u.replicas[0][0].ID)
	}
}

// kill ends a replica; the attempts in flight on it fail at once.
func (u *simulation) killReplica(id jaywind.EndpointID) {
	u.deadSince[id] = u.tick
	for at, list := range u.pending {
		kept := list[:0]
		for _, o := range list {
			if o.trial.Endpoint != id || at <= u.tick {
				kept = append(kept, o)
				continue
			}
			if o.final {
				o.bad = true
				u.pending[u.tick] = append(u.pending[u.tick], o)
			}
		}
		if at != u.tick {
			u.pending[at] = kept
		}
	}
}

// bury lets placement leave dead replicas alone once that is noticed.
func (u *simulation) excludeDead() {
	for id, at := range u.deadSince {
		if u.tick-at != int(deathNoticeDelay/u.workload.Tick) {
			continue
		}
		for _, s := range u.routers {
			s.Endpoints[id].Leaving = true
		}
	}
}
