package rollout

import "time"

// Load is how much new work the routers may send to the new version. The leader states it in its reply to each report.
type Load string

// The loads. Their texts are sent between routers, so they must not change.
const (
	LoadNone  Load = "none"  // nothing, as the version is bad
	LoadShare Load = "share" // the share of the state
	LoadFull  Load = "full"  // all of it, until the permission lapses
)

// fullLoadTime is how long a router sends all new work to the new version without hearing from the leader: the time of two reports
// that get no reply. It bounds what a bad version gets after the loss of the leader.
const fullLoadTime = time.Second

// Reply is the leader's reply to a router's totals.
type Reply struct {
	Limits LateLimits // none if empty
	Load   Load       // empty from a leader that states none
}

// Reply returns the reply to a router's totals, as of the last decision.
func (r *Rollout) Reply() Reply { return Reply{Limits: r.lateLimits, Load: r.load} }

// Follow applies the leader's reply to totals that were sent at a time.
func (r *Rollout) Follow(l Load, sentAt time.Time) {
	switch l {
	case LoadNone:
		r.held = true
	case LoadFull:
		if until := sentAt.Add(fullLoadTime); until.After(r.fullLoadUntil) {
			r.fullLoadUntil = until
		}
	}
}

// Share returns the fraction of new work that this router may send to the new version.
func (r *Rollout) Share(now time.Time) float64 {
	switch {
	case r.State.Phase == PhaseDone, r.isInUse():
		return 1
	case r.State.Phase == PhaseRolledBack, r.held:
		return 0
	case r.State.Phase == PhaseShift && now.Before(r.fullLoadUntil):
		return 1
	}
	return r.State.Share
}

// allowedLoad returns the load that goes with a decision. A full load goes on only while the leader itself has the evidence that the
// version is good, and while what the version has received leaves enough of the bound.
func (r *Rollout) allowedLoad(decided State, now time.Time) Load {
	_, bad := r.looksBad()
	switch {
	case bad, decided.Phase == PhaseRolledBack:
		return LoadNone
	case decided.Phase == PhaseShift && r.State.Phase == PhaseShift && r.trusted() && float64(r.newStarts) <= maxBoundUse*r.bound(r.elapsed(now)):
		return LoadFull
	}
	return LoadShare
}

// looksBad returns why the outcomes that are known here show that the new version is bad, or nothing.
func (r *Rollout) looksBad() (reason string, bad bool) {
	switch {
	case r.failsWidely():
		return "failures on several endpoints", true
	case r.worstScore >= 1:
		return describe(r.worstPair), true
	}
	return "", false
}

// Held reports whether the new version gets no work from this router, whatever the state, as it is bad.
func (r *Rollout) Held() bool { return r.held }
