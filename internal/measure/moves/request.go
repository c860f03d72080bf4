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

// startRequest starts a request at a random router, or at the first one if the scenario says so.
func (sim *simulation) startRequest() {
	i := sim.rng.IntN(len(sim.routers))
	if sim.scenario.OneRouter {
		i = 0
	}
	m := sim.move(i)
	r := &table.Request{ID: jaywind.RequestID(fmt.Sprintf("r%x", sim.rng.Uint64())), Model: "heat", Route: sim.pickRoute()}
	toNew := move.VersionFor(sim.routers[i], r) == "v2"
	if m != nil {
		delete(m.Observations, r.ID)
	}
	pool := sim.old
	if toNew {
		pool = sim.replicas[i]
	}
	sim.oracle.recordStart(sim.tick, toNew)
	if m == nil || len(pool) == 0 {
		return
	}
	e, found := sim.pickReplica(pool)
	if found {
		sim.scheduleOutcomes(i, &table.Observation{New: toNew, Route: r.Route, Endpoint: e.ID})
	}
}

func (sim *simulation) pickRoute() jaywind.Route {
	if sim.workload.SingleRoute {
		return ""
	}
	x := sim.rng.Float64()
	for _, r := range routes {
		if x < r.share {
			return r.name
		}
		x -= r.share
	}
	return routes[0].name
}

// pickReplica chooses the less loaded of two random replicas, and skips replicas that are known to be dead.
func (sim *simulation) pickReplica(pool []rule.Endpoint) (rule.Endpoint, bool) {
	var best rule.Endpoint
	found := false
	for range 6 {
		e := pool[sim.rng.IntN(len(pool))]
		if at, dead := sim.deadSince[e.ID]; dead && sim.tick-at >= int(deathNoticeDelay/sim.workload.Tick) {
			continue
		}
		if found {
			if sim.inflight[e.ID] < sim.inflight[best.ID] {
				best = e
			}
			break
		}
		best = e
		found = true
	}
	return best, found
}

// scheduleOutcomes draws the outcomes of an attempt and schedules them.
func (sim *simulation) scheduleOutcomes(i int, observation *table.Observation) {
	sim.inflight[observation.Endpoint]++
	if _, dead := sim.deadSince[observation.Endpoint]; dead {
		sim.schedule(0, outcome{router: i, observation: observation, measure: table.MeasureFailure, bad: true, final: true})
		return
	}
	slow := 1.0
	fail := baseFailureRate
	hang := 0.0
	if sim.scenario.LoadDoubles && sim.tick >= sim.faultTick {
		slow = doubledLoadSlowdown
	}
	if observation.New && sim.faulty(observation) {
		fail = max(fail, sim.scenario.FailureRate)
		hang = sim.scenario.HangRate
		slow *= max(sim.scenario.Slowdown, 1)
	}
	first := sampleLatency(sim.rng, firstTokenMedian, firstTokenSigma, slow)
	gap := sampleLatency(sim.rng, tokenGapMedian, tokenGapSigma, slow)
	tokens := sim.rng.ExpFloat64() * meanTokens
	if sim.rng.Float64() < longAnswerShare {
		tokens = sim.rng.ExpFloat64() * longAnswerTokens
	}
	whole := first + time.Duration(tokens*float64(gap))
	if sim.rng.Float64() < hang {
		sim.schedule(hangTimeout, outcome{router: i, observation: observation, measure: table.MeasureFailure, bad: true, final: true})
		return
	}
	sim.schedule(first, outcome{router: i, observation: observation, measure: table.MeasureFirstToken, latency: first})
	if sim.rng.Float64() < fail {
		at := time.Duration(sim.rng.Float64() * float64(whole))
		sim.schedule(at, outcome{router: i, observation: observation, measure: table.MeasureFailure, bad: true, final: true})
		return
	}
	sim.schedule(min(first+32*gap, whole), outcome{router: i, observation: observation, measure: table.MeasureTokenGap, latency: gap})
	sim.schedule(whole, outcome{router: i, observation: observation, measure: table.MeasureFailure, final: true})
}

func sampleLatency(rng *rand.Rand, median time.Duration, sigma, factor float64) time.Duration {
	return time.Duration(float64(median) * factor * math.Exp(sigma*rng.NormFloat64()))
}

func (sim *simulation) schedule(delay time.Duration, o outcome) {
	at := sim.tick + max(int(delay/sim.workload.Tick), 0)
	sim.pending[at] = append(sim.pending[at], o)
}

// faulty reports whether the new version is bad for an attempt that starts now.
func (sim *simulation) faulty(observation *table.Observation) bool {
	scenario := sim.scenario
	if !scenario.Bad || scenario.LateFault && sim.tick < sim.faultTick || scenario.OneRouteOnly && observation.Route != routes[2].name {
		return false
	}
	return !scenario.UnderLoadOnly || float64(sim.inflight[observation.Endpoint]) >= 0.7*sim.meanInflight()
}

func (sim *simulation) meanInflight() float64 {
	sum := 0
	for _, e := range sim.old {
		sum += sim.inflight[e.ID]
	}
	return max(float64(sum)/float64(len(sim.old)), 1)
}

// recordOutcome records an outcome at the router that observes it.
func (sim *simulation) recordOutcome(o outcome) {
	if o.final {
		sim.inflight[o.observation.Endpoint]--
	}
	_, dead := sim.deadSince[o.observation.Endpoint]
	bad := o.bad || o.final && dead
	if o.observation.New && (!sim.scenario.LateFault || sim.tick >= sim.faultTick) {
		sim.oracle.recordOutcome(sim.tick, o, bad)
	}
	m := sim.move(o.router)
	if m.State != table.MoveRunning {
		return
	}
	s := sim.routers[o.router]
	if o.measure == table.MeasureFailure {
		move.RecordOutcome(s, m, o.observation, o.measure, bad)
		return
	}
	if !dead {
		move.RecordDuration(s, m, o.observation, o.measure, o.latency)
	}
}

// injectFault injects the environment fault of the scenario.
func (sim *simulation) injectFault() {
	if sim.scenario.DomainLost {
		for id, e := range sim.routers[0].Rules.Endpoints {
			if e.Domain == "d0" {
				sim.killReplica(id)
			}
		}
	}
	if sim.scenario.ReplicaDies && len(sim.replicas[0]) > 0 {
		sim.killReplica(sim.replicas[0][0].ID)
	}
}

// killReplica stops a replica. Its in-flight attempts fail at once.
func (sim *simulation) killReplica(id jaywind.EndpointID) {
	sim.deadSince[id] = sim.tick
	for at, list := range sim.pending {
		kept := list[:0]
		for _, o := range list {
			if o.observation.Endpoint != id || at <= sim.tick {
				kept = append(kept, o)
				continue
			}
			if o.final {
				o.bad = true
				sim.pending[sim.tick] = append(sim.pending[sim.tick], o)
			}
		}
		if at != sim.tick {
			sim.pending[at] = kept
		}
	}
}

// excludeDead excludes dead replicas from placement once their death is noticed.
func (sim *simulation) excludeDead() {
	for id, at := range sim.deadSince {
		if sim.tick-at != int(deathNoticeDelay/sim.workload.Tick) {
			continue
		}
		for _, s := range sim.routers {
			s.Endpoints[id].Leaving = true
		}
	}
}
