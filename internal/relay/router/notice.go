package router

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/limit"
)

const (
	announceDelay          = 500 * time.Millisecond // within which the registry usually says that an endpoint is leaving
	announceDelayPerRouter = 10 * time.Millisecond  // spreads the announcements, so that the first one spares the other routers theirs
)

// departure is an endpoint that is leaving, which the other routers may have to be told.
type departure struct {
	endpoint   jaywind.EndpointRef
	announceAt time.Time
}

// ObserveEndpoint implements jaywind.EndpointObserver.
func (r *Router) ObserveEndpoint(n jaywind.EndpointNotice) {
	r.init()
	now := time.Now()
	r.observeLimit(n, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.rowOf(n.Endpoint)
	if n.Leaving && r.markLeaving(n.Endpoint, "its own answer") {
		spread := announceDelayPerRouter * time.Duration(r.routers)
		r.departures = append(r.departures, departure{n.Endpoint, now.Add(announceDelay + rand.N(spread))})
	}
	if n.Pause > 0 && e != nil {
		if !e.IsPaused(now) {
			r.stats.paused.Inc(1)
			r.Log.Info("endpoint: asks for a pause", zap.String("endpoint", string(e.ID)), zap.Duration("for", n.Pause))
		}
		r.table.Pause(e, n.Pause, now)
	}
	if n.Pause > 0 && n.Via != "" && r.OnRelayedPause != nil {
		r.OnRelayedPause(n.Via, n.Endpoint, n.Pause)
	}
}

// PauseEndpoint applies a pause that an endpoint has asked for in an answer which this router has relayed to another one.
func (r *Router) PauseEndpoint(at jaywind.EndpointRef, d time.Duration) {
	r.ObserveEndpoint(jaywind.EndpointNotice{Endpoint: at, Pause: d})
}

// CheckSend implements jaywind.EndpointObserver.
func (r *Router) CheckSend(at jaywind.EndpointRef) error {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.rowOf(at); e != nil && e.IsPaused(time.Now()) {
		r.stats.withheld.Inc(1)
		return jaywind.ErrPushedBack
	}
	return nil
}

// AcceptsAt reports whether this router knows an endpoint at an address that takes calls from it.
func (r *Router) AcceptsAt(at jaywind.Address) bool {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.table.ByAddress(at)
	return e != nil && !e.IsPaused(time.Now())
}

// observeLimit passes on whether an endpoint names a limit.
func (r *Router) observeLimit(n jaywind.EndpointNotice, now time.Time) {
	var reading limit.Reading
	switch {
	case r.Limiter == nil:
		return
	case n.Limited:
		r.stats.limitNotices.Inc(1)
		reading = limit.NewReading(n.Limit, now)
	case !n.SentAt.IsZero():
		reading.At = n.SentAt
	default:
		return
	}
	if r.Limiter.Observe(n.Endpoint, reading) {
		r.Log.Info("endpoint: limit changed", zap.String("endpoint", string(n.Endpoint.ID)), zap.Bool("limited", reading.Limited), zap.Float64("rate", float64(reading.Rate)))
	}
}

// AdmitSend implements jaywind.EndpointObserver.
func (r *Router) AdmitSend(ctx context.Context, at jaywind.EndpointRef, p jaywind.Priority) error {
	if err := r.CheckSend(at); err != nil || r.Limiter == nil {
		return err
	}
	allowed, retryAt := r.Limiter.Take(ctx, at, p)
	if allowed {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.limited.Inc(1)
	if e := r.rowOf(at); e != nil && p >= jaywind.PriorityNormal {
		r.table.Hold(e, p >= jaywind.PriorityUrgent, retryAt, time.Now())
	}
	return jaywind.ErrLimited
}

// rowOf returns the row of an incarnation, or nil; the caller holds mu.
func (r *Router) rowOf(at jaywind.EndpointRef) *endpoint.Endpoint {
	if e := r.table.Get(at.ID); e != nil && e.Incarnation == at.Incarnation {
		return e
	}
	return nil
}

// markLeaving records that an endpoint is leaving, and reports whether that is news; the caller holds mu.
func (r *Router) markLeaving(e jaywind.EndpointRef, source string) bool {
	row := r.rowOf(e)
	registered := row != nil && row.Leaving
	if !r.table.MarkLeaving(e.ID, e.Incarnation) || registered {
		return false
	}
	r.stats.leaving.Inc(1)
	r.Log.Info("endpoint: leaving", zap.String("endpoint", string(e.ID)), zap.Int64("born", e.Incarnation), zap.String("source", source))
	return true
}

// MarkLeaving records what another router has announced: that an endpoint is leaving.
func (r *Router) MarkLeaving(e jaywind.EndpointRef) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.markLeaving(e, "another router")
	r.forgetDeparture(e)
}

// forgetDeparture drops an announcement that is not necessary any more; the caller holds mu.
func (r *Router) forgetDeparture(e jaywind.EndpointRef) {
	for i, d := range r.departures {
		if d.endpoint.ID == e.ID && d.endpoint.Incarnation == e.Incarnation {
			r.departures = append(r.departures[:i], r.departures[i+1:]...)
			return
		}
	}
}

// AnnounceDepartures calls OnLeaving with the endpoints that this router knows to be leaving, but that neither the registry
// nor another router has reported as such for a while.
func (r *Router) AnnounceDepartures(now time.Time) {
	r.init()
	var due []jaywind.EndpointRef
	r.mu.Lock()
	waiting := r.departures[:0]
	for _, d := range r.departures {
		switch {
		case r.rowOf(d.endpoint) == nil: // removed
		case now.Before(d.announceAt):
			waiting = append(waiting, d)
		default:
			due = append(due, d.endpoint)
		}
	}
	r.departures = waiting
	r.mu.Unlock()
	for _, e := range due {
		if r.OnLeaving != nil {
			r.OnLeaving(e)
		}
	}
}
