package move

import (
	"errors"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

const (
	silenceTimeout   = 2 * time.Second // of an attempt; beyond it the attempt counts as failed
	slowPercent      = 125             // percent of the old version's 0.95 quantile from which a duration is slow
	firstTokenFactor = 5               // silence before the first token, as a multiple of its old 0.95 quantile
	gapFrames        = 32              // frames whose mean gap is compared
	minGapFrames     = 8               // the same for an answer that is shorter
)

// Watch counts the outcomes of attempts on both versions of each move; it runs before intake.
type Watch struct{}

// Step looks at the frames and losses of the tick, and at silent attempts on a full one.
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
			dropTrials(s, e.Request)
		}
	}
	if s.Full {
		failSilentAttempts(s)
	}
}

// find returns the trial of a request's current attempt, if its model is moving.
func findTrial(s *table.State, id jaywind.RequestID) (*table.Move, *table.Trial, *table.Request) {
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

// rebind takes up a new attempt; one that was left for another endpoint has failed.
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
	m, t, r := findTrial(s, e.Request)
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

// wrong tells whether a frame shows that its answer is not that of the request; intake has not taken it yet.
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
	m, t, _ := findTrial(s, e.Request)
	if t == nil || e.Attempt != t.Attempt || t.Judged {
		return
	}
	if errors.Is(e.Err, jaywind.ErrNoStream) {
		return
	}
	t.Judged = true
	Count(s, m, t, table.MeasureFailure, true)
}

func dropTrials(s *table.State, id jaywind.RequestID) {
	for _, m := range s.Moves {
		delete(m.Trials, id)
	}
}

// noteSilence counts attempts that have gone silent as failures while they are still open.
func failSilentAttempts(s *table.State) {
	for _, m := range s.Moves {
		for id := range m.Trials {
			if s.Requests[id] == nil {
				delete(m.Trials, id)
			}
		}
	}
	for id := range s.Requests {
		m, t, _ := findTrial(s, id)
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

// Compare makes a duration binary against the old version's 0.95 quantile, with a margin: at
// a share of 0.9 the old version's replicas are nearly idle, and the new one's carry the load.
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

// Count adds one outcome of a trial to the totals of this router and to the open window.
func Count(s *table.State, m *table.Move, t *table.Trial, k table.Measure, bad bool) {
	cell := table.Cell{Pair: table.Pair{Route: t.Route, Measure: k}, New: t.New}
	one := table.Tally{Good: 1}
	if bad {
		m.Fresh = m.Fresh || t.New && k == table.MeasureFailure
		one = table.Tally{Bad: 1, By: map[table.Source]uint64{failureSource(s, t): 1}}
	}
	addTally(m.Evidence.Own, cell, one, maxSources)
	if isCollector(s, m) {
		addTally(m.Evidence.Pending, cell, one, 0)
	}
}

// sourceOf names what a failure is put down to: a replica of the new version, a failure domain of the old one.
func failureSource(s *table.State, t *table.Trial) table.Source {
	if t.New {
		return table.Source(t.Endpoint)
	}
	return table.Source(s.Rules.Endpoints[t.Endpoint].Domain)
}
