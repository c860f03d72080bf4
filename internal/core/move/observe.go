package move

import (
	"errors"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

const (
	silenceTimeout   = 2 * time.Second // without a frame, after which an attempt counts as failed
	slowPercent      = 125             // of the old version's 0.95 quantile, above which a duration is slow
	firstTokenFactor = 5               // times the old version's 0.95 quantile, allowed before the first token
	gapFrames        = 32              // at the start of an answer, whose mean gap is compared
	minGapFrames     = 8               // of a shorter answer for its mean gap to be compared
)

// Observe counts the outcomes of attempts on both versions of each move; it runs before generate.EventHandler.
type Observe struct{}

// Step observes the frames and losses of each tick, and checks for silent attempts on full ticks.
func (Observe) Step(s *table.State) {
	if len(s.Moves) == 0 {
		return
	}
	for _, e := range s.Events {
		switch e := e.(type) {
		case table.FrameReceived:
			observeFrame(s, e)
		case table.StreamLost:
			observeLoss(s, e)
		case table.CallerGone:
			dropObservations(s, e.Request)
		}
	}
	if s.Full {
		failSilentAttempts(s)
	}
}

// findObservation returns the observation of a request's current attempt if a move of its model is in progress.
func findObservation(s *table.State, id jaywind.RequestID) (*table.Move, *table.Observation, *table.Request) {
	r := s.Requests[id]
	if r == nil {
		return nil, nil, nil
	}
	m := s.Moves[r.Model]
	if m == nil || m.State != table.MoveRunning || r.Attempt == 0 || !expectsFrames(r) {
		return nil, nil, nil
	}
	if r.Version != m.ID.From && r.Version != m.ID.To {
		return nil, nil, nil
	}
	t := m.Observations[id]
	if t == nil {
		t = &table.Observation{}
		m.Observations[id] = t
	}
	if t.Attempt != r.Attempt {
		startAttempt(s, m, t, r)
	}
	return m, t, r
}

func expectsFrames(r *table.Request) bool {
	return r.Phase == table.PhaseOpening || r.Phase == table.PhaseStreaming || r.Phase == table.PhaseProbing
}

// startAttempt starts observing a new attempt. An attempt that was abandoned for another endpoint counts as failed.
func startAttempt(s *table.State, m *table.Move, t *table.Observation, r *table.Request) {
	if t.Attempt != 0 && !t.Judged && !r.ReuseStream {
		RecordOutcome(s, m, t, table.MeasureFailure, true)
	}
	*t = table.Observation{
		New:         r.Version == m.ID.To,
		Route:       r.Route,
		Attempt:     r.Attempt,
		Endpoint:    r.Endpoint,
		Opened:      r.OpenedAt,
		LastFrameAt: s.Now,
	}
}

func observeFrame(s *table.State, e table.FrameReceived) {
	m, t, r := findObservation(s, e.Request)
	if t == nil || e.Attempt != t.Attempt {
		return
	}
	if !t.Judged && isMismatch(s, t, r, e.Frame) {
		t.Judged = true
		RecordOutcome(s, m, t, table.MeasureFailure, true)
		return
	}
	t.LastFrameAt = s.Now
	t.Frames++
	if t.Frames == 1 {
		t.FirstFrameAt = s.Now
		if !r.Pinned() && !r.ReuseStream {
			RecordDuration(s, m, t, table.MeasureFirstToken, s.Now.Sub(t.Opened))
		}
	}
	if t.Frames == gapFrames || e.Frame.End && t.Frames >= minGapFrames && t.Frames < gapFrames {
		RecordDuration(s, m, t, table.MeasureTokenGap, s.Now.Sub(t.FirstFrameAt)/time.Duration(t.Frames-1))
	}
	if e.Frame.End && !t.Judged {
		t.Judged = true
		RecordOutcome(s, m, t, table.MeasureFailure, false)
	}
}

// isMismatch reports whether a frame belongs to another request or attempt, or disagrees with the digest of the tokens.
// generate.EventHandler has not processed the tick's frames yet, so the observation tracks their digest and position itself.
func isMismatch(s *table.State, t *table.Observation, r *table.Request, f jaywind.Frame) bool {
	if !t.DigestTick.Equal(s.Now) {
		t.DigestTick = s.Now
		t.Digest = r.Digest
		t.Position = r.Position()
	}
	if f.Request != r.ID || f.Attempt != r.Attempt {
		return true
	}
	if f.End {
		return f.Position == t.Position && f.Digest != t.Digest
	}
	if f.Position != t.Position {
		return false
	}
	t.Digest = t.Digest.Add(f.Token)
	t.Position++
	return f.Digest != 0 && f.Digest != t.Digest
}

func observeLoss(s *table.State, e table.StreamLost) {
	m, t, _ := findObservation(s, e.Request)
	if t == nil || e.Attempt != t.Attempt || t.Judged {
		return
	}
	if errors.Is(e.Err, jaywind.ErrNoStream) {
		return
	}
	t.Judged = true
	RecordOutcome(s, m, t, table.MeasureFailure, true)
}

func dropObservations(s *table.State, id jaywind.RequestID) {
	for _, m := range s.Moves {
		delete(m.Observations, id)
	}
}

// failSilentAttempts counts attempts without a recent frame as failures, although they are still open.
func failSilentAttempts(s *table.State) {
	for _, m := range s.Moves {
		for id := range m.Observations {
			if s.Requests[id] == nil {
				delete(m.Observations, id)
			}
		}
	}
	for id := range s.Requests {
		m, t, _ := findObservation(s, id)
		if t == nil || t.Judged || s.Now.Sub(t.LastFrameAt) < silenceTimeoutFor(m, t) {
			continue
		}
		t.Judged = true
		RecordOutcome(s, m, t, table.MeasureFailure, true)
	}
}

func silenceTimeoutFor(m *table.Move, t *table.Observation) time.Duration {
	baseline := m.Evidence.Baselines[table.RouteMeasure{Route: t.Route, Measure: table.MeasureFirstToken}]
	if t.Frames > 0 || baseline == nil {
		return silenceTimeout
	}
	return max(silenceTimeout, firstTokenFactor*baseline.Value)
}

// RecordDuration counts a duration as good or bad by comparing it to the old version's 0.95 quantile. The margin allows for
// the load: at a share of 0.9 the old version's replicas are nearly idle while the new version's carry the traffic.
func RecordDuration(s *table.State, m *table.Move, t *table.Observation, k table.Measure, d time.Duration) {
	pair := table.RouteMeasure{Route: t.Route, Measure: k}
	baseline := m.Evidence.Baselines[pair]
	if baseline == nil {
		baseline = &table.Quantile{}
		m.Evidence.Baselines[pair] = baseline
	}
	if baseline.Ready() {
		RecordOutcome(s, m, t, k, d > slowPercent*baseline.Value/100)
	}
	if !t.New {
		baseline.Observe(d)
	}
}

// RecordOutcome adds one outcome of an attempt to this router's totals and, on a collector, to the open window.
func RecordOutcome(s *table.State, m *table.Move, t *table.Observation, k table.Measure, bad bool) {
	key := table.OutcomeKey{RouteMeasure: table.RouteMeasure{Route: t.Route, Measure: k}, New: t.New}
	one := table.OutcomeCounts{Good: 1}
	if bad {
		m.UnreportedFailures = m.UnreportedFailures || t.New && k == table.MeasureFailure
		one = table.OutcomeCounts{Bad: 1, BadBySource: map[table.Source]uint64{failureSource(s, t): 1}}
	}
	addOutcomes(m.Evidence.Own, key, one, maxSources)
	if isCollector(s, m) {
		addOutcomes(m.Evidence.Pending, key, one, 0)
	}
}

// failureSource returns what a bad outcome is attributed to: a replica of the new version, or a failure domain of the old one.
func failureSource(s *table.State, t *table.Observation) table.Source {
	if t.New {
		return table.Source(t.Endpoint)
	}
	return table.Source(s.Rules.Endpoints[t.Endpoint].Domain)
}
