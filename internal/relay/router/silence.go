package router

import (
	"time"

	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/series"
	"jaywind/internal/core/silence"
)

// silencesOf returns the tracker of the engines of a service; the caller holds mu.
func (r *Router) silencesOf(s jaywind.ServiceName) *silence.Tracker {
	t := r.silences[s]
	if t == nil {
		t = &silence.Tracker{}
		r.silences[s] = t
	}
	return t
}

// expect records that a run should produce events from a time on.
func (r *Router) expect(st *streamCall, a attempt, from time.Time) {
	if st.expected {
		return
	}
	st.expected = true
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silencesOf(st.service.Name).Begin(a.endpoint.ID, a.endpoint.Domain, from)
}

// endExpectation records the end of a run that should have produced events, and how many engines were silent if it was left for that.
func (r *Router) endExpectation(st *streamCall, a attempt, loss series.Failure) {
	if !st.expected {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now, t := time.Now(), r.silencesOf(st.service.Name)
	silent := loss == series.FailureSilent
	if silent {
		st.survey = t.Survey(a.endpoint.ID, now)
	}
	t.End(a.endpoint.ID, silent, now)
}

// surveyFields returns the fields of a log line on a silent engine.
func surveyFields(s silence.Survey) []zap.Field {
	return []zap.Field{zap.Int("silent_engines", s.Silent), zap.Int("heard_engines", s.Heard), zap.Int("silent_domains", s.Domains)}
}
