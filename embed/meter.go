package embed

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"jaywind"
	"jaywind/internal/core/table"
	"jaywind/internal/operator/burn"
)

const sampleSize = 1028 // values that a histogram keeps

// meter turns the events and commands of the loop into metrics and outcomes of objectives.
type meter struct {
	registry metrics.Registry
	recorder burn.Recorder

	tokens   metrics.Counter
	outcomes map[table.Outcome]metrics.Counter
	gauges   map[string]metrics.Gauge
	first    metrics.Histogram // microseconds
	gap      metrics.Histogram // microseconds
	resume   metrics.Histogram // microseconds
	lookup   metrics.Histogram // microseconds
	running  map[jaywind.RequestID]*running
	lookups  map[jaywind.RequestID]time.Time // when each idempotent call arrived
	ended    map[table.MoveID]bool           // moves that were counted
}

// running is what the meter remembers of a request.
type running struct {
	arrived time.Time
	last    time.Time // of the last token; zero before the first
	attempt jaywind.Attempt
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
		registry: metrics.NewRegistry(),
		outcomes: map[table.Outcome]metrics.Counter{},
		gauges:   map[string]metrics.Gauge{},
		running:  map[jaywind.RequestID]*running{},
		lookups:  map[jaywind.RequestID]time.Time{},
		ended:    map[table.MoveID]bool{},
	}
	m.tokens = metrics.GetOrRegisterCounter("tokens", m.registry)
	m.first = m.histogram("first_us")
	m.gap = m.histogram("gap_us")
	m.resume = m.histogram("resume_us")
	m.lookup = m.histogram("lookup_us")
	for o, name := range outcomeNames {
		m.outcomes[o] = metrics.GetOrRegisterCounter("requests."+name, m.registry)
	}
	return m
}

func (m *meter) histogram(name string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, m.registry, metrics.NewUniformSample(sampleSize))
}

// observe sees the events and commands of one tick.
func (m *meter) observe(s *table.State, events []table.Event, commands []table.Command) {
	for _, e := range events {
		switch e := e.(type) {
		case table.RequestArrived:
			m.running[e.Request.ID] = &running{arrived: s.Now}
		case table.ServiceArrived:
			m.call(e.Request, s.Now)
		case table.ServiceCallerGone:
			delete(m.lookups, e.Request)
		}
	}
	for _, c := range commands {
		switch c := c.(type) {
		case table.DeliverToken:
			m.token(c, s.Now)
		case table.FinishRequest:
			m.finish(c, s.Now)
		case table.Respond:
			m.respond(c, s.Now)
		}
	}
	if s.Full {
		m.counts(s)
	}
}

func (m *meter) token(c table.DeliverToken, now time.Time) {
	if c.Replayed {
		return
	}
	m.tokens.Inc(1)
	r := m.running[c.Bookmark.Request]
	if r == nil {
		return
	}
	switch {
	case r.last.IsZero() && c.Bookmark.Position == 1:
		d := now.Sub(r.arrived)
		m.first.Update(d.Microseconds())
		m.recorder.Add(burn.First, d <= burn.FirstLimit, now)
	case r.last.IsZero():
		// The first token after a reconnect is neither a first token nor a gap.
	case c.Bookmark.Attempt != r.attempt:
		d := now.Sub(r.last)
		m.resume.Update(d.Microseconds())
		m.recorder.Add(burn.Resume, d <= burn.ResumeLimit, now)
	default:
		d := now.Sub(r.last)
		m.gap.Update(d.Microseconds())
		m.recorder.Add(burn.Gap, d <= burn.GapLimit, now)
	}
	r.last = now
	r.attempt = c.Bookmark.Attempt
}

func (m *meter) finish(c table.FinishRequest, now time.Time) {
	if c.Listener != 0 {
		return // the request itself goes on
	}
	delete(m.running, c.Request)
	m.outcomes[c.Outcome].Inc(1)
	switch c.Outcome {
	case table.OutcomeCompleted, table.OutcomeFailed, table.OutcomeBookmarkMismatch:
		m.recorder.Add(burn.Whole, c.Outcome == table.OutcomeCompleted, now)
	}
}

// call notes an idempotent call to a service.
func (m *meter) call(a table.CallRequest, now time.Time) {
	if a.HTTP.Method == http.MethodGet || a.HTTP.Method == http.MethodHead {
		m.lookups[a.ID] = now
	}
}

func (m *meter) respond(c table.Respond, now time.Time) {
	arrived, known := m.lookups[c.Request]
	if !known {
		return
	}
	delete(m.lookups, c.Request)
	d := now.Sub(arrived)
	answered := c.Result == table.ResultReply && c.Reply.Status < http.StatusInternalServerError
	m.lookup.Update(d.Microseconds())
	m.recorder.Add(burn.Lookup, answered && d <= burn.LookupLimit, now)
}

// moves records each move that has ended, once.
func (m *meter) moves(s *table.State) {
	for _, v := range s.Moves {
		if v.State == table.MoveRunning || m.ended[v.ID] {
			continue
		}
		m.ended[v.ID] = true
		m.recorder.Add(burn.Move, !v.Ended.After(v.Rule.Deadline), s.Now)
	}
}

// counts shows the core's own totals.
func (m *meter) counts(s *table.State) {
	m.moves(s)
	m.set("active", len(s.Requests))
	m.set("queued", len(s.Queued))
	m.set("ready", len(s.Ready))
	m.set("stray", s.Counts.StrayFrames)
	m.set("resumed", s.Counts.Resumed)
	m.set("reused", s.Counts.ReusedStreams)
	m.set("recounted", s.Counts.RecomputedTokens)
	m.set("rules", int(s.RulesVersion))
}

func (m *meter) set(name string, v int) {
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

// Burn returns the recorder of the router's service levels.
func (r *Router) Burn() *burn.Recorder {
	r.init()
	return &r.meter.recorder
}
