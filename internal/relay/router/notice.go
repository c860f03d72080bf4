package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/limit"
	"jaywind/internal/core/permit"
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
	speaks := n.Brittle || !n.SentAt.IsZero() // of whether it is brittle
	if e != nil && speaks && r.brittle.Record(n.Endpoint, e.Service, n.Brittle, n.Tolerance, now) {
		r.Log.Info("endpoint: brittle", zap.String("endpoint", string(e.ID)), zap.String("service", string(e.Service)), zap.Int("tolerance", n.Tolerance))
	}
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

// permitSlack is how much longer than a call its permit lasts, so that it is returned rather than expires.
const permitSlack = time.Second

// takePermit takes a permit for a call to a brittle endpoint, which is held for other calls if there is none. The function that it returns
// has to be called at the end of the call; it does nothing at other endpoints.
func (r *Router) takePermit(ctx context.Context, c *call, e *endpoint.Endpoint) (release func(cause error), err error) {
	now := time.Now()
	r.mu.Lock()
	brittle, tolerance := r.brittle.Brittle(e.Ref(), e.Service, now)
	q := permit.Question{Slots: e.Slots, Tolerance: tolerance, Lease: c.timeLeft(now) + permitSlack, Onset: r.brittle.Onset(e.Service, now)}
	r.mu.Unlock()
	if !brittle || r.Permits == nil {
		return func(error) {}, nil
	}
	give, retryAt := r.Permits.Take(ctx, e.Ref(), q)
	if give != nil {
		return func(cause error) { give(errors.Is(cause, jaywind.ErrBusy)) }, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.limited.Inc(1)
	if at := r.rowOf(e.Ref()); at != nil {
		r.table.Hold(at, c.requirements.Urgent, retryAt, time.Now())
	}
	return nil, jaywind.ErrLimited
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
