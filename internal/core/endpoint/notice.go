package endpoint

import (
	"time"

	"jaywind"
)

const (
	maxPause           = 10 * time.Minute // a longer pause that an endpoint asks for counts as this
	maxReturnSpread    = 2 * time.Second  // over which the routers of a fleet return to an endpoint after a pause
	maxKnownDepartures = 4096             // incarnations without a row that are remembered; more than a large fleet replaces in an hour
)

// incarnation identifies a start of an endpoint.
type incarnation struct {
	id      jaywind.EndpointID
	started int64 // Unix milliseconds
}

// departures remembers the incarnations that are leaving, also those whose rows are gone: an incarnation never takes
// work again, whatever an older entry of the registry says. The zero value is empty.
type departures struct {
	known map[incarnation]bool
	order []incarnation // oldest first
}

// add reports whether the incarnation was not known to be leaving.
func (d *departures) add(i incarnation) bool {
	if d.known[i] {
		return false
	}
	if d.known == nil {
		d.known = map[incarnation]bool{}
	}
	if len(d.order) == maxKnownDepartures {
		delete(d.known, d.order[0])
		d.order = d.order[1:]
	}
	d.known[i] = true
	d.order = append(d.order, i)
	return true
}

// MarkLeaving records that an incarnation of an endpoint is leaving, and reports whether that is news. Its row need not exist.
func (t *Table) MarkLeaving(id jaywind.EndpointID, started int64) bool {
	if e := t.rows[id]; e != nil && e.Incarnation == started {
		e.Leaving = true
	}
	return t.departures.add(incarnation{id, started})
}

// Pause keeps all calls from an endpoint for a while, as it has asked for. A shorter pause does not end a longer one.
func (t *Table) Pause(e *Endpoint, d time.Duration, now time.Time) {
	d = min(d, maxPause)
	if until := now.Add(d + t.returnDelay(d)); until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
	e.returning = true
}

// keepPause remembers the pause of an endpoint that is removed, as its row may come back.
func (t *Table) keepPause(e *Endpoint) {
	if e.pausedUntil.IsZero() {
		return
	}
	if t.pauses == nil || len(t.pauses) == maxKnownDepartures {
		t.pauses = map[incarnation]time.Time{}
	}
	t.pauses[incarnation{e.ID, e.Incarnation}] = e.pausedUntil
}

// returnDelay returns how much longer than asked for this router stays away from an endpoint after a pause. It differs
// between routers, so that the fleet's work returns gradually.
func (t *Table) returnDelay(d time.Duration) time.Duration {
	if t.routers <= 1 {
		return 0
	}
	return min(d/2, maxReturnSpread) * time.Duration(t.index) / time.Duration(t.routers)
}

// IsPaused reports whether an endpoint has asked for a pause that is not over.
func (e *Endpoint) IsPaused(now time.Time) bool { return now.Before(e.pausedUntil) }

// minHold bounds how often a router tries an endpoint whose limit is used up.
const minHold = 20 * time.Millisecond

// Hold keeps calls from being assigned to an endpoint until a time, as its limit is used up; only those that are not urgent, unless one
// that is urgent was refused too.
func (t *Table) Hold(e *Endpoint, urgent bool, until, now time.Time) {
	if earliest := now.Add(minHold); until.Before(earliest) {
		until = earliest
	}
	e.heldUntil = until
	if urgent {
		e.urgentHeldUntil = until
	}
}

// opensAt returns when a call may be assigned to an endpoint that is paused or held, or a time in the past.
func (e *Endpoint) opensAt(n Requirements) time.Time {
	held := e.heldUntil
	if n.Urgent {
		held = e.urgentHeldUntil
	}
	if held.After(e.pausedUntil) {
		return held
	}
	return e.pausedUntil
}

// OpensIn returns how long it takes until the first of a service's endpoints that may serve a call is neither paused nor held, and
// whether any of them is held. It returns 0 if one takes calls now, or if there is none.
func (t *Table) OpensIn(s jaywind.ServiceName, n Requirements, now time.Time) (left time.Duration, limited bool) {
	for _, e := range t.services[s] {
		if e.Leaving || !e.serves(n) {
			continue
		}
		wait := e.opensAt(n).Sub(now)
		if wait <= 0 {
			return 0, false
		}
		limited = limited || !e.IsPaused(now)
		if left == 0 || wait < left {
			left = wait
		}
	}
	return left, limited
}
