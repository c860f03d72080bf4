package rollout

import (
	"slices"
	"time"

	"jaywind"
)

// absenceTime is how long no endpoint of another version must have been known for the new version to count as the only one. Endpoints
// that have crashed register again within it.
const absenceTime = 5 * time.Second

// VersionRule says which versions may run a call.
type VersionRule struct {
	Prefer  jaywind.Version   // runs the call if it has an endpoint that can; empty for any
	Exclude []jaywind.Version // may not run the call
}

// noteOther records whether another version than the new one has an endpoint now. A router that has just started may not know all
// endpoints yet, so it begins to look then.
func (r *Rollout) noteOther(present bool, now time.Time) {
	if r.hasOther = present; present || r.otherSeenAt.IsZero() {
		r.otherSeenAt = now
	}
}

// isOnly reports whether there is no other version to run calls, so that the new version may not be kept from them.
func (r *Rollout) isOnly(now time.Time) bool {
	return !r.hasOther && now.Sub(r.otherSeenAt) >= absenceTime
}

// Rule returns which versions may run a call now, given the versions that the service's endpoints have. The draw of the call, in [0, 1),
// decides whether it belongs to the share of the new version.
func (r *Rollout) Rule(present []jaywind.Version, draw float64, now time.Time) VersionRule {
	target, share := r.Order.Target, r.Share(now)
	barred := slices.DeleteFunc(r.ledger.barred(), func(v jaywind.Version) bool { return v == target })
	r.noteOther(slices.ContainsFunc(present, func(v jaywind.Version) bool { return v != target && !slices.Contains(barred, v) }), now)
	if slices.Contains(present, target) || r.targetSeenAt.IsZero() {
		r.targetSeenAt = now
	}
	switch {
	case r.isOnly(now) && (share == 0 || now.Sub(r.targetSeenAt) >= absenceTime):
		return VersionRule{} // a bad version is better than none
	case draw < share:
		return VersionRule{Prefer: target, Exclude: barred}
	case r.isOnly(now):
		return VersionRule{Exclude: barred}
	}
	return VersionRule{Exclude: append(barred, target)}
}

// IsBarred reports whether no call may run at a version now, whatever its draw.
func (r *Rollout) IsBarred(v jaywind.Version, present []jaywind.Version, now time.Time) bool {
	return slices.Contains(r.Rule(present, 0, now).Exclude, v)
}
