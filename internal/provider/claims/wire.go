package claims

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"jaywind"
)

// ErrForm wraps a failure to decode a value of the store.
var ErrForm = errors.New("not a segment of claims")

const (
	oldestForm = 1 // of the encodings that are read; its segments are named by their hashes
	form       = 2 // of the encoding that is written
)

// encoding writes equal values in equal bytes, so that two routers seal the same rows alike.
var encoding = newEncoding()

func newEncoding() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are fixed
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

// name is a sealed segment's place in the head.
type name struct {
	segmentID
	Size  int   `cbor:"2,keyasint,omitempty"` // bytes
	Until int64 `cbor:"3,keyasint,omitempty"` // seconds of Unix time when it may be dropped
}

// segmentID tells a segment from all others that its shard ever had.
type segmentID struct {
	Hash     uint64 `cbor:"1,keyasint,omitempty"` // of a segment of the oldest form
	Sequence uint64 `cbor:"4,keyasint,omitempty"` // from 1
}

// head is the value of a shard's key.
type head struct {
	Form    int         `cbor:"1,keyasint"`
	Rows    []row       `cbor:"2,keyasint"`
	Sealed  []name      `cbor:"3,keyasint,omitempty"` // oldest first
	Last    uint64      `cbor:"4,keyasint,omitempty"` // sequence number that was used last
	Dropped []segmentID `cbor:"5,keyasint,omitempty"` // not named any more, to be deleted
	Base    uint64      `cbor:"6,keyasint,omitempty"` // position of the first entry of the log that no segment holds
	Indexes []name      `cbor:"7,keyasint,omitempty"` // of segments older than those sealed, oldest first
}

// entry is the value of a key of the log.
type entry struct {
	Form     int    `cbor:"1,keyasint"`
	Rows     []row  `cbor:"2,keyasint"`
	Position uint64 `cbor:"3,keyasint,omitempty"` // in the log, from 0
	Base     uint64 `cbor:"4,keyasint,omitempty"` // of the head that the writer knew
}

// segment is the value of a sealed segment's key.
type segment struct {
	Form     int    `cbor:"1,keyasint"`
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

// check finds states that this form doesn't know, which must not be read as no claim.
func check(rows []row) error {
	for _, r := range rows {
		if r.State <= int(jaywind.ClaimNone) || r.State > int(jaywind.ClaimUnknown) {
			return fmt.Errorf("%w: state %d", ErrForm, r.State)
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
		return head{}, fmt.Errorf("%w: %w", ErrForm, err)
	}
	if err := checkForm(h.Form); err != nil {
		return head{}, err
	}
	return h, check(h.Rows)
}

func decodeEntry(value []byte) (entry, error) {
	var g entry
	if err := cbor.Unmarshal(value, &g); err != nil {
		return entry{}, fmt.Errorf("%w: %w", ErrForm, err)
	}
	if err := checkForm(g.Form); err != nil {
		return entry{}, err
	}
	return g, check(g.Rows)
}

func decodeSegment(value []byte) (segment, error) {
	var g segment
	if err := cbor.Unmarshal(value, &g); err != nil {
		return segment{}, fmt.Errorf("%w: %w", ErrForm, err)
	}
	if err := checkForm(g.Form); err != nil {
		return segment{}, err
	}
	return g, check(g.Rows)
}

func checkForm(n int) error {
	if n < oldestForm || n > form {
		return fmt.Errorf("%w: form %d, want %d to %d", ErrForm, n, oldestForm, form)
	}
	return nil
}

func (n name) expired(now time.Time) bool {
	return now.Unix() >= n.Until
}
