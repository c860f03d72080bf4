package table

import (
	"time"

	"jaywind"
)

// Keep hands records to a peer.
type Keep struct {
	Peer    jaywind.VM
	At      jaywind.Address
	Records []jaywind.Record
}

// Kept is the answer to a Keep.
type Kept struct {
	Peer jaywind.VM
	Gaps []jaywind.RequestID // of which the peer lacks the tokens before
	Err  error
}

// RecallRecord asks peers for what they keep of a request.
type RecallRecord struct {
	Request jaywind.RequestID
	Peers   []jaywind.Member
	Limit   time.Duration
}

// Recalled is the answer to a RecallRecord: the furthest record, or an error.
type Recalled struct {
	Request jaywind.RequestID
	Record  jaywind.Record
	Err     error
}

// Journal is what is known of the records that peers keep for this router.
type Journal struct {
	Rows   map[jaywind.RequestID]*JournalRow
	Due    time.Time                // of the next batches
	Out    map[jaywind.VM]bool      // a batch is on its way
	Paused map[jaywind.VM]time.Time // peers that failed, until when they get nothing
}

// JournalRow says which peers keep a request's record and what they have of it.
type JournalRow struct {
	Peers []jaywind.Member // the first keeps the tokens, all keep the bookmark
	Epoch uint64           // of the fleet for which Peers were chosen
	Sent  map[jaywind.VM]jaywind.Bookmark

	SentAt time.Time // when tokens were last sent
}

func (Keep) command()         {}
func (RecallRecord) command() {}
func (Kept) event()           {}
func (Recalled) event()       {}
