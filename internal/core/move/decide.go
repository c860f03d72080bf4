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
	startTolerance      = 5 * time.Second // between the rows of routers that start a move together
	recordReaders       = 8               // routers that read the record within one pause
	recordRetryInterval = time.Second     // between tries to read or write the record
	reportInterval      = time.Second     // between two reports
	urgentReportFactor  = 5               // times as often a router of a small fleet may tell of new bad outcomes
)

// Decide follows the rules of moves and changes their shares and states; it runs before placement.
type Decide struct{}

// Step handles what is heard at once, and the windows and times on a full tick.
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
	emitWantedStates(s)
}

func handleEvent(s *table.State, e table.Event) {
	switch e := e.(type) {
	case table.Reported:
		if m := findMove(s, e.Report.Move); m != nil {
			applyReport(s, m, e.Report)
		}
	case table.Unheard:
		if m := findMove(s, e.Move); m != nil {
			excludeCollector(s, m, e.Collector)
		}
	case table.Recorded:
		if m := findMove(s, e.Move); m != nil {
			applyRecord(s, m, e)
		}
	case table.Stalled:
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

// follow makes the rows of the rules' moves and ends those that the rules no longer hold.
func syncRules(s *table.State) {
	for name, rule := range s.Rules.Moves {
		id := table.MoveID{Model: name, From: rule.From, To: rule.To, By: rule.By.Unix()}
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
		ID:       id,
		State:    table.MoveGoing,
		Began:    s.Now,
		Started:  s.Now,
		StepAt:   s.Now,
		Evidence: newEvidence(),
		Relay:    newRelay(s),
		Given:    map[jaywind.VM]int{},
		Needs:    map[jaywind.VM]int{},
		Trials:   map[jaywind.RequestID]*table.Trial{},
		Proof:    newProof(),
	}
}

// withdraw ends a move that the operators have taken out of the rules.
func cancelMove(s *table.State, m *table.Move) {
	if m.State != table.MoveGoing {
		return
	}
	rollBack(s, m, "the rules no longer hold the move")
	callStore(s, m, 1, table.Record{Move: m.ID, State: m.State, Reason: m.Reason, At: m.Ended})
}

// takeBack ends a move at once on this router; the record follows when the store answers.
func rollBack(s *table.State, m *table.Move, reason string) {
	if m.State != table.MoveGoing {
		return
	}
	setFinalState(s, m, table.MoveBack, reason)
	s.Emit(table.Tell{Report: buildReport(s, m), To: reportTargets(s, m)})
	m.ToldAt = s.Now
}

func setFinalState(s *table.State, m *table.Move, state table.MoveState, reason string) {
	m.State = state
	m.Reason = reason
	m.Ended = s.Now
	m.AskedAt = time.Time{}
	m.Share = 0
	if state == table.MoveDone {
		m.Share = 1
	}
	clear(m.Trials)
}

// takeReport adds another router's totals; a verdict from it counts at once.
func applyReport(s *table.State, m *table.Move, r table.Report) {
	if r.From == s.Self || m.Recorded {
		return
	}
	m.Known = m.Known || !r.Blind
	if r.Final {
		adoptFinalState(s, m, r.State, r.Reason)
		if isCollector(s, m) && !mesh(s) {
			s.Emit(table.Tell{Report: buildReport(s, m), To: reportTargets(s, m)})
		}
		return
	}
	if m.State != table.MoveGoing {
		return
	}
	if r.State == table.MoveBack {
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
	if r.Kind == table.ReportLead {
		applyDecision(s, m, r)
	}
}

// takeRecord follows the store: the state that it holds is final, whatever is seen later.
func applyRecord(s *table.State, m *table.Move, e table.Recorded) {
	m.Known = true
	if e.State == table.MoveGoing {
		return
	}
	if m.Recorded {
		return
	}
	adoptFinalState(s, m, e.State, e.Reason)
	s.Emit(table.Tell{Report: buildReport(s, m), To: reportTargets(s, m)})
}

// settle takes over the state that the store holds.
func adoptFinalState(s *table.State, m *table.Move, state table.MoveState, reason string) {
	if m.State != state {
		setFinalState(s, m, state, reason)
	}
	m.Reason = reason
	m.Recorded = true
}

// advance does what is due for one move.
func advance(s *table.State, m *table.Move) {
	if m.State != table.MoveGoing {
		if !m.Recorded {
			callStore(s, m, 1, table.Record{Move: m.ID, State: m.State, Reason: m.Reason, At: m.Ended})
			sendReport(s, m)
		}
		return
	}
	if !m.Known {
		callStore(s, m, recordReaders, table.Recall{Move: m.ID})
	}
	if !s.Now.Before(deadline(m)) {
		rollBack(s, m, timeoutReason(s, m))
		return
	}
	updateCollector(s, m)
	if isCollector(s, m) && s.Now.Sub(m.Evidence.Window) >= windowLength {
		evaluateWindow(s, m)
		publishDecision(s, m)
	}
	if m.State == table.MoveGoing && (m.Known || !isCollector(s, m)) {
		sendReport(s, m) // what it does not know itself, a router does not vouch for, but it asks its collector
	}
}

// judgeWindow closes a window and draws the conclusions.
func evaluateWindow(s *table.State, m *table.Move) {
	updateProof(s, m)
	worst, pair := closeWindow(s, m)
	m.Evidence.Window = s.Now
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
	if m.State == table.MoveGoing && m.Step == 0 && worst >= clearThreshold { // the budget bounds what doubt may cost here
		m.Share = max(m.Share, min(verdictShare(m), steps[0].maxShare))
	}
}

// suspectedShare returns the share under suspicion: as little as still brings a verdict soon.
func reducedShare(m *table.Move) float64 {
	return min(max(m.Share/maxShareDivisor, verdictShare(m)), m.Share/minShareDivisor)
}

// verdictShare returns the share that brings enough outcomes for a verdict soon, 0 before the rate is known.
func verdictShare(m *table.Move) float64 {
	outcomes := m.Evidence.Ended * m.Rule.By.Sub(m.Began).Seconds() * verdictTimeShare
	if outcomes <= 0 {
		return 0
	}
	return verdictOutcomes / outcomes
}

// ask emits a call on the store; of all routers about so many ask in one pause.
func callStore(s *table.State, m *table.Move, expected int, c table.Command) {
	callStoreAmong(s, m, s.Membership.Members, expected, c)
}

// askOf does the same where only some routers can ask.
func callStoreAmong(s *table.State, m *table.Move, candidates, expected int, c table.Command) {
	if !m.AskedAt.IsZero() && s.Now.Sub(m.AskedAt) < recordRetryInterval {
		return
	}
	m.AskedAt = s.Now
	if s.Random.IntN(max(candidates, 1)) < expected {
		s.Emit(c)
	}
}

func sendReport(s *table.State, m *table.Move) {
	interval := reportInterval
	if m.Fresh && mesh(s) {
		interval /= urgentReportFactor // in a larger fleet bad outcomes would be heard long before the good ones
	}
	if s.Now.Sub(m.ToldAt) < interval {
		return
	}
	m.ToldAt = s.Now
	m.Fresh = false
	transferBudget(s, m)
	s.Emit(table.Tell{Report: buildReport(s, m), To: reportTargets(s, m)})
}

// lateReason says why a move has not ended by its time.
func timeoutReason(s *table.State, m *table.Move) string {
	switch {
	case !m.Known:
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
