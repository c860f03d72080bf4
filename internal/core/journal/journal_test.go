package journal

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/table"
)

// TestTokensWaitForABatch follows one answer and checks how far the record of its first peer is behind it.
func TestTokensWaitForABatch(t *testing.T) {
	const tick = 20 * time.Millisecond
	const again = 64 // tokens that another engine makes again for a caller at most
	tests := map[string]struct {
		gap   time.Duration // between tokens
		every time.Duration // most that a message may come in, in the mean
	}{
		"fast engine":          {gap: 10 * time.Millisecond, every: 400 * time.Millisecond},
		"at the target's pace": {gap: 34 * time.Millisecond, every: 1360 * time.Millisecond},
		"slow engine":          {gap: time.Second, every: 2 * time.Second},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := stateOf(3)
			r := &table.Request{ID: "r1", Attempt: 1, Sent: true}
			s.Requests[r.ID] = r
			const span = time.Minute
			messages := 0
			var answers []table.Event
			var oldest time.Time // token that was not sent
			start := s.Now
			for now, next := start, start; now.Sub(start) < span; now = now.Add(tick) {
				for ; !next.After(now); next = next.Add(c.gap) {
					r.Tokens = append(r.Tokens, jaywind.Token{ID: 1})
				}
				s.Begin(now, true, answers)
				answers = nil
				Journal{}.Step(s)
				for _, k := range s.Take() {
					messages++
					answers = append(answers, table.Kept{Peer: k.(table.Keep).Peer})
				}
				w := s.Journal.Rows[r.ID]
				behind := int(r.Position() - w.Sent[w.Peers[0].VM].Position)
				switch {
				case behind == 0:
					oldest = time.Time{}
				case oldest.IsZero():
					oldest = now
				}
				is.True(behind <= again)
				is.True(oldest.IsZero() || now.Sub(oldest) <= Lag+interval+tick)
			}
			is.True(messages-2 <= int(span/c.every)) // besides the start at two peers
		})
	}
}

// stateOf returns the state of a router that knows some others.
func stateOf(others int) *table.State {
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
