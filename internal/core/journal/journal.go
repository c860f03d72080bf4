package journal

import (
	"maps"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
	"jaywind/internal/fleet/rendezvous"
)

// Tokens are sent to a peer when MaxLagTokens of them are pending, or when MaxLag
// has passed since the last ones were sent. The pending tokens are lost when a
// router and its engine fail together; another engine then generates them again.
const (
	MaxLag       = 2 * time.Second
	MaxLagTokens = 40
)

const (
	batchInterval   = 200 * time.Millisecond
	peersPerRequest = 2           // peers that hold the record of a request
	peerRetryDelay  = time.Second // no batches for a peer that failed
	maxBatchTokens  = 1 << 16     // no record is added to a batch with more tokens
)

// Replicator sends the new progress of each request to the peers that hold its record.
type Journal struct{}

// Step applies the peers' replies and, when they are due, emits the next batches.
func (Journal) Step(s *table.State) {
	for _, e := range s.Events {
		if k, ok := e.(table.Kept); ok {
			handleKept(s, k)
		}
	}
	if !s.Full || s.Now.Before(s.Journal.Due) || len(s.Fleet.Members) == 0 {
		return
	}
	s.Journal.Due = s.Now.Add(batchInterval)
	b := batches{}
	for _, id := range slices.Sorted(maps.Keys(s.Journal.Rows)) {
		if s.Requests[id] == nil {
			b.close(s, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.Requests)) {
		if r := s.Requests[id]; r.Sent && r.CatchUp == nil {
			b.addRequest(s, r)
		}
	}
	b.emit(s)
}

// handleKept clears what was recorded as sent to a peer that failed or lacks it, so that it
// is sent again.
func handleKept(s *table.State, e table.Kept) {
	delete(s.Journal.Out, e.Peer)
	if e.Err != nil {
		if s.Journal.Paused == nil {
			s.Journal.Paused = map[jaywind.VM]time.Time{}
		}
		s.Journal.Paused[e.Peer] = s.Now.Add(peerRetryDelay)
		for _, row := range s.Journal.Rows {
			delete(row.Sent, e.Peer)
		}
		return
	}
	delete(s.Journal.Paused, e.Peer)
	for _, id := range e.Gaps {
		if row := s.Journal.Rows[id]; row != nil {
			delete(row.Sent, e.Peer)
		}
	}
}

// RecordHolders returns the members that may hold the record of a request, whichever router served
// it: the peers that a router of any failure domain would choose.
func Holders(s *table.State, id jaywind.RequestID) []jaywind.Member {
	live := s.Fleet.Live()
	domains := map[jaywind.Domain]bool{}
	for _, m := range live {
		domains[m.Domain] = true
	}
	found := map[jaywind.VM]jaywind.Member{}
	for _, d := range slices.Sorted(maps.Keys(domains)) {
		for _, m := range rendezvous.Pick(rendezvousKey(id), live, peersPerRequest, d) {
			found[m.VM] = m
		}
	}
	var out []jaywind.Member
	for _, vm := range slices.Sorted(maps.Keys(found)) {
		out = append(out, found[vm])
	}
	return out
}

func rendezvousKey(id jaywind.RequestID) string { return "request/" + string(id) }

// rowOf returns the row of a request, and chooses its peers anew when the fleet has changed.
func rowOf(s *table.State, id jaywind.RequestID) *table.JournalRow {
	row := s.Journal.Rows[id]
	if row == nil {
		row = &table.JournalRow{Sent: map[jaywind.VM]jaywind.Bookmark{}}
		if s.Journal.Rows == nil {
			s.Journal.Rows = map[jaywind.RequestID]*table.JournalRow{}
		}
		s.Journal.Rows[id] = row
	}
	if row.Peers == nil || row.Epoch != s.Fleet.Epoch {
		others := slices.DeleteFunc(s.Fleet.Live(), func(m jaywind.Member) bool { return m.VM == s.Self })
		row.Peers = rendezvous.Pick(rendezvousKey(id), others, peersPerRequest, s.Domain)
		row.Epoch = s.Fleet.Epoch
	}
	return row
}
