package claims

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"jaywind"
)

// ErrFormat wraps a failure to decode a value read from the store.
var ErrFormat = errors.New("claims: malformed value")

const (
	oldestFormat  = 1 // oldest format that is still read; its segments are named by their content hash
	currentFormat = 2 // format that is written
)

// encoding is deterministic, so that two routers that seal the same rows write equal bytes.
var encoding = newEncoding()

func newEncoding() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // unreachable: the options are constant
	}
	return mode
}

// row is one claim as it is stored.
type row struct {
	Organisation string      `cbor:"1,keyasint"`
	Service      string      `cbor:"2,keyasint"`
	Key          string      `cbor:"3,keyasint"`
	Body         uint64      `cbor:"4,keyasint"`
	Nonce        uint64      `cbor:"5,keyasint"`
	State        int         `cbor:"6,keyasint"`
	Status       int         `cbor:"7,keyasint,omitempty"`
	Header       http.Header `cbor:"8,keyasint,omitempty"`
	Reply        []byte      `cbor:"9,keyasint,omitempty"`
}

// segmentRef refers to a segment or an index from the head.
type segmentRef struct {
	segmentID
	Size      int   `cbor:"2,keyasint,omitempty"` // bytes
	ExpiresAt int64 `cbor:"3,keyasint,omitempty"` // Unix time in seconds after which it may be dropped
}

// segmentID identifies a segment among all that its shard ever had.
type segmentID struct {
	Hash     uint64 `cbor:"1,keyasint,omitempty"` // of the content; only in the oldest format
	Sequence uint64 `cbor:"4,keyasint,omitempty"` // starts at 1

	Era jaywind.Era `cbor:"7,keyasint,omitempty"` // in which it was written
}

// head is the value of a shard's main key.
type head struct {
	Format       int          `cbor:"1,keyasint"`
	Rows         []row        `cbor:"2,keyasint"`
	Sealed       []segmentRef `cbor:"3,keyasint,omitempty"` // oldest first
	LastSequence uint64       `cbor:"4,keyasint,omitempty"` // last sequence number in use
	Dropped      []segmentID  `cbor:"5,keyasint,omitempty"` // no longer referenced, to be deleted
	Base         uint64       `cbor:"6,keyasint,omitempty"` // position of the first log entry that is not in a segment yet
	Indexes      []segmentRef `cbor:"7,keyasint,omitempty"` // indexes of segments older than those in Sealed, oldest first
}

// logEntry is the value of one log key.
type logEntry struct {
	Format   int    `cbor:"1,keyasint"`
	Rows     []row  `cbor:"2,keyasint"`
	Position uint64 `cbor:"3,keyasint,omitempty"` // in the log, starts at 0
	Base     uint64 `cbor:"4,keyasint,omitempty"` // Base of the head known to the writer
}

// segment is the value of a segment's key; it never changes.
type segment struct {
	Format   int    `cbor:"1,keyasint"`
	Rows     []row  `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint,omitempty"`
}

func rowOf(c jaywind.Claim) row {
	return row{
		Organisation: string(c.Organisation),
		Service:      string(c.Service),
		Key:          string(c.Key),
		Body:         uint64(c.Body),
		Nonce:        uint64(c.Nonce),
		State:        int(c.State),
		Status:       c.Reply.Status,
		Header:       c.Reply.Header,
		Reply:        c.Reply.Body,
	}
}

func (r row) claim() jaywind.Claim {
	return jaywind.Claim{
		Organisation: jaywind.Organisation(r.Organisation),
		Service:      jaywind.ServiceName(r.Service),
		Key:          jaywind.IdempotencyKey(r.Key),
		Body:         jaywind.Digest(r.Body),
		Nonce:        jaywind.Nonce(r.Nonce),
		State:        jaywind.ClaimState(r.State),
		Reply:        jaywind.Reply{Status: r.Status, Header: r.Header, Body: r.Reply},
	}
}

// checkStates rejects states unknown to this format, which must not be taken for an absent claim.
func checkStates(rows []row) error {
	for _, r := range rows {
		if r.State <= int(jaywind.ClaimNone) || r.State > int(jaywind.ClaimUnknown) {
			return fmt.Errorf("%w: state %d", ErrFormat, r.State)
		}
	}
	return nil
}

func encode(v any) ([]byte, error) {
	return encoding.Marshal(v)
}

func decodeHead(value []byte) (head, error) {
	var h head
	if err := cbor.Unmarshal(value, &h); err != nil {
		return head{}, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	if err := checkFormat(h.Format); err != nil {
		return head{}, err
	}
	return h, checkStates(h.Rows)
}

func decodeEntry(value []byte) (logEntry, error) {
	var g logEntry
	if err := cbor.Unmarshal(value, &g); err != nil {
		return logEntry{}, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	if err := checkFormat(g.Format); err != nil {
		return logEntry{}, err
	}
	return g, checkStates(g.Rows)
}

func decodeSegment(value []byte) (segment, error) {
	var g segment
	if err := cbor.Unmarshal(value, &g); err != nil {
		return segment{}, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	if err := checkFormat(g.Format); err != nil {
		return segment{}, err
	}
	return g, checkStates(g.Rows)
}

func checkFormat(n int) error {
	if n < oldestFormat || n > currentFormat {
		return fmt.Errorf("%w: format %d, want %d to %d", ErrFormat, n, oldestFormat, currentFormat)
	}
	return nil
}

func (n segmentRef) expired(now time.Time) bool {
	return now.Unix() >= n.ExpiresAt
}
