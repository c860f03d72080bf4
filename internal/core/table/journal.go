package table

import (
	"time"

	"jaywind"
)

// KeepRecords sends records to a peer, which keeps a copy of them.
type Keep struct {
	Peer    jaywind.VM
	At      jaywind.Address
	Records []jaywind.Record
}

// RecordsKept is the answer to a KeepRecords, or its failure.
type Kept struct {
	Peer jaywind.VM
	Gaps []jaywind.RequestID // requests whose earlier tokens the peer lacks
	Err  error
}

// RecallRecord asks peers for their records of a request.
type RecallRecord struct {
	Request jaywind.RequestID
	Peers   []jaywind.Member
	Limit   time.Duration
}

// RecordRecalled is the answer to a RecallRecord: the record with the highest position, or an error.
type Recalled struct {
	Request jaywind.RequestID
	Record  jaywind.Record
	Err     error
}

// Journal tracks the records that peers keep for this router.
type Journal struct {
	Rows   map[jaywind.RequestID]*JournalRow
	Due    time.Time                // when the next batches are sent
	Out    map[jaywind.VM]bool      // peers that have not answered the last batch yet
	Paused map[jaywind.VM]time.Time // peers that failed, and until when nothing is sent to them
}

// JournalEntry says which peers keep a request's record and up to where.
type JournalRow struct {
	Peers []jaywind.Member // the first one keeps the tokens, all of them the bookmark
	Epoch uint64           // Fleet.Epoch at which Peers were chosen
	Sent  map[jaywind.VM]jaywind.Bookmark

	SentAt time.Time // when tokens were last sent
}

func (Keep) command()         {}
func (RecallRecord) command() {}
func (Kept) event()           {}
func (Recalled) event()       {}
