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
	startSlack = 5 * time.Second // between the rows of routers that start a move together
	readers    = 8               // routers that read the record within one pause
	askPause   = time.Second     // between tries to read or write the record
	tellPause  = time.Second     // between two reports
	badNews    = 5               // times as often a router of a small fleet may tell of new bad outcomes
)

// Decide follows the rules of moves and changes their shares and states; it runs before placement.
type Decide struct{}

// Step handles what is heard at once, and the windows and times on a full tick.
func (Decide) Step(s *table.State) {
	if s.Rules == nil {
		return
	}
	follow(s)
	for _, e := range s.Events {
		handle(s, e)
	}
	handleNotes(s)
	if !s.Full {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.Moves)) {
		advance(s, s.Moves[name])
	}
	steer(s)
}

func handle(s *table.State, e table.Event) {
	switch e := e.(type) {
	case table.Reported:
		if m := byID(s, e.Report.Move); m != nil {
			takeReport(s, m, e.Report)
		}
	case table.Unheard:
		if m := byID(s, e.Move); m != nil {
			shun(s, m, e.Collector)
		}
	case table.Recorded:
		if m := byID(s, e.Move); m != nil {
			takeRecord(s, m, e)
		}
	case table.Stalled:
		if m := byID(s, e.Move); m != nil {
			takeBack(s, m, e.Reason)
		}
	}
}

func byID(s *table.State, id table.MoveID) *table.Move {
	if m := s.Moves[id.Model]; m != nil && m.ID == id {
		return m
	}
	return nil
}

// follow makes the rows of the rules' moves and ends those that the rules no longer hold.
func follow(s *table.State) {
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
			withdraw(s, m)
		}
		s.Moves[name] = begin(s, id)
		s.Moves[name].Rule = rule
	}
	for name, m := range s.Moves {
		_, stands := s.Rules.Moves[name]
		if !stands || s.Rules.Models[name].Version != m.ID.From {
			withdraw(s, m)
		}
	}
}

