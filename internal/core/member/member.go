package member

import (
	"math/bits"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// The times of the protocol.
const (
	Period          = 500 * time.Millisecond  // between direct probes
	DirectLimit     = 200 * time.Millisecond  // for a direct answer, before others are asked to help
	CallLimit       = 400 * time.Millisecond  // for any one call
	ProbeLimit      = 900 * time.Millisecond  // from the probe to the suspicion
	SuspicionLimit  = 2 * time.Second         // from the suspicion to the death
	ContactPeriod   = 2 * time.Second         // between calls beyond the live members
	JoinPeriod      = 500 * time.Millisecond  // the same while whole tables bring new members
	SettleLimit     = 4 * time.Second         // from the start until the table can be taken as whole
	ForgetAfter     = 2 * time.Hour           // from the death, longer than the cuts to live through
	PauseLimit      = time.Second             // between full ticks; a longer gap is a pause of this router
	BackLimit       = 5 * time.Second         // after it was doubted itself, while a router takes no suspicions from others
	StoreStaleAfter = 10 * time.Second        // without news of the store before a smaller side stops
	FetchLimit      = 1500 * time.Millisecond // for rules to arrive from a member
	lookPeriod      = 100 * time.Millisecond  // between looks at all members
	wholeInterval   = 100 * time.Millisecond  // between whole tables sent
)

// The sizes of the protocol.
const (
	helpers      = 3  // members asked to probe another
	pushes       = 3  // members told of news at once
	rowLimit     = 10 // rows of news in a message
	sampleLimit  = 3  // random rows in a message, to repair what was missed
	noteLimit    = 8  // notes in a message
	noteBytes    = 4096
	noteKeep     = 256 // notes kept for members that come back
	spreadFactor = 3   // messages that carry news, for each doubling of the fleet
)

// Protocol runs the membership protocol.
type Protocol struct{}

// Step handles the messages of the tick and, on a full one, the timers.
func (Protocol) Step(s *table.State) {
	f := &s.Fleet
	f.NotesIn = nil
	begin(s)
	for _, e := range s.Events {
		switch e := e.(type) {
		case table.GossipReceived:
			takeAsk(s, e)
		case table.GossipReplied:
			takeAnswer(s, e)
		case table.MachinesListed:
			f.Machines = e.Machines
		case table.StoreReached:
			f.StoreReachedAt = s.Now
		case table.RulesFetched:
			f.FetchStartedAt = time.Time{}
		}
	}
	news := updateSelf(s)
	news = takeNotes(s) || news
	if news {
		push(s)
	}
	if s.Full && f.Self.Fleet != "" {
		watchTimers(s)
	}
	if s.Full && !s.Now.Before(f.NextMemberCheck) {
		f.NextMemberCheck = s.Now.Add(lookPeriod)
		watchMembers(s)
		f.Partitioned = isCut(s)
	}
}

// begin sets the first incarnation from the clock, so that a restarted router goes on above its former self.
func begin(s *table.State) {
	f := &s.Fleet
	if f.Started.IsZero() {
		f.Started = s.Now
	}
	if f.Self.Incarnation == 0 {
		f.Self.Incarnation = uint64(max(s.Now.UnixMilli(), 1))
	}
}

// updateSelf raises the incarnation when the router's own row changes.
func updateSelf(s *table.State) bool {
	f := &s.Fleet
	if f.Self.Rules == s.RulesVersion && f.Self.Leaving == s.Stopping {
		return false
	}
	f.Self.Rules = s.RulesVersion
	f.Self.Leaving = s.Stopping
	f.Self.Incarnation++
	f.Epoch++
	return true
}

// spreadOf returns how many messages carry a piece of news.
func spreadOf(f *table.Fleet) int {
	return spreadFactor * bits.Len(uint(len(f.Members)+1))
}

// watchTimers runs what is due, after a pause of this router has been allowed for.
func watchTimers(s *table.State) {
	f := &s.Fleet
	if !f.LastFullTick.IsZero() && s.Now.Sub(f.LastFullTick) > PauseLimit {
		forgivePause(s, s.Now.Sub(f.LastFullTick))
	}
	f.LastFullTick = s.Now
	dropCalls(s)
	watchProbe(s)
	if !s.Now.Before(f.NextProbe) {
		f.NextProbe = s.Now.Add(Period)
		startProbe(s)
	}
	if !s.Now.Before(f.NextDiscovery) {
		contact(s)
	}
}

// forgivePause drops what this router could not hear while it was paused.
func forgivePause(s *table.State, gap time.Duration) {
	f := &s.Fleet
	f.DirectProbe = table.DirectProbe{}
	for _, m := range f.Members {
		if m.Liveness == jaywind.LivenessSuspect {
			m.Since = m.Since.Add(gap)
		}
	}
}
