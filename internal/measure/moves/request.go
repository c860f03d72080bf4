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
func (u *run) request() {
	i := u.random.IntN(len(u.routers))
	if u.kind.One {
		i = 0
	}
	m := u.move(i)
	r := &table.Request{ID: jaywind.RequestID(fmt.Sprintf("r%x", u.random.Uint64())), Model: "heat", Route: u.route()}
	recent := move.VersionFor(u.routers[i], r) == "v2"
	if m != nil {
		delete(m.Observations, r.ID)
	}
	pool := u.old
	if recent {
		pool = u.inUse[i]
	}
	u.shown.start(u.tick, recent)
	if m == nil || len(pool) == 0 {
		return
	}
	e, found := u.pick(pool)
	if found {
		u.answer(i, &table.Observation{New: recent, Route: r.Route, Endpoint: e.ID})
	}
}

func (u *run) route() jaywind.Route {
	if u.load.Plain {
		return ""
	}
	x := u.random.Float64()
	for _, r := range routes {
		if x < r.share {
			return r.name
		}
		x -= r.share
	}
	return routes[0].name
}

// pick takes the less loaded of two replicas that are not known to be dead.
func (u *run) pick(pool []rule.Endpoint) (rule.Endpoint, bool) {
	var best rule.Endpoint
	found := false
	for range 6 {
		e := pool[u.random.IntN(len(pool))]
		if at, dead := u.dead[e.ID]; dead && u.tick-at >= int(noticeDead/u.load.Tick) {
			continue
		}
		if found {
			if u.flight[e.ID] < u.flight[best.ID] {
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
func (u *run) answer(i int, t *table.Observation) {
	u.flight[t.Endpoint]++
	if _, dead := u.dead[t.Endpoint]; dead {
		u.later(0, outcome{router: i, trial: t, measure: table.MeasureFailure, bad: true, final: true})
		return
	}
	slow := 1.0
	fail := normalFail
	hang := 0.0
	if u.kind.Double && u.tick >= u.turns {
		slow = doubleSlow
	}
	if t.New && u.badNow(t) {
		fail = max(fail, u.kind.Fail)
		hang = u.kind.Hang
		slow *= max(u.kind.Slow, 1)
	}
	first := draw(u.random, firstMedian, firstSpread, slow)
	gap := draw(u.random, gapMedian, gapSpread, slow)
	tokens := u.random.ExpFloat64() * meanTokens
	if u.random.Float64() < longShare {
		tokens = u.random.ExpFloat64() * longTokens
	}
	whole := first + time.Duration(tokens*float64(gap))
	if u.random.Float64() < hang {
		u.later(hangNotice, outcome{router: i, trial: t, measure: table.MeasureFailure, bad: true, final: true})
		return
	}
	u.later(first, outcome{router: i, trial: t, measure: table.MeasureFirstToken, took: first})
	if u.random.Float64() < fail {
		at := time.Duration(u.random.Float64() * float64(whole))
		u.later(at, outcome{router: i, trial: t, measure: table.MeasureFailure, bad: true, final: true})
		return
	}
	u.later(min(first+32*gap, whole), outcome{router: i, trial: t, measure: table.MeasureTokenGap, took: gap})
	u.later(whole, outcome{router: i, trial: t, measure: table.MeasureFailure, final: true})
}

func draw(r *rand.Rand, median time.Duration, spread, factor float64) time.Duration {
	return time.Duration(float64(median) * factor * math.Exp(spread*r.NormFloat64()))
}

func (u *run) later(d time.Duration, o outcome) {
	at := u.tick + max(int(d/u.load.Tick), 0)
	u.pending[at] = append(u.pending[at], o)
}

// badNow tells whether the new version's fault shows on an attempt that starts now.
func (u *run) badNow(t *table.Observation) bool {
	k := u.kind
	if !k.Bad || k.Later && u.tick < u.turns || k.Route && t.Route != routes[2].name {
		return false
	}
	return !k.Load || float64(u.flight[t.Endpoint]) >= 0.7*u.meanFlight()
}

func (u *run) meanFlight() float64 {
	sum := 0
	for _, e := range u.old {
		sum += u.flight[e.ID]
	}
	return max(float64(sum)/float64(len(u.old)), 1)
}

// settle hands an outcome to the router that saw it.
func (u *run) settle(o outcome) {
	if o.final {
		u.flight[o.trial.Endpoint]--
	}
	_, dead := u.dead[o.trial.Endpoint]
	bad := o.bad || o.final && dead
	if o.trial.New && (!u.kind.Later || u.tick >= u.turns) {
		u.shown.note(u.tick, o, bad)
	}
	m := u.move(o.router)
	if m.State != table.MoveRunning {
		return
	}
	s := u.routers[o.router]
	if o.measure == table.MeasureFailure {
		move.RecordOutcome(s, m, o.trial, o.measure, bad)
		return
	}
	if !dead {
		move.RecordDuration(s, m, o.trial, o.measure, o.took)
	}
}

// strike brings about the fault of the surroundings.
func (u *run) strike() {
	if u.kind.Domain {
		for id, e := range u.routers[0].Rules.Endpoints {
			if e.Domain == "d0" {
				u.kill(id)
			}
		}
	}
	if u.kind.Replica && len(u.inUse[0]) > 0 {
		u.kill(u.inUse[0][0].ID)
	}
}

// kill ends a replica; the attempts in flight on it fail at once.
func (u *run) kill(id jaywind.EndpointID) {
	u.dead[id] = u.tick
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
func (u *run) bury() {
	for id, at := range u.dead {
		if u.tick-at != int(noticeDead/u.load.Tick) {
			continue
		}
		for _, s := range u.routers {
			s.Endpoints[id].Leaving = true
		}
	}
}
