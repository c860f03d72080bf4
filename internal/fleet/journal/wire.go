package journal

import (
	"errors"

	"jaywind"
)

// errMissingTokens reports that the receiver does not have the record or the tokens that a
// record continues from.
var errMissingTokens = errors.New("preceding tokens are missing")

// wireRecord is a jaywind.Record on the wire.
type wireRecord struct {
	Request  string         `cbor:"1,keyasint"`
	Attempt  uint64         `cbor:"2,keyasint"`
	Position int            `cbor:"3,keyasint,omitempty"`
	Digest   uint64         `cbor:"4,keyasint,omitempty"`
	From     int            `cbor:"5,keyasint,omitempty"`
	Tokens   []byte         `cbor:"6,keyasint,omitempty"` // encoded by pack
	Ended    bool           `cbor:"7,keyasint,omitempty"`
	Header   *attemptHeader `cbor:"8,keyasint,omitempty"` // nil if the receiver has it from an earlier record of the same attempt
}

// attemptHeader holds the fields that do not change during an attempt.
type attemptHeader struct {
	Organisation string `cbor:"1,keyasint,omitempty"`
	Model        string `cbor:"2,keyasint,omitempty"`
	Run          uint64 `cbor:"3,keyasint,omitempty"`
	Endpoint     string `cbor:"4,keyasint,omitempty"`
	Version      string `cbor:"5,keyasint,omitempty"`
	Seed         uint64 `cbor:"6,keyasint,omitempty"`
}

type keepRequest struct {
	Records []wireRecord `cbor:"1,keyasint"`
}

type keepResponse struct {
	Missing []string `cbor:"1,keyasint,omitempty"`
}

type recallRequest struct {
	Request string `cbor:"1,keyasint"`
}

type recallResponse struct {
	Found  bool       `cbor:"1,keyasint"`
	Record wireRecord `cbor:"2,keyasint"`
}

func toWire(r jaywind.Record) wireRecord {
	w := wireRecord{
		Request:  string(r.Request),
		Attempt:  uint64(r.Bookmark.Attempt),
		Position: int(r.Bookmark.Position),
		Digest:   uint64(r.Bookmark.Digest),
		From:     int(r.From),
		Tokens:   pack(r.Before, r.Tokens),
		Ended:    r.Ended,
	}
	if len(r.Before) == 0 && !r.Ended {
		w.Header = headerOf(r)
	}
	return w
}

func headerOf(r jaywind.Record) *attemptHeader {
	return &attemptHeader{
		Organisation: string(r.Organisation),
		Model:        string(r.Model),
		Run:          uint64(r.Bookmark.Run),
		Endpoint:     string(r.Bookmark.Endpoint),
		Version:      string(r.Bookmark.Version),
		Seed:         uint64(r.Bookmark.Seed),
	}
}

// decode returns the record. Without a header the fields of the attempt are taken from known,
// the record that the receiver has of the request, which may be nil.
func (w wireRecord) decode(known *jaywind.Record) (jaywind.Record, error) {
	r := jaywind.Record{Request: jaywind.RequestID(w.Request), From: jaywind.Position(w.From), Ended: w.Ended}
	var before []jaywind.Token
	switch {
	case w.Header != nil:
		w.Header.copyTo(&r)
	case w.Ended:
	case !w.continues(known):
		return jaywind.Record{}, errMissingTokens
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

// continues reports whether a record without a header continues known.
func (w wireRecord) continues(known *jaywind.Record) bool {
	return known != nil && uint64(known.Bookmark.Attempt) == w.Attempt && w.From <= len(known.Tokens)
}

func (h *attemptHeader) copyTo(r *jaywind.Record) {
	r.Organisation = jaywind.Organisation(h.Organisation)
	r.Model = jaywind.Model(h.Model)
	r.Bookmark.Run = jaywind.Attempt(h.Run)
	r.Bookmark.Endpoint = jaywind.EndpointID(h.Endpoint)
	r.Bookmark.Version = jaywind.Version(h.Version)
	r.Bookmark.Seed = jaywind.Seed(h.Seed)
}
