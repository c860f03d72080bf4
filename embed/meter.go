package embed

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"jaywind"
	"jaywind/internal/core/table"
	"jaywind/internal/operator/burn"
)

const reservoirSize = 1028 // samples kept per histogram

// meter updates metrics and service level objectives from the loop's events and commands.
type meter struct {
	registry metrics.Registry
	recorder burn.Recorder

	tokens         metrics.Counter
	outcomes       map[table.Outcome]metrics.Counter
	gauges         map[string]metrics.Gauge
	firstToken     metrics.Histogram // microseconds
	tokenGap       metrics.Histogram // microseconds
	resumeGap      metrics.Histogram // microseconds
	lookupLatency  metrics.Histogram // microseconds
	requests       map[jaywind.RequestID]*meteredRequest
	lookupArrivals map[jaywind.RequestID]time.Time // arrival times of GET and HEAD calls in progress
	countedMoves   map[table.MoveID]bool           // ended moves that have been recorded
}

// meteredRequest is the state of a generation that is in progress.
type meteredRequest struct {
	arrivedAt   time.Time
	lastTokenAt time.Time // zero before the first token
	attempt     jaywind.Attempt
}

var outcomeNames = map[table.Outcome]string{
	table.OutcomeCompleted:        "whole",
	table.OutcomeRefused:          "refused",
	table.OutcomeFailed:           "failed",
	table.OutcomeBookmarkMismatch: "mismatch",
	table.OutcomeCallerGone:       "gone",
}

func newMeter() *meter {
	m := &meter{
		registry:       metrics.NewRegistry(),
		outcomes:       map[table.Outcome]metrics.Counter{},
		gauges:         map[string]metrics.Gauge{},
		requests:       map[jaywind.RequestID]*meteredRequest{},
		lookupArrivals: map[jaywind.RequestID]time.Time{},
		countedMoves:   map[table.MoveID]bool{},
	}
	m.tokens = metrics.GetOrRegisterCounter("tokens", m.registry)
	m.firstToken = m.histogram("first_us")
	m.tokenGap = m.histogram("gap_us")
	m.resumeGap = m.histogram("resume_us")
	m.lookupLatency = m.histogram("lookup_us")
	for o, name := range outcomeNames {
		m.outcomes[o] = metrics.GetOrRegisterCounter("requests."+name, m.registry)
	}
	return m
}

func (m *meter) histogram(name string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, m.registry, metrics.NewUniformSample(reservoirSize))
}

// observe updates the metrics from the events and commands of one tick.
func (m *meter) observe(s *table.State, events []table.Event, commands []table.Command) {
	for _, e := range events {
		switch e := e.(type) {
		case table.RequestArrived:
			m.requests[e.Request.ID] = &meteredRequest{arrivedAt: s.Now}
		case table.ServiceArrived:
			m.observeCall(e.Request, s.Now)
		case table.ServiceCallerGone:
			delete(m.lookupArrivals, e.Request)
		}
	}
	for _, c := range commands {
		switch c := c.(type) {
		case table.DeliverToken:
			m.observeToken(c, s.Now)
		case table.FinishRequest:
			m.observeFinish(c, s.Now)
		case table.Respond:
			m.observeResponse(c, s.Now)
		}
	}
	if s.Full {
		m.updateGauges(s)
	}
}

func (m *meter) observeToken(c table.DeliverToken, now time.Time) {
	if c.Replayed {
		return
	}
	m.tokens.Inc(1)
	r := m.requests[c.Bookmark.Request]
	if r == nil {
		return
	}
	switch {
	case r.lastTokenAt.IsZero() && c.Bookmark.Position == 1:
		d := now.Sub(r.arrivedAt)
		m.firstToken.Update(d.Microseconds())
		m.recorder.Add(burn.FirstToken, d <= burn.FirstTokenLimit, now)
	case r.lastTokenAt.IsZero():
		// The first token after a reconnect counts neither as a first token nor as a gap.
	case c.Bookmark.Attempt != r.attempt:
		d := now.Sub(r.lastTokenAt)
		m.resumeGap.Update(d.Microseconds())
		m.recorder.Add(burn.Resumption, d <= burn.ResumptionLimit, now)
	default:
		d := now.Sub(r.lastTokenAt)
		m.tokenGap.Update(d.Microseconds())
		m.recorder.Add(burn.TokenGap, d <= burn.TokenGapLimit, now)
	}
	r.lastTokenAt = now
	r.attempt = c.Bookmark.Attempt
}

func (m *meter) observeFinish(c table.FinishRequest, now time.Time) {
	if c.Listener != 0 {
		return // only this listener ends; the request goes on
	}
	delete(m.requests, c.Request)
	m.outcomes[c.Outcome].Inc(1)
	switch c.Outcome {
	case table.OutcomeCompleted, table.OutcomeFailed, table.OutcomeBookmarkMismatch:
		m.recorder.Add(burn.Completion, c.Outcome == table.OutcomeCompleted, now)
	}
}

// observeCall starts measuring the latency of a GET or HEAD call to a service.
func (m *meter) observeCall(a table.CallRequest, now time.Time) {
	if a.HTTP.Method == http.MethodGet || a.HTTP.Method == http.MethodHead {
		m.lookupArrivals[a.ID] = now
	}
}

func (m *meter) observeResponse(c table.Respond, now time.Time) {
	arrived, known := m.lookupArrivals[c.Request]
	if !known {
		return
	}
	delete(m.lookupArrivals, c.Request)
	d := now.Sub(arrived)
	answered := c.Result == table.ResultReply && c.Reply.Status < http.StatusInternalServerError
	m.lookupLatency.Update(d.Microseconds())
	m.recorder.Add(burn.IdempotentCall, answered && d <= burn.IdempotentCallLimit, now)
}

// observeMoves records whether each ended move met its deadline, once per move.
func (m *meter) observeMoves(s *table.State) {
	for _, v := range s.Moves {
		if v.State == table.MoveRunning || m.countedMoves[v.ID] {
			continue
		}
		m.countedMoves[v.ID] = true
		m.recorder.Add(burn.Move, !v.Ended.After(v.Rule.Deadline), s.Now)
	}
}

// updateGauges copies the totals of the core to gauges.
func (m *meter) updateGauges(s *table.State) {
	m.observeMoves(s)
	m.setGauge("active", len(s.Requests))
	m.setGauge("queued", len(s.Queued))
	m.setGauge("ready", len(s.Ready))
	m.setGauge("stray", s.Counts.StrayFrames)
	m.setGauge("resumed", s.Counts.Resumed)
	m.setGauge("reused", s.Counts.ReusedStreams)
	m.setGauge("recounted", s.Counts.RecomputedTokens)
	m.setGauge("rules", int(s.RulesVersion))
}

func (m *meter) setGauge(name string, v int) {
	g := m.gauges[name]
	if g == nil {
		g = metrics.GetOrRegisterGauge(name, m.registry)
		m.gauges[name] = g
	}
	g.Update(int64(v))
}

// Metrics returns the registry that the router writes its metrics to.
func (r *Router) Metrics() metrics.Registry {
	r.init()
	return r.meter.registry
}

// SLORecorder returns the recorder of the router's service level objectives.
func (r *Router) SLORecorder() *burn.Recorder {
	r.init()
	return &r.meter.recorder
}
