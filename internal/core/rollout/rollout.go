package rollout

import (
	"time"

	"jaywind"
	"jaywind/internal/core/move"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

// Order is what the operator wants: a service's traffic on a version by a time.
type Order struct {
	Service jaywind.ServiceName
	Target  jaywind.Version
	For     time.Duration
	Seen    time.Time // when this router learnt of it
}

// Phase is how far a roll-out is.
type Phase string

// The phases in their order; the last two are final.
const (
	PhaseTrial Phase = "trial" // a share goes to the new version
	PhaseShift Phase = "shift" // all new work does
	PhaseDone  Phase = "done"
	PhaseBack  Phase = "back"
)

// Final tells whether a phase ends the roll-out.
func (p Phase) Final() bool { return p == PhaseDone || p == PhaseBack }

// Steps is what all routers follow.
type Steps struct {
	Target jaywind.Version `json:"target"`
	Phase  Phase           `json:"phase"`
	Share  float64         `json:"share"` // of new work on the target, in the trial
	Reason string          `json:"reason"`
}

// Bounds limit what a bad version may get.
type Bounds struct {
	Share float64 // of all requests between the order and its deadline
	Slack int     // requests besides
}

// Totals are the outcomes that a router has counted since it learnt of the order.
type Totals struct {
	Cells  map[table.Cell]table.Tally
	Starts int // requests sent to the new version
	All    int // requests for the service
}

const (
	firstShare   = 0.04                   // before the rate of requests is known
	mostShare    = 0.5                    // of new work in the trial, however thin the traffic
	shiftBudget  = 0.85                   // of the bound that may be used in all
	budgetPart   = 0.5                    // of the bound that the trial may use; the rest is for the shift's first seconds
	trialPart    = 0.5                    // of the order's time
	endPart      = 0.92                   // of it, when the roll-out is ended
	leastProof   = 8                      // good answers of the new version without which it is not vouched for
	suspectScore      = 0.5                    // of the judge's threshold, at which the trial does not go on to the shift
	plainCount   = 5                      // failures of the new version
	plainSources = 2                      // endpoints that they come from, if there are so many
	plainRate    = 0.1                    // share of its answers, above
	plainFactor  = 3                      // times that of the old version
	window       = 500 * time.Millisecond // of the judge
)

// Rollout is one order at one router.
type Rollout struct {
	Order Order
	Steps Steps // in force

	bounds Bounds
	trial  *move.Trial
	heard  map[jaywind.VM]Totals
	judged time.Time
	worst  float64
	pair   table.Pair
	recent table.Tally // outcomes of the new version, all routes
	old    table.Tally
	starts int
	all    int

	endpoints int // of the new version
}

// New returns a roll-out that has just been ordered.
func New(o Order, b Bounds) *Rollout {
	return &Rollout{
		Order: o, bounds: b,
		Steps: Steps{Target: o.Target, Phase: PhaseTrial, Share: firstShare},
		trial: move.NewTrial(o.Service, o.Target, o.Seen, o.Seen.Add(o.For)),
		heard: map[jaywind.VM]Totals{},
	}
}

// Know tells which endpoints the service has.
func (r *Rollout) Know(endpoints []rule.Endpoint) {
	r.trial.Know(endpoints)
	r.endpoints = 0
	for _, e := range endpoints {
		if e.Version == r.Order.Target {
			r.endpoints++
		}
	}
}

// Report takes the running totals of a router; a router that has restarted begins anew.
func (r *Rollout) Report(vm jaywind.VM, t Totals) {
	before := r.heard[vm]
	if t.All < before.All {
		before = Totals{}
	}
	r.heard[vm] = t
	r.starts += t.Starts - before.Starts
	r.all += t.All - before.All
	for c, n := range t.Cells {
		fresh := move.Since(n, before.Cells[c])
		if fresh.Good+fresh.Bad == 0 {
			continue
		}
		r.trial.Count(c, fresh)
		if c.Measure != table.MeasureFailure {
			continue
		}
		sum := &r.old
		if c.New {
			sum = &r.recent
		}
		sum.Good += fresh.Good
		sum.Bad += fresh.Bad
		for source, n := range fresh.By {
			if sum.By == nil {
				sum.By = map[table.Source]uint64{}
			}
			sum.By[source] += n
		}
	}
}

// plainlyBad tells whether so many answers of the new version fail, at several endpoints, that no statistics are needed.
// The judge is slow there, as it counts the failures of one endpoint at a time only once.
func (r *Rollout) plainlyBad() bool {
	if r.recent.Bad < plainCount || len(r.recent.By) < min(r.endpoints, plainSources) {
		return false
	}
	normal := float64(r.old.Bad) / float64(max(1, r.old.Good+r.old.Bad))
	return float64(r.recent.Bad)/float64(r.recent.Good+r.recent.Bad) > plainRate+plainFactor*normal
}

// Decide returns the steps that should be in force now.
func (r *Rollout) Decide(now time.Time) Steps {
	if r.Steps.Phase.Final() {
		return r.Steps
	}
	if now.Sub(r.judged) >= window {
		r.worst, r.pair = r.trial.Window()
		r.judged = now
	}
	next := r.Steps
	gone := now.Sub(r.Order.Seen).Seconds() / r.Order.For.Seconds()
	switch {
	case r.plainlyBad():
		next.Phase, next.Reason = PhaseBack, "failures on several endpoints"
	case r.worst >= 1:
		next.Phase, next.Reason = PhaseBack, r.pair.Measure.String()+" on route "+string(r.pair.Route)
	case gone >= endPart && (r.proved() || r.Steps.Phase == PhaseShift):
		next.Phase, next.Reason = PhaseDone, "no worse than the old version"
	case gone >= endPart:
		next.Phase, next.Reason = PhaseBack, "too few answers to vouch for the version"
	case r.Steps.Phase == PhaseTrial && gone >= trialPart && r.proved() && r.restFits(gone):
		next.Phase = PhaseShift
	case r.Steps.Phase == PhaseTrial:
		next.Share = r.share(gone)
	}
	return next
}

// proved tells whether the new version has answered enough, and looks no worse than the old one.
func (r *Rollout) proved() bool {
	return r.recent.Good >= leastProof && r.worst < suspectScore
}

// restFits tells whether the new version may get all work until the end and stay within the bound on a bad one:
// it may still turn out to be bad under the whole load.
func (r *Rollout) restFits(gone float64) bool {
	expected := float64(r.all) / gone
	bound := r.bounds.Share*expected + float64(r.bounds.Slack)
	return float64(r.starts)+expected*(endPart-gone) <= shiftBudget*bound
}

// share returns the part of new work that brings the trial to its budget of requests, in steps that are worth a write.
func (r *Rollout) share(gone float64) float64 {
	if gone < 0.05 || r.all == 0 {
		return r.Steps.Share
	}
	expected := float64(r.all) / gone
	budget := budgetPart * (r.bounds.Share*expected + float64(r.bounds.Slack))
	share := min(mostShare, max(0, budget-float64(r.starts))/(expected*max(endPart-gone, window.Seconds()/r.Order.For.Seconds())))
	if share > 1.3*r.Steps.Share || share < 0.7*r.Steps.Share {
		return share
	}
	return r.Steps.Share
}
