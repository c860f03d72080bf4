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

// Observe counts the outcomes of attempts on both versions of each move; it runs before intake.
type Watch struct{}

// Step observes the frames and losses of each tick, and checks for silent attempts on full ticks.
func (Watch) Step(s *table.State) {
	if len(s.Moves) == 0 {
		return
	}
	for _, e := range s.Events {
		switch e := e.(type) {
		case table.Framed:
			observeFrame(s, e)
		case table.Lost:
			observeLoss(s, e)
		case table.Gone:
			dropObservations(s, e.Request)
		}
	}
	if s.Full {
		failSilentAttempts(s)
	}
}

// findObservation returns the observation of a request's current attempt if a move of its model is in progress.
func findObservation(s *table.State, id jaywind.RequestID) (*table.Move, *table.Trial, *table.Request) {
	r := s.Requests[id]
	if r == nil {
		return nil, nil, nil
	}
	m := s.Moves[r.Model]
	if m == nil || m.State != table.MoveGoing || r.Attempt == 0 || !expectsFrames(r) {
		return nil, nil, nil
	}
	if r.Version != m.ID.From && r.Version != m.ID.To {
		return nil, nil, nil
	}
	t := m.Trials[id]
	if t == nil {
		t = &table.Trial{}
		m.Trials[id] = t
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
func startAttempt(s *table.State, m *table.Move, t *table.Trial, r *table.Request) {
	if t.Attempt != 0 && !t.Judged && !r.Reuse {
		Count(s, m, t, table.MeasureFailure, true)
	}
	*t = table.Trial{
		New:      r.Version == m.ID.To,
		Route:    r.Route,
		Attempt:  r.Attempt,
		Endpoint: r.Endpoint,
		Opened:   r.Opened,
		Last:     s.Now,
	}
}

func observeFrame(s *table.State, e table.Framed) {
	m, t, r := findObservation(s, e.Request)
	if t == nil || e.Attempt != t.Attempt {
		return
	}
	if !t.Judged && isMismatch(s, t, r, e.Frame) {
		t.Judged = true
		Count(s, m, t, table.MeasureFailure, true)
		return
	}
	t.Last = s.Now
	t.Frames++
	if t.Frames == 1 {
		t.First = s.Now
		if !r.Pinned() && !r.Reuse {
			Compare(s, m, t, table.MeasureFirst, s.Now.Sub(t.Opened))
		}
	}
	if t.Frames == gapFrames || e.Frame.End && t.Frames >= minGapFrames && t.Frames < gapFrames {
		Compare(s, m, t, table.MeasureGap, s.Now.Sub(t.First)/time.Duration(t.Frames-1))
	}
	if e.Frame.End && !t.Judged {
		t.Judged = true
		Count(s, m, t, table.MeasureFailure, false)
	}
}

// isMismatch reports whether a frame belongs to another request or attempt, or disagrees with the digest of the tokens.
// Intake has not processed the tick's frames yet, so the observation tracks their digest and position itself.
func isMismatch(s *table.State, t *table.Trial, r *table.Request, f jaywind.Frame) bool {
	if !t.Tick.Equal(s.Now) {
		t.Tick = s.Now
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

func observeLoss(s *table.State, e table.Lost) {
	m, t, _ := findObservation(s, e.Request)
	if t == nil || e.Attempt != t.Attempt || t.Judged {
		return
	}
	if errors.Is(e.Err, jaywind.ErrNoStream) {
		return
	}
	t.Judged = true
	Count(s, m, t, table.MeasureFailure, true)
}

func dropObservations(s *table.State, id jaywind.RequestID) {
	for _, m := range s.Moves {
		delete(m.Trials, id)
	}
}

// failSilentAttempts counts attempts without a recent frame as failures, although they are still open.
func failSilentAttempts(s *table.State) {
	for _, m := range s.Moves {
		for id := range m.Trials {
			if s.Requests[id] == nil {
				delete(m.Trials, id)
			}
		}
	}
	for id := range s.Requests {
		m, t, _ := findObservation(s, id)
		if t == nil || t.Judged || s.Now.Sub(t.Last) < silenceTimeoutFor(m, t) {
			continue
		}
		t.Judged = true
		Count(s, m, t, table.MeasureFailure, true)
	}
}

func silenceTimeoutFor(m *table.Move, t *table.Trial) time.Duration {
	normal := m.Evidence.Normal[table.Pair{Route: t.Route, Measure: table.MeasureFirst}]
	if t.Frames > 0 || normal == nil {
		return silenceTimeout
	}
	return max(silenceTimeout, firstTokenFactor*normal.Value)
}

// RecordDuration counts a duration as good or bad by comparing it to the old version's 0.95 quantile. The margin allows for
// the load: at a share of 0.9 the old version's replicas are nearly idle while the new version's carry the traffic.
func Compare(s *table.State, m *table.Move, t *table.Trial, k table.Measure, d time.Duration) {
	pair := table.Pair{Route: t.Route, Measure: k}
	normal := m.Evidence.Normal[pair]
	if normal == nil {
		normal = &table.Quantile{}
		m.Evidence.Normal[pair] = normal
	}
	if normal.Settled() {
		Count(s, m, t, k, d > slowPercent*normal.Value/100)
	}
	if !t.New {
		normal.Observe(d)
	}
}

// RecordOutcome adds one outcome of an attempt to this router's totals and, on a collector, to the open window.
func Count(s *table.State, m *table.Move, t *table.Trial, k table.Measure, bad bool) {
	cell := table.Cell{Pair: table.Pair{Route: t.Route, Measure: k}, New: t.New}
	one := table.Tally{Good: 1}
	if bad {
		m.Fresh = m.Fresh || t.New && k == table.MeasureFailure
		one = table.Tally{Bad: 1, By: map[table.Source]uint64{failureSource(s, t): 1}}
	}
	addOutcomes(m.Evidence.Own, cell, one, maxSources)
	if isCollector(s, m) {
		addOutcomes(m.Evidence.Pending, cell, one, 0)
	}
}

// failureSource returns what a bad outcome is attributed to: a replica of the new version, or a failure domain of the old one.
func failureSource(s *table.State, t *table.Trial) table.Source {
	if t.New {
		return table.Source(t.Endpoint)
	}
	return table.Source(s.Rules.Endpoints[t.Endpoint].Domain)
}
