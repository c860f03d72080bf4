package journal

import (
	"maps"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
	"jaywind/internal/fleet/rendezvous"
)

// Tokens go to a peer when there are LagTokens of them, or when Lag has passed
// since the last. Both may be lost with a router and its engine; another engine
// makes so many again.
const (
	Lag       = 2 * time.Second
	LagTokens = 40
)

const (
	interval   = 200 * time.Millisecond // between batches
	peers      = 2                      // that keep a request's record
	peerPause  = time.Second            // for a peer that failed
	batchLimit = 1 << 16                // tokens of one batch
)

// Journal sends what is new of each request to the peers that keep its record.
type Journal struct{}

// Step takes the answers of peers and, when they are due, emits the next batches.
func (Journal) Step(s *table.State) {
	for _, e := range s.Events {
		if k, ok := e.(table.Kept); ok {
			takeKept(s, k)
		}
	}
	if !s.Full || s.Now.Before(s.Journal.Due) || len(s.Fleet.Members) == 0 {
		return
	}
	s.Journal.Due = s.Now.Add(interval)
	b := batches{}
	for _, id := range slices.Sorted(maps.Keys(s.Journal.Rows)) {
		if s.Requests[id] == nil {
			b.close(s, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.Requests)) {
		if r := s.Requests[id]; r.Sent && r.CatchUp == nil {
			b.add(s, r)
		}
	}
	b.emit(s)
}

// takeKept forgets what a peer turns out not to have.
func takeKept(s *table.State, e table.Kept) {
	delete(s.Journal.Out, e.Peer)
	if e.Err != nil {
		if s.Journal.Paused == nil {
			s.Journal.Paused = map[jaywind.VM]time.Time{}
		}
		s.Journal.Paused[e.Peer] = s.Now.Add(peerPause)
		for _, w := range s.Journal.Rows {
			delete(w.Sent, e.Peer)
		}
		return
	}
	delete(s.Journal.Paused, e.Peer)
	for _, id := range e.Gaps {
		if w := s.Journal.Rows[id]; w != nil {
			delete(w.Sent, e.Peer)
		}
	}
}

// Holders returns the members that may keep the record of a request for whichever router served it.
func Holders(s *table.State, id jaywind.RequestID) []jaywind.Member {
	live := s.Fleet.Live()
	domains := map[jaywind.Domain]bool{}
	for _, m := range live {
		domains[m.Domain] = true
	}
	found := map[jaywind.VM]jaywind.Member{}
	for _, d := range slices.Sorted(maps.Keys(domains)) {
		for _, m := range rendezvous.Pick(key(id), live, peers, d) {
			found[m.VM] = m
		}
	}
	var out []jaywind.Member
	for _, vm := range slices.Sorted(maps.Keys(found)) {
		out = append(out, found[vm])
	}
	return out
}

func key(id jaywind.RequestID) string { return "request/" + string(id) }

// choose returns the row of a request with peers that fit the fleet as it is.
func choose(s *table.State, id jaywind.RequestID) *table.JournalRow {
	w := s.Journal.Rows[id]
	if w == nil {
		w = &table.JournalRow{Sent: map[jaywind.VM]jaywind.Bookmark{}}
		if s.Journal.Rows == nil {
			s.Journal.Rows = map[jaywind.RequestID]*table.JournalRow{}
		}
		s.Journal.Rows[id] = w
	}
	if w.Peers == nil || w.Epoch != s.Fleet.Epoch {
		others := slices.DeleteFunc(s.Fleet.Live(), func(m jaywind.Member) bool { return m.VM == s.Self })
		w.Peers = rendezvous.Pick(key(id), others, peers, s.Domain)
		w.Epoch = s.Fleet.Epoch
	}
	return w
}
