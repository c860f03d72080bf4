package member

import (
	"math/bits"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// Timing of the protocol.
const (
	ProbeInterval       = 500 * time.Millisecond  // between direct probes
	DirectProbeTimeout  = 200 * time.Millisecond  // for the reply to a direct probe, before indirect probes start
	CallTimeout         = 400 * time.Millisecond  // for any single call
	ProbeTimeout        = 900 * time.Millisecond  // from the start of a probe until its target is suspected
	SuspicionTimeout    = 2 * time.Second         // from suspicion until a member is declared dead
	ContactInterval     = 2 * time.Second         // between calls to addresses other than those of live members
	JoinInterval        = 500 * time.Millisecond  // replaces ContactInterval while full tables still add members
	MinJoinTime         = 4 * time.Second         // from the start until the member table may count as complete
	DeadRetention       = 2 * time.Hour           // how long dead members are kept; longer than the partitions to survive
	PauseThreshold      = time.Second             // between full ticks; a longer gap means that this router was paused
	SuspectedHold       = 5 * time.Second         // how long a router that was itself suspected ignores suspicions from others
	StoreStaleAfter     = 10 * time.Second        // age from which the last known contact with the store is stale and a minority stops
	RulesFetchTimeout   = 1500 * time.Millisecond // for rules to arrive from a member
	memberCheckInterval = 100 * time.Millisecond  // between checks of all members
	fullTableInterval   = 100 * time.Millisecond  // between full tables sent
)

// Sizes of the protocol.
const (
	indirectProbes   = 3    // members asked to probe another
	pushFanout       = 3    // members that an update is pushed to at once
	maxUpdatedRows   = 10   // updated rows in a message
	randomRows       = 3    // random rows in a message, to repair missed updates
	maxNotes         = 8    // notes in a message
	maxNoteBytes     = 4096 // keys and values of the notes in a message; a larger note is dropped on receipt
	maxKeptNotes     = 256  // notes kept for members that return
	retransmitFactor = 3    // messages that carry an update, for each doubling of the fleet
)

// Protocol runs the membership protocol.
type Protocol struct{}

// Step handles the messages of the tick and, on a full tick, the timers.
func (Protocol) Step(s *table.State) {
	f := &s.Fleet
	f.NotesIn = nil
	initIncarnation(s)
	for _, e := range s.Events {
		switch e := e.(type) {
		case table.GossipReceived:
			handleRequest(s, e)
		case table.GossipReplied:
			handleReply(s, e)
		case table.VMsListed:
			f.ListedVMs = e.VMs
		case table.StoreReached:
			f.StoreReachedAt = s.Now
		case table.RulesFetched:
			f.FetchStartedAt = time.Time{}
		}
	}
	updated := updateSelf(s)
	updated = collectLocalNotes(s) || updated
	if updated {
		push(s)
	}
	if s.Full && f.Self.Fleet != "" {
		runTimers(s)
	}
	if s.Full && !s.Now.Before(f.NextMemberCheck) {
		f.NextMemberCheck = s.Now.Add(memberCheckInterval)
		expireMembers(s)
		f.Partitioned = isCutOff(s)
	}
}

// initIncarnation sets the first incarnation from the clock, so that a restarted router supersedes its previous process.
func initIncarnation(s *table.State) {
	f := &s.Fleet
	if f.Started.IsZero() {
		f.Started = s.Now
	}
	if f.Self.Incarnation == 0 {
		f.Self.Incarnation = uint64(max(s.Now.UnixMilli(), 1))
	}
}

// updateSelf raises the incarnation when this router's own row changes.
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

// retransmitsFor returns how many messages carry an update, which grows with the logarithm of the fleet's size.
func retransmitsFor(f *table.Fleet) int {
	return retransmitFactor * bits.Len(uint(len(f.Members)+1))
}

// runTimers runs what is due, after compensating for a pause of this router.
func runTimers(s *table.State) {
	f := &s.Fleet
	if !f.LastFullTick.IsZero() && s.Now.Sub(f.LastFullTick) > PauseThreshold {
		compensatePause(s, s.Now.Sub(f.LastFullTick))
	}
	f.LastFullTick = s.Now
	expireCalls(s)
	checkProbe(s)
	if !s.Now.Before(f.NextProbe) {
		f.NextProbe = s.Now.Add(ProbeInterval)
		startProbe(s)
	}
	if !s.Now.Before(f.NextContact) {
		contactNonLive(s)
	}
}

// compensatePause cancels the current probe and extends the suspicions by the
// pause, since this router could receive neither replies nor refutations in it.
func compensatePause(s *table.State, gap time.Duration) {
	f := &s.Fleet
	f.DirectProbe = table.DirectProbe{}
	for _, m := range f.Members {
		if m.Liveness == jaywind.LivenessSuspect {
			m.Since = m.Since.Add(gap)
		}
	}
}
