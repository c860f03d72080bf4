package move

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

const (
	startTolerance      = 5 * time.Second // difference in when routers learn of the same new move
	recordReaders       = 8               // routers, on average, that read the record in one retry interval
	recordRetryInterval = time.Second     // between attempts to read or write the record
	reportInterval      = time.Second
	urgentReportFactor  = 5 // divides the interval in a small fleet while new failures are unreported
)

// Decide applies the rules of moves and updates their shares and states; it runs before placement.
type Decide struct{}

// Step handles events and reports on every tick, evaluation windows and timeouts only on a full one.
func (Decide) Step(s *table.State) {
	if s.Rules == nil {
		return
	}
	syncRules(s)
	for _, e := range s.Events {
		handleEvent(s, e)
	}
	handleNotes(s)
	if !s.Full {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.Moves)) {
		advance(s, s.Moves[name])
	}
	emitDesiredStates(s)
}

func handleEvent(s *table.State, e table.Event) {
	switch e := e.(type) {
	case table.ReportReceived:
		if m := findMove(s, e.Report.Move); m != nil {
			applyReport(s, m, e.Report)
		}
	case table.ReportUndelivered:
		if m := findMove(s, e.Move); m != nil {
			excludeCollector(s, m, e.Collector)
		}
	case table.MoveRecorded:
		if m := findMove(s, e.Move); m != nil {
			applyRecord(s, m, e)
		}
	case table.LoadTimedOut:
		if m := findMove(s, e.Move); m != nil {
			rollBack(s, m, e.Reason)
		}
	}
}

func findMove(s *table.State, id table.MoveID) *table.Move {
	if m := s.Moves[id.Model]; m != nil && m.ID == id {
		return m
	}
	return nil
}

// syncRules starts the moves that are new in the rules and ends those that are no longer in them.
func syncRules(s *table.State) {
	for name, rule := range s.Rules.Moves {
		id := table.MoveID{Model: name, From: rule.From, To: rule.To, Deadline: rule.Deadline.Unix()}
		m := s.Moves[name]
		if m != nil && m.ID == id {
			m.Rule = rule
			continue
		}
		if s.Rules.Models[name].Version != rule.From {
			continue
		}
		if m != nil {
			cancelMove(s, m)
		}
		s.Moves[name] = newMove(s, id)
		s.Moves[name].Rule = rule
	}
	for name, m := range s.Moves {
		_, inRules := s.Rules.Moves[name]
		if !inRules || s.Rules.Models[name].Version != m.ID.From {
			cancelMove(s, m)
		}
	}
}

func newMove(s *table.State, id table.MoveID) *table.Move {
	return &table.Move{
		ID:           id,
		State:        table.MoveRunning,
		Began:        s.Now,
		Started:      s.Now,
		StepAt:       s.Now,
		Evidence:     newEvidence(),
		Relay:        newRelay(s),
		BudgetGiven:  map[jaywind.VM]int{},
		PeerWithheld: map[jaywind.VM]int{},
		Observations: map[jaywind.RequestID]*table.Observation{},
		Proof:        newProof(),
	}
}

// cancelMove ends a move that an operator has removed from the rules.
func cancelMove(s *table.State, m *table.Move) {
	if m.State != table.MoveRunning {
		return
	}
	rollBack(s, m, "the rules no longer hold the move")
	callStore(s, m, 1, table.WriteMoveRecord{Move: m.ID, State: m.State, Reason: m.Reason, At: m.Ended})
}

// rollBack ends a move at once on this router. It is recorded later, when the store answers.
func rollBack(s *table.State, m *table.Move, reason string) {
	if m.State != table.MoveRunning {
		return
	}
	setFinalState(s, m, table.MoveRolledBack, reason)
	s.Emit(table.SendReport{Report: buildReport(s, m), To: reportTargets(s, m)})
	m.ReportedAt = s.Now
}

func setFinalState(s *table.State, m *table.Move, state table.MoveState, reason string) {
	m.State = state
	m.Reason = reason
	m.Ended = s.Now
	m.StoreAskedAt = time.Time{}
	m.Share = 0
	if state == table.MoveDone {
		m.Share = 1
	}
	clear(m.Observations)
}

// applyReport adds another router's totals. A roll-back that it reports takes effect at once.
func applyReport(s *table.State, m *table.Move, r table.Report) {
	if r.From == s.Self || m.Recorded {
		return
	}
	m.Confirmed = m.Confirmed || !r.Unconfirmed
	if r.Recorded {
		adoptFinalState(s, m, r.State, r.Reason)
		if isCollector(s, m) && !mesh(s) {
			s.Emit(table.SendReport{Report: buildReport(s, m), To: reportTargets(s, m)})
		}
		return
	}
	if m.State != table.MoveRunning {
		return
	}
	if r.State == table.MoveRolledBack {
		rollBack(s, m, r.Reason)
		return
	}
	addReportTotals(s, m, r)
	if began := time.Unix(0, r.Began); r.Began != 0 && began.Before(m.Began) {
		m.Began = began
	}
	if r.Step > m.Step && !m.Suspect {
		enterStep(s, m, min(r.Step, len(steps)-1))
	}
	if r.Kind == table.ReportDecision {
		applyDecision(s, m, r)
	}
}

