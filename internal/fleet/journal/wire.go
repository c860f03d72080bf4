package journal

import (
	"errors"

	"jaywind"
)

// errGap says that the receiver lacks what a record goes on from.
var errGap = errors.New("what comes before is missing")

type record struct {
	Request  string `cbor:"1,keyasint"`
	Attempt  uint64 `cbor:"2,keyasint"`
	Position int    `cbor:"3,keyasint,omitempty"`
	Digest   uint64 `cbor:"4,keyasint,omitempty"`
	From     int    `cbor:"5,keyasint,omitempty"`
	Tokens   []byte `cbor:"6,keyasint,omitempty"` // as pack writes them
	Ended    bool   `cbor:"7,keyasint,omitempty"`
	Head     *head  `cbor:"8,keyasint,omitempty"` // nil where the receiver has it from the same attempt
}

// head is what stays the same during an attempt.
type head struct {
	Organisation string `cbor:"1,keyasint,omitempty"`
	Model        string `cbor:"2,keyasint,omitempty"`
	Run          uint64 `cbor:"3,keyasint,omitempty"`
	Endpoint     string `cbor:"4,keyasint,omitempty"`
	Version      string `cbor:"5,keyasint,omitempty"`
	Seed         uint64 `cbor:"6,keyasint,omitempty"`
}

type keepAsk struct {
	Records []record `cbor:"1,keyasint"`
}

type keepAnswer struct {
	Gaps []string `cbor:"1,keyasint,omitempty"`
}

type recallAsk struct {
	Request string `cbor:"1,keyasint"`
}

type recallAnswer struct {
	Known  bool   `cbor:"1,keyasint"`
	Record record `cbor:"2,keyasint"`
}

func toWire(r jaywind.Record) record {
	w := record{
		Request:  string(r.Request),
		Attempt:  uint64(r.Bookmark.Attempt),
		Position: int(r.Bookmark.Position),
		Digest:   uint64(r.Bookmark.Digest),
		From:     int(r.From),
		Tokens:   pack(r.Before, r.Tokens),
		Ended:    r.Ended,
	}
	if len(r.Before) == 0 && !r.Ended {
		w.Head = headOf(r)
	}
	return w
}

func headOf(r jaywind.Record) *head {
	return &head{
		Organisation: string(r.Organisation),
		Model:        string(r.Model),
		Run:          uint64(r.Bookmark.Run),
		Endpoint:     string(r.Bookmark.Endpoint),
		Version:      string(r.Bookmark.Version),
		Seed:         uint64(r.Bookmark.Seed),
	}
}

// record returns what is said of a request of which the receiver has a record so far, or nil.
func (w record) record(known *jaywind.Record) (jaywind.Record, error) {
	r := jaywind.Record{Request: jaywind.RequestID(w.Request), From: jaywind.Position(w.From), Ended: w.Ended}
	var before []jaywind.Token
	switch {
	case w.Head != nil:
		w.Head.fill(&r)
	case w.Ended:
	case !w.continues(known):
		return jaywind.Record{}, errGap
	default:
		r.Organisation, r.Model, r.Bookmark = known.Organisation, known.Model, known.Bookmark
		before = known.Tokens[:w.From]
	}
	r.Bookmark.Request = r.Request
	r.Bookmark.Attempt = jaywind.Attempt(w.Attempt)
	r.Bookmark.Position = jaywind.Position(w.Position)
	r.Bookmark.Digest = jaywind.Digest(w.Digest)
	tokens, err := unpack(before, w.Tokens)
	r.Tokens = tokens
	return r, err
}

// continues tells whether a record without a head goes on from what is known.
func (w record) continues(known *jaywind.Record) bool {
	return known != nil && uint64(known.Bookmark.Attempt) == w.Attempt && w.From <= len(known.Tokens)
}

func (h *head) fill(r *jaywind.Record) {
	r.Organisation = jaywind.Organisation(h.Organisation)
	r.Model = jaywind.Model(h.Model)
	r.Bookmark.Run = jaywind.Attempt(h.Run)
	r.Bookmark.Endpoint = jaywind.EndpointID(h.Endpoint)
	r.Bookmark.Version = jaywind.Version(h.Version)
	r.Bookmark.Seed = jaywind.Seed(h.Seed)
}
