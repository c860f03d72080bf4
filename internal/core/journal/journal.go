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
// router and its engine fail together; another engine then generates them again,
// up to maxCatchUp of package generate. MaxLagTokens is below that limit, since
// more tokens arrive until the next batch is sent.
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
type Replicator struct{}

// Step applies the peers' replies and, when they are due, emits the next batches.
func (Replicator) Step(s *table.State) {
	for _, e := range s.Events {
		if k, ok := e.(table.RecordsKept); ok {
			handleKept(s, k)
		}
	}
	if !s.Full || s.Now.Before(s.Journal.NextBatch) || len(s.Fleet.Members) == 0 {
		return
	}
	s.Journal.NextBatch = s.Now.Add(batchInterval)
	b := batches{}
	for _, id := range slices.Sorted(maps.Keys(s.Journal.Entries)) {
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
func handleKept(s *table.State, e table.RecordsKept) {
	delete(s.Journal.Inflight, e.Peer)
	if e.Err != nil {
		if s.Journal.PausedUntil == nil {
			s.Journal.PausedUntil = map[jaywind.VM]time.Time{}
		}
		s.Journal.PausedUntil[e.Peer] = s.Now.Add(peerRetryDelay)
		for _, entry := range s.Journal.Entries {
			delete(entry.Sent, e.Peer)
		}
		return
	}
	delete(s.Journal.PausedUntil, e.Peer)
	for _, id := range e.Missing {
		if entry := s.Journal.Entries[id]; entry != nil {
			delete(entry.Sent, e.Peer)
		}
	}
}

// RecordHolders returns the members that may hold the record of a request, whichever router served
// it: the peers that a router of any failure domain would choose.
func RecordHolders(s *table.State, id jaywind.RequestID) []jaywind.Member {
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

// entryFor returns the entry of a request, and chooses its peers anew when the fleet has changed.
func entryFor(s *table.State, id jaywind.RequestID) *table.JournalEntry {
	entry := s.Journal.Entries[id]
	if entry == nil {
		entry = &table.JournalEntry{Sent: map[jaywind.VM]jaywind.Bookmark{}}
		if s.Journal.Entries == nil {
			s.Journal.Entries = map[jaywind.RequestID]*table.JournalEntry{}
		}
		s.Journal.Entries[id] = entry
	}
	if entry.Peers == nil || entry.Epoch != s.Fleet.Epoch {
		others := slices.DeleteFunc(s.Fleet.Live(), func(m jaywind.Member) bool { return m.VM == s.Self })
		entry.Peers = rendezvous.Pick(rendezvousKey(id), others, peersPerRequest, s.Domain)
		entry.Epoch = s.Fleet.Epoch
	}
	return entry
}
