package rollout

import (
	"reflect"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/move"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

// Order is an operator's request to shift a service's traffic to a version within a given time.
type Order struct {
	Service    jaywind.ServiceName
	Target     jaywind.Version
	Duration   time.Duration
	ReceivedAt time.Time // when this router received the order
}

// Phase is the progress of a roll-out.
type Phase string

// The phases in their order; the last two are final. Their texts are stored, so they differ from some of the names and must
// not change.
const (
	PhaseCanary     Phase = "trial" // a share of new work goes to the new version
	PhaseShift      Phase = "shift" // all new work goes to the new version
	PhaseDone       Phase = "done"
	PhaseRolledBack Phase = "back"
)

// Final reports whether a phase ends the roll-out.
func (p Phase) Final() bool { return p == PhaseDone || p == PhaseRolledBack }

// State is the state of a roll-out that all routers follow.
type State struct {
	Target jaywind.Version `json:"target"`
	Phase  Phase           `json:"phase"`
	Share  float64         `json:"share"` // of new work on the target in the canary phase
	Reason string          `json:"reason"`
	Step   int             `json:"step,omitempty"` // rises with each change of the state
	// AgeMs is the time since the order, in milliseconds, when the state was decided, and AtMs the leader's time of day then, as Unix
	// milliseconds. They tell a router that starts later how much of the order's time has passed.
	AgeMs int64 `json:"age_ms,omitempty"`
	AtMs  int64 `json:"at_ms,omitempty"`
	// Ledger tells routers that have not seen earlier orders which other versions may run requests.
	Ledger Ledger `json:"ledger,omitempty"`
}

// Equal reports whether two states are the same.
func (s State) Equal(o State) bool {
	a, b := s, o
	a.Ledger, b.Ledger = nil, nil
	return reflect.DeepEqual(a, b) && s.Ledger.equal(o.Ledger)
}

// phaseOrder orders the phases; both ends are equal.
var phaseOrder = map[Phase]int{PhaseCanary: 0, PhaseShift: 1, PhaseDone: 2, PhaseRolledBack: 2}

// OrderedAt returns when the order was given, as a router that has just started can tell from a state that it finds, or the zero time if the
// state does not say. Times of day may jump, so the state counts as maxStateAge old at most.
func (s State) OrderedAt(now time.Time) time.Time {
	if s.AtMs == 0 {
		return time.Time{}
	}
	old := min(max(0, now.Sub(time.UnixMilli(s.AtMs))), maxStateAge)
	return now.Add(-old - time.Duration(s.AgeMs)*time.Millisecond)
}

// Supersedes reports whether a state may follow an older one of the same order. A roll-out never returns to an earlier phase
// or step, and its end is final. States without steps, of routers that write none, follow each other within a phase.
func (s State) Supersedes(old State) bool {
	switch {
	case s.Equal(old), old.Phase.Final():
		return false
	case phaseOrder[s.Phase] != phaseOrder[old.Phase]:
		return phaseOrder[s.Phase] > phaseOrder[old.Phase]
	}
	return s.Step == 0 || s.Step >= old.Step
}

// Bounds limit the number of requests that a bad version may receive, to the sum of both fields.
type Bounds struct {
	Share         float64 // of all requests between the order and its deadline
	ExtraRequests int     // requests in addition
}

// Totals are the outcomes that a router has counted since it received the order.
type Totals struct {
	Target   jaywind.Version // of the order; empty from older routers
	Age      time.Duration   // since the router received the order; 0 from older routers
	Outcomes map[table.OutcomeKey]table.OutcomeCounts
	Starts   int // requests sent to the new version
	Requests int // requests for the service
	Unjudged int // successes of the new version of which it is not known whether they were late
	// Baselines are the old version's durations. Unlike the other fields they are no running totals, and they may have begun
	// before the order.
	Baselines map[table.RouteMeasure]table.Durations
}

// LateLimits are the durations above which a response of either version is late.
type LateLimits map[table.RouteMeasure]time.Duration

// AllRoutes stands for all routes of the service together. Durations are also tested over all of them, as the traffic of
// each may be too thin.
const AllRoutes = jaywind.Route("")

const (
	initialShare          = 0.04                   // while the rate of requests is unknown
	maxCanaryShare        = 0.5                    // of new work in the canary phase, however thin the traffic
	maxBoundUse           = 0.85                   // of the bound, for the whole roll-out
	canaryBoundUse        = 0.5                    // of the bound, for the canary phase; the rest is for the first seconds of the full share
	minCanaryTime         = 0.5                    // of the order's time, before which the full share doesn't start
	endTime               = 0.92                   // of the order's time, at which the roll-out ends
	lastTime              = 0.97                   // of the order's time, until which it waits for answers if there are too few
	minGoodAnswers        = 8                      // successful answers required of the new version
	maxTrustedScore       = 0.5                    // of the evaluator's threshold; a version with this score or more is not completed
	maxLateScore          = 0.3                    // likewise, if durations have the worst score; a single failure already scores as much
	maxLateShiftScore     = 0.2                    // of durations, for the full share to start; a canary may also last to the end
	minWidespreadFailures = 5                      // failures of the new version, from which they can count as widespread
	minFailingEndpoints   = 2                      // endpoints that must have failures, or all if there are fewer
	widespreadRate        = 0.1                    // failure rate of the new version above which failures count as widespread, if the old version has none
	widespreadRateFactor  = 3                      // multiple of the old version's failure rate that is added to widespreadRate
	evaluationInterval    = 500 * time.Millisecond // of the evaluator
	ageInterval           = 0.1                    // of the order's time, after which the state is stored again with its age
	maxStateAge           = 10 * time.Second       // by which a state that a starting router finds ages its order
	lateFactor            = 1.25                   // times the old version's 0.95 quantile is the duration above which a response is late
)

// Rollout is the state of one order at one router.
type Rollout struct {
	Order Order
	State State // in force

	bounds      Bounds
	evaluator   *move.Evaluator
	reported    map[jaywind.VM]Totals
	evaluatedAt time.Time
	worstScore  float64
	worstPair   table.RouteMeasure
	newOutcomes table.OutcomeCounts // successes and failures over all routes
	oldOutcomes table.OutcomeCounts
	newLate     int // late responses of the new version over all routes
	recent      recentAnswers
	heardAt     time.Time // when the totals of another router were first decided on; zero if none were
	newStarts   int       // requests sent to the new version
	requests    int

	ledger       Ledger    // of the other versions, and of this one before its order
	newEndpoints int       // of the new version
	hasOther     bool      // another version that may run calls has an endpoint
	otherSeenAt  time.Time // when one was last known, or this router began to look
	targetSeenAt time.Time // likewise for the new version

	lateLimits LateLimits

	load          Load      // that the last decision allows the routers; the leader tells them
	fullLoadUntil time.Time // at this router, unless the leader allows it for longer
	held          bool      // the new version gets no work from this router
}

// New returns the roll-out of a new order, given what is known of the service's versions. An order for the version in use only ends the
// roll-out before it: there is nothing to try. One for a version that was rolled back is rolled back at once.
func New(o Order, b Bounds, l Ledger) *Rollout {
	state := State{Target: o.Target, Phase: PhaseCanary, Share: initialShare, Ledger: l}
	switch l.Of(o.Target) {
	case StandingInUse:
		state.Phase, state.Reason = PhaseShift, "back to the version in use"
	case StandingRejected:
		state.Phase, state.Reason = PhaseRolledBack, "was rolled back before"
	}
	return &Rollout{
		Order: o, bounds: b, ledger: l,
		State:     state,
		evaluator: move.NewEvaluator(o.Service, o.Target, o.ReceivedAt, o.ReceivedAt.Add(o.Duration)),
		reported:  map[jaywind.VM]Totals{},
		load:      LoadShare,
	}
}

// FollowState puts a state of the same order in force, and takes over what its ledger tells.
func (r *Rollout) FollowState(s State) {
	r.ledger = r.ledger.merge(s.Ledger)
	s.Ledger = r.ledger
	r.State = s
}

// isInUse reports whether the order only goes back to the version in use.
func (r *Rollout) isInUse() bool { return r.ledger.Of(r.Order.Target) == StandingInUse }

// SetEndpoints sets the endpoints of the service, before a decision.
func (r *Rollout) SetEndpoints(endpoints []rule.Endpoint) {
	r.evaluator.SetEndpoints(endpoints)
	r.newEndpoints, r.hasOther = 0, false
	barred := r.ledger.barred()
	for _, e := range endpoints {
		switch {
		case e.Version == r.Order.Target:
			r.newEndpoints++
		case !slices.Contains(barred, e.Version):
			r.hasOther = true
		}
	}
}

// Backdate takes over the time of the order from a router that received it earlier. One that has started since has received it late.
func (r *Rollout) Backdate(receivedAt time.Time) {
	if receivedAt.Before(r.Order.ReceivedAt) {
		r.Order.ReceivedAt = receivedAt
	}
}

// Shorten takes over the deadline of another order for the same version if it is earlier.
func (r *Rollout) Shorten(o Order) {
	if d := o.ReceivedAt.Add(o.Duration).Sub(r.Order.ReceivedAt); d < r.Order.Duration {
		r.Order.Duration = d
	}
}

// Report adds the running totals of a router. Totals that have decreased mean that the router restarted from zero; those of another
// order don't count.
func (r *Rollout) Report(vm jaywind.VM, t Totals) {
	if t.Target != "" && t.Target != r.Order.Target {
		return
	}
	before, known := r.reported[vm]
	if t.Requests < before.Requests {
		before, known = Totals{}, false
	}
	r.reported[vm] = t
	r.newStarts += t.Starts - before.Starts
	r.requests += t.Requests - before.Requests
	for c, n := range t.Outcomes {
		delta := move.OutcomeDelta(n, before.Outcomes[c])
		if delta.Good+delta.Bad == 0 {
			continue
		}
		r.evaluator.AddOutcomes(c, delta)
		if known {
			r.recent.add(c, delta)
		}
		if c.Measure != table.MeasureFailure {
			r.evaluator.AddOutcomes(table.OutcomeKey{RouteMeasure: table.RouteMeasure{Route: AllRoutes, Measure: c.Measure}, New: c.New}, delta)
			if c.Measure == table.MeasureFirstToken && c.New {
				r.newLate += int(delta.Bad)
			}
			continue
		}
		total := &r.oldOutcomes
		if c.New {
			total = &r.newOutcomes
		}
		total.Good += delta.Good
		total.Bad += delta.Bad
		for source, n := range delta.BadBySource {
			if total.BadBySource == nil {
				total.BadBySource = map[table.Source]uint64{}
			}
			total.BadBySource[source] += n
		}
	}
}

// updateLateLimits computes the limits that hold at all routers. A route on which the old version has answered too little has none,
// and that of AllRoutes holds there.
func (r *Rollout) updateLateLimits() {
	baselines := map[table.RouteMeasure]*table.Durations{}
	add := func(pair table.RouteMeasure, d table.Durations) {
		if baselines[pair] == nil {
			baselines[pair] = &table.Durations{}
		}
		baselines[pair].Add(d)
	}
	for _, t := range r.reported {
		for pair, d := range t.Baselines {
			add(pair, d)
			add(table.RouteMeasure{Route: AllRoutes, Measure: pair.Measure}, d)
		}
	}
	limits := LateLimits{}
	for pair, d := range baselines {
		if high, ok := d.High(); ok {
			limits[pair] = time.Duration(lateFactor * float64(high))
		}
	}
	r.lateLimits = limits
}

// failsWidely reports whether failures of the new version at several endpoints are frequent enough to need no statistical
// test. The evaluator is slow in this case, as it counts all failures of one endpoint in a window as one.
func (r *Rollout) failsWidely() bool {
	if r.newOutcomes.Bad < minWidespreadFailures || len(r.newOutcomes.BadBySource) < min(r.newEndpoints, minFailingEndpoints) {
		return false
	}
	baseline := float64(r.oldOutcomes.Bad) / float64(max(1, r.oldOutcomes.Good+r.oldOutcomes.Bad))
	return float64(r.newOutcomes.Bad)/float64(r.newOutcomes.Good+r.newOutcomes.Bad) > widespreadRate+widespreadRateFactor*baseline
}

// Decide returns the state that should be in force now.
func (r *Rollout) Decide(now time.Time) State {
	next := r.decide(now)
	age := now.Sub(r.Order.ReceivedAt)
	isOld := !next.Phase.Final() && age-time.Duration(next.AgeMs)*time.Millisecond >= time.Duration(ageInterval*float64(r.Order.Duration))
	if !next.Equal(r.State) || isOld {
		next.Step, next.AgeMs, next.AtMs = r.State.Step+1, age.Milliseconds(), now.UnixMilli()
	}
	r.load = r.allowedLoad(next, now)
	if _, bad := r.looksBad(); bad {
		r.held = true
	}
	return next
}

func (r *Rollout) decide(now time.Time) State {
	if r.State.Phase.Final() {
		return r.State
	}
	if now.Sub(r.evaluatedAt) >= evaluationInterval {
		r.worstScore, r.worstPair = r.evaluator.CloseWindow()
		r.updateLateLimits()
		r.recent.advance()
		r.evaluatedAt = now
	}
	if r.heardAt.IsZero() && len(r.reported) > 1 {
		r.heardAt = now
	}
	r.noteOther(r.hasOther, now)
	next := r.State
	elapsed := r.elapsed(now)
	reason, bad := r.looksBad()
	switch {
	case r.isInUse() && elapsed >= endTime:
		next.Phase = PhaseDone
	case r.isInUse():
	case !r.hasOther && r.isOnly(now) && r.works():
		next.Phase, next.Reason = PhaseDone, "no endpoint of another version is left"
	case !r.hasOther: // there is nothing to go back to
	case bad:
		next.Phase, next.Reason = PhaseRolledBack, reason
	case r.State.Phase == PhaseShift && !r.trusted() && float64(r.newStarts) > maxBoundUse*r.bound(elapsed):
		next.Phase, next.Reason = PhaseRolledBack, "not trusted within the bound on its requests"
	case elapsed >= endTime && !r.heardAt.IsZero() && now.Sub(r.heardAt) < evaluationInterval:
		// The others' totals have just come, all at once, so nothing is known of their recent answers.
	case elapsed >= endTime && r.trusted():
		next.Phase, next.Reason = PhaseDone, "no worse than the old version"
	case elapsed >= endTime && elapsed < lastTime && r.goodInTime() < minGoodAnswers && !r.recent.areBad():
		// A leader that has started late has few answers yet.
	case elapsed >= endTime:
		next.Phase, next.Reason = PhaseRolledBack, "too few answers to vouch for the version"
	case r.State.Phase == PhaseCanary && elapsed >= minCanaryTime && r.trusted() && r.worstScore < r.maxScore(maxLateShiftScore) && r.fullShareFits(elapsed):
		next.Phase = PhaseShift
	case r.State.Phase == PhaseCanary:
		next.Share = r.canaryShare(elapsed)
	}
	return next
}

// elapsed returns the fraction of the order's time that has passed.
func (r *Rollout) elapsed(now time.Time) float64 {
	return now.Sub(r.Order.ReceivedAt).Seconds() / r.Order.Duration.Seconds()
}

// describe names what a version was found bad by.
func describe(p table.RouteMeasure) string {
	if p.Route == AllRoutes {
		return p.Measure.String() + " over all routes"
	}
	return p.Measure.String() + " on route " + string(p.Route)
}

// trusted reports whether the new version has answered enough requests in time and looks no worse than the old one, as a whole and of
// late.
func (r *Rollout) trusted() bool {
	return r.goodInTime() >= minGoodAnswers && r.worstScore < r.maxScore(maxLateScore) && !r.recent.areBad()
}

// works reports whether the new version serves requests, for want of another one to compare it with.
func (r *Rollout) works() bool {
	return r.newOutcomes.Good >= minGoodAnswers && !r.failsWidely()
}

// goodInTime returns the number of successful answers of the new version that are known to have been in time.
func (r *Rollout) goodInTime() int {
	n := int(r.newOutcomes.Good) - r.newLate
	for _, t := range r.reported {
		n -= t.Unjudged
	}
	return n
}

// maxScore returns the worst score up to which a version is trusted, given that for durations.
func (r *Rollout) maxScore(late float64) float64 {
	if r.worstPair.Measure == table.MeasureFailure {
		return maxTrustedScore
	}
	return late
}

// fullShareFits reports whether the new version can receive all work until the end and stay within the bound. It must, as
// the version may still prove bad under the full load.
func (r *Rollout) fullShareFits(elapsed float64) bool {
	expected := float64(r.requests) / elapsed
	return float64(r.newStarts)+expected*(endTime-elapsed) <= maxBoundUse*r.bound(elapsed)
}

// bound returns the number of requests that a bad version may receive, if the rate of requests stays as it was so far.
func (r *Rollout) bound(elapsed float64) float64 {
	return r.bounds.Share*float64(r.requests)/elapsed + float64(r.bounds.ExtraRequests)
}

// canaryShare returns the share that uses up the canary budget by the end. The share changes only if the difference is
// large enough to be worth a write to the store.
func (r *Rollout) canaryShare(elapsed float64) float64 {
	if elapsed < 0.05 || r.requests == 0 {
		return r.State.Share
	}
	expected := float64(r.requests) / elapsed
	budget := canaryBoundUse * r.bound(elapsed)
	share := min(maxCanaryShare, max(0, budget-float64(r.newStarts))/(expected*max(endTime-elapsed, evaluationInterval.Seconds()/r.Order.Duration.Seconds())))
	if share > 1.3*r.State.Share || share < 0.7*r.State.Share {
		return share
	}
	return r.State.Share
}