func begin(s *table.State, id table.MoveID) *table.Move {
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
func withdraw(s *table.State, m *table.Move) {
	if m.State != table.MoveGoing {
		return
	}
	takeBack(s, m, "the rules no longer hold the move")
	ask(s, m, 1, table.Record{Move: m.ID, State: m.State, Reason: m.Reason, At: m.Ended})
}

// takeBack ends a move at once on this router; the record follows when the store answers.
func takeBack(s *table.State, m *table.Move, reason string) {
	if m.State != table.MoveGoing {
		return
	}
	finish(s, m, table.MoveBack, reason)
	s.Emit(table.Tell{Report: report(s, m), To: listeners(s, m)})
	m.ToldAt = s.Now
}

func finish(s *table.State, m *table.Move, state table.MoveState, reason string) {
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
func takeReport(s *table.State, m *table.Move, r table.Report) {
	if r.From == s.Self || m.Recorded {
		return
	}
	m.Known = m.Known || !r.Blind
	if r.Final {
		settle(s, m, r.State, r.Reason)
		if collects(s, m) && !mesh(s) {
			s.Emit(table.Tell{Report: report(s, m), To: listeners(s, m)})
		}
		return
	}
	if m.State != table.MoveGoing {
		return
	}
	if r.State == table.MoveBack {
		takeBack(s, m, r.Reason)
		return
	}
	relay(s, m, r)
	if began := time.Unix(0, r.Began); r.Began != 0 && began.Before(m.Began) {
		m.Began = began
	}
	if r.Step > m.Step && !m.Suspect {
		enter(s, m, min(r.Step, len(steps)-1))
	}
	if r.Kind == table.ReportLead {
		takeLead(s, m, r)
	}
}

// takeRecord follows the store: the state that it holds is final, whatever is seen later.
func takeRecord(s *table.State, m *table.Move, e table.Recorded) {
	m.Known = true
	if e.State == table.MoveGoing {
		return
	}
	if m.Recorded {
		return
	}
	settle(s, m, e.State, e.Reason)
	s.Emit(table.Tell{Report: report(s, m), To: listeners(s, m)})
}

// settle takes over the state that the store holds.
func settle(s *table.State, m *table.Move, state table.MoveState, reason string) {
	if m.State != state {
		finish(s, m, state, reason)
	}
	m.Reason = reason
	m.Recorded = true
}

// advance does what is due for one move.
func advance(s *table.State, m *table.Move) {
	if m.State != table.MoveGoing {
		if !m.Recorded {
			ask(s, m, 1, table.Record{Move: m.ID, State: m.State, Reason: m.Reason, At: m.Ended})
			tell(s, m)
		}
		return
	}
	if !m.Known {
		ask(s, m, readers, table.Recall{Move: m.ID})
	}
	if !s.Now.Before(deadline(m)) {
		takeBack(s, m, lateReason(s, m))
		return
	}
	assign(s, m)
	if collects(s, m) && s.Now.Sub(m.Evidence.Window) >= windowLength {
		judgeWindow(s, m)
		lead(s, m)
	}
	if m.State == table.MoveGoing && (m.Known || !collects(s, m)) {
		tell(s, m) // what it does not know itself, a router does not vouch for, but it asks its collector
	}
}

// judgeWindow closes a window and draws the conclusions.
func judgeWindow(s *table.State, m *table.Move) {
	noteProof(s, m)
	worst, pair := closeWindow(s, m)
	m.Evidence.Window = s.Now
	switch {
	case worst >= 1:
		takeBack(s, m, fmt.Sprintf("%s is worse than %s: %s on route %q", m.ID.To, m.ID.From, pair.Measure, pair.Route))
	case worst >= suspectShare && !m.Suspect:
		m.Suspect = true
		m.Suspicions++
		m.Share = suspectedShare(m)
		m.Proof.Step = 0
		m.Proof.Loaded = 0
	case worst < clearShare && m.Suspect:
		m.Suspect = false
		m.Share = shareOf(s, m)
	case worst < clearShare:
		grow(s, m)
	}
	if m.State == table.MoveGoing && m.Step == 0 && worst >= clearShare { // the budget bounds what doubt may cost here
		m.Share = max(m.Share, min(verdictShare(m), steps[0].most))
	}
}

// suspectedShare returns the share under suspicion: as little as still brings a verdict soon.
func suspectedShare(m *table.Move) float64 {
	return min(max(m.Share/suspectMost, verdictShare(m)), m.Share/suspectLeast)
}

// verdictShare returns the share that brings enough outcomes for a verdict soon, 0 before the rate is known.
func verdictShare(m *table.Move) float64 {
	outcomes := m.Evidence.Ended * m.Rule.By.Sub(m.Began).Seconds() * suspectTime
	if outcomes <= 0 {
		return 0
	}
	return suspectProof / outcomes
}

// ask emits a call on the store; of all routers about so many ask in one pause.
func ask(s *table.State, m *table.Move, askers int, c table.Command) {
	askOf(s, m, s.Membership.Members, askers, c)
}

// askOf does the same where only some routers can ask.
func askOf(s *table.State, m *table.Move, all, askers int, c table.Command) {
	if !m.AskedAt.IsZero() && s.Now.Sub(m.AskedAt) < askPause {
		return
	}
	m.AskedAt = s.Now
	if s.Random.IntN(max(all, 1)) < askers {
		s.Emit(c)
	}
}

func tell(s *table.State, m *table.Move) {
	pause := tellPause
	if m.Fresh && mesh(s) {
		pause /= badNews // in a larger fleet bad outcomes would be heard long before the good ones
	}
	if s.Now.Sub(m.ToldAt) < pause {
		return
	}
	m.ToldAt = s.Now
	m.Fresh = false
	give(s, m)
	s.Emit(table.Tell{Report: report(s, m), To: listeners(s, m)})
}

// lateReason says why a move has not ended by its time.
func lateReason(s *table.State, m *table.Move) string {
	switch {
	case !m.Known:
		return "its time came before the store or a peer could say that the move still stood"
	case m.Suspect:
		return "its time came while the new version was under suspicion"
	case m.Proposed:
		return "its time came before the store recorded the end"
	case m.Suspicions > 0:
		return fmt.Sprintf("its time came after %d times under suspicion, at step %d of %d", m.Suspicions, m.Step+1, len(steps))
	case m.Step == 0 && m.Starts >= part(s, m):
		return "its time came with the budget spent and nothing proved"
	}
	return fmt.Sprintf("its time came with too little traffic for proof, at step %d of %d", m.Step+1, len(steps))
}
