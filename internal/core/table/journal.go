package table

import (
	"time"

	"jaywind"
)

// KeepRecords sends records to a peer, which keeps a copy of them.
type KeepRecords struct {
	Peer    jaywind.VM
	Address jaywind.Address
	Records []jaywind.Record
}

// RecordsKept is the answer to a KeepRecords, or its failure.
type RecordsKept struct {
	Peer    jaywind.VM
	Missing []jaywind.RequestID // requests whose earlier tokens the peer lacks
	Err     error
}

// RecallRecord asks peers for their records of a request.
type RecallRecord struct {
	Request jaywind.RequestID
	Peers   []jaywind.Member
	Limit   time.Duration
}

// RecordRecalled is the answer to a RecallRecord: the record with the highest position, or an error.
type RecordRecalled struct {
	Request jaywind.RequestID
	Record  jaywind.Record
	Err     error
}

// Journal tracks the records that peers keep for this router.
type Journal struct {
	Entries     map[jaywind.RequestID]*JournalEntry
	NextBatch   time.Time                // when the next batches are sent
	Inflight    map[jaywind.VM]bool      // peers that have not answered the last batch yet
	PausedUntil map[jaywind.VM]time.Time // peers that failed, and until when nothing is sent to them
}

// JournalEntry says which peers keep a request's record and up to where.
type JournalEntry struct {
	Peers []jaywind.Member // the first one keeps the tokens, all of them the bookmark
	Epoch uint64           // Fleet.Epoch at which Peers were chosen
	Sent  map[jaywind.VM]jaywind.Bookmark

	SentAt time.Time // when tokens were last sent
}

func (KeepRecords) command()  {}
func (RecallRecord) command() {}
func (RecordsKept) event()    {}
func (RecordRecalled) event() {}