// applyRecord adopts the state in the store, which is final whatever outcomes or reports follow.
func applyRecord(s *table.State, m *table.Move, e table.MoveRecorded) {
	m.Confirmed = true
	if e.State == table.MoveRunning {
		return
	}
	if m.Recorded {
		return
	}
	adoptFinalState(s, m, e.State, e.Reason)
	s.Emit(table.SendReport{Report: buildReport(s, m), To: reportTargets(s, m)})
}

// adoptFinalState replaces the local state of a move by the recorded one.
func adoptFinalState(s *table.State, m *table.Move, state table.MoveState, reason string) {
	if m.State != state {
		setFinalState(s, m, state, reason)
	}
	m.Reason = reason
	m.Recorded = true
}

// advance performs the periodic work of one move: store calls, timeout, evaluation and reports.
func advance(s *table.State, m *table.Move) {
	if m.State != table.MoveRunning {
		if !m.Recorded {
			callStore(s, m, 1, table.WriteMoveRecord{Move: m.ID, State: m.State, Reason: m.Reason, At: m.Ended})
			sendReport(s, m)
		}
		return
	}
	if !m.Confirmed {
		callStore(s, m, recordReaders, table.ReadMoveRecord{Move: m.ID})
	}
	if !s.Now.Before(deadline(m)) {
		rollBack(s, m, timeoutReason(s, m))
		return
	}
	updateCollector(s, m)
	if isCollector(s, m) && s.Now.Sub(m.Evidence.WindowClosedAt) >= windowLength {
		evaluateWindow(s, m)
		publishDecision(s, m)
	}
	if m.State == table.MoveRunning && (m.Confirmed || !isCollector(s, m)) {
		// A router without the record does not confirm the move to others, but may ask its collector by a report.
		sendReport(s, m)
	}
}

// evaluateWindow closes a window and, by its worst score, rolls the move back or reduces, restores or grows the share.
func evaluateWindow(s *table.State, m *table.Move) {
	updateProof(s, m)
	worst, pair := closeWindow(s, m)
	m.Evidence.WindowClosedAt = s.Now
	switch {
	case worst >= 1:
		rollBack(s, m, fmt.Sprintf("%s is worse than %s: %s on route %q", m.ID.To, m.ID.From, pair.Measure, pair.Route))
	case worst >= suspectThreshold && !m.Suspect:
		m.Suspect = true
		m.Suspicions++
		m.Share = reducedShare(m)
		m.Proof.Step = 0
		m.Proof.Loaded = 0
	case worst < clearThreshold && m.Suspect:
		m.Suspect = false
		m.Share = stepShare(s, m)
	case worst < clearThreshold:
		grow(s, m)
	}
	// In the first step the budget bounds the cost of a bad version, so the share may rise for an early verdict.
	if m.State == table.MoveRunning && m.Step == 0 && worst >= clearThreshold {
		m.Share = max(m.Share, min(verdictShare(m), steps[0].maxShare))
	}
}

// reducedShare returns the share under suspicion: the least that still yields enough outcomes for an early verdict.
func reducedShare(m *table.Move) float64 {
	return min(max(m.Share/maxShareDivisor, verdictShare(m)), m.Share/minShareDivisor)
}

// verdictShare returns the share that yields verdictOutcomes within verdictTimeShare of the move, or 0 while the
// request rate is unknown.
func verdictShare(m *table.Move) float64 {
	outcomes := m.Evidence.CompletionRate * m.Rule.Deadline.Sub(m.Began).Seconds() * verdictTimeShare
	if outcomes <= 0 {
		return 0
	}
	return verdictOutcomes / outcomes
}

// callStore emits a store call at random, so that about the expected number of all routers do so in one interval.
func callStore(s *table.State, m *table.Move, expected int, c table.Command) {
	callStoreAmong(s, m, s.Membership.Members, expected, c)
}

// callStoreAmong is callStore for calls that only some of the routers make.
func callStoreAmong(s *table.State, m *table.Move, candidates, expected int, c table.Command) {
	if !m.StoreAskedAt.IsZero() && s.Now.Sub(m.StoreAskedAt) < recordRetryInterval {
		return
	}
	m.StoreAskedAt = s.Now
	if s.Random.IntN(max(candidates, 1)) < expected {
		s.Emit(c)
	}
}

func sendReport(s *table.State, m *table.Move) {
	interval := reportInterval
	if m.UnreportedFailures && mesh(s) {
		interval /= urgentReportFactor // in a larger fleet new failures would arrive long before the successes
	}
	if s.Now.Sub(m.ReportedAt) < interval {
		return
	}
	m.ReportedAt = s.Now
	m.UnreportedFailures = false
	transferBudget(s, m)
	s.Emit(table.SendReport{Report: buildReport(s, m), To: reportTargets(s, m)})
}

// timeoutReason explains why a move did not end before its deadline.
func timeoutReason(s *table.State, m *table.Move) string {
	switch {
	case !m.Confirmed:
		return "its time came before the store or a peer could say that the move still stood"
	case m.Suspect:
		return "its time came while the new version was under suspicion"
	case m.Proposed:
		return "its time came before the store recorded the end"
	case m.Suspicions > 0:
		return fmt.Sprintf("its time came after %d times under suspicion, at step %d of %d", m.Suspicions, m.Step+1, len(steps))
	case m.Step == 0 && m.Starts >= budgetPart(s, m):
		return "its time came with the budget spent and nothing proved"
	}
	return fmt.Sprintf("its time came with too little traffic for proof, at step %d of %d", m.Step+1, len(steps))
}
