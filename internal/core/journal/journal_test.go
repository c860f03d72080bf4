package journal

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/table"
)

// TestTokensWaitForABatch runs one answer at several speeds and checks how far the record at its first
// peer lags behind it, and how many messages that takes. A record that lags too far can't be completed by
// another engine after a loss; too frequent messages would load the fleet.
func TestTokensWaitForABatch(t *testing.T) {
	const tick = 20 * time.Millisecond
	const maxRegenerated = 64 // tokens that another engine generates again for a caller at most
	tests := map[string]struct {
		gap      time.Duration // between tokens
		interval time.Duration // shortest mean time between messages
	}{
		"fast engine":          {gap: 10 * time.Millisecond, interval: 400 * time.Millisecond},
		"at the target's pace": {gap: 34 * time.Millisecond, interval: 1360 * time.Millisecond},
		"slow engine":          {gap: time.Second, interval: 2 * time.Second},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := stateWithPeers(3)
			r := &table.Request{ID: "r1", Attempt: 1, Sent: true}
			s.Requests[r.ID] = r
			const span = time.Minute
			messages := 0
			var replies []table.Event
			var oldest time.Time // when the oldest token not yet sent was generated
			start := s.Now
			for now, next := start, start; now.Sub(start) < span; now = now.Add(tick) {
				for ; !next.After(now); next = next.Add(c.gap) {
					r.Tokens = append(r.Tokens, jaywind.Token{ID: 1})
				}
				s.BeginTick(now, true, replies)
				replies = nil
				Replicator{}.Step(s)
				for _, k := range s.TakeCommands() {
					messages++
					replies = append(replies, table.RecordsKept{Peer: k.(table.KeepRecords).Peer})
				}
				entry := s.Journal.Entries[r.ID]
				behind := int(r.Position() - entry.Sent[entry.Peers[0].VM].Position)
				switch {
				case behind == 0:
					oldest = time.Time{}
				case oldest.IsZero():
					oldest = now
				}
				is.True(behind <= maxRegenerated)
				is.True(oldest.IsZero() || now.Sub(oldest) <= MaxLag+batchInterval+tick)
			}
			is.True(messages-2 <= int(span/c.interval)) // the first message to each of the two peers is extra
		})
	}
}

// stateWithPeers returns the state of a router in a fleet with other members.
func stateWithPeers(others int) *table.State {
	s := table.New(1)
	s.Now = time.Unix(1000, 0)
	s.Self, s.Domain = "vm0", "d0"
	s.Fleet.Members = map[jaywind.VM]*table.Member{}
	for i := 1; i <= others; i++ {
		vm := jaywind.VM(fmt.Sprint("vm", i))
		m := jaywind.Member{VM: vm, Domain: jaywind.Domain(fmt.Sprint("d", i)), Fleet: jaywind.Address(vm)}
		s.Fleet.Members[vm] = &table.Member{Member: m, Since: s.Now}
	}
	return s
}
