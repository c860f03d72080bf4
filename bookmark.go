package jaywind

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
)

// ErrInvalidBookmark is wrapped by the errors of ParseBookmark.
var ErrInvalidBookmark = errors.New("not a bookmark")

// Bookmark is the position up to which a caller has read an answer, with all
// that a router without any state of the request needs to continue from there.
type Bookmark struct {
	Request  RequestID
	Position Position
	Digest   Digest
	Attempt  Attempt
	Run      Attempt // the attempt that began the endpoint's work
	Endpoint EndpointID
	Version  Version
	Seed     Seed
}

const bookmarkFields = 8

// String encodes the bookmark as an SSE event id.
func (b Bookmark) String() string {
	return strings.Join([]string{
		url.QueryEscape(string(b.Request)),
		strconv.Itoa(int(b.Position)),
		strconv.FormatUint(uint64(b.Digest), 16),
		strconv.FormatUint(uint64(b.Attempt), 10),
		strconv.FormatUint(uint64(b.Run), 10),
		url.QueryEscape(string(b.Endpoint)),
		url.QueryEscape(string(b.Version)),
		strconv.FormatUint(uint64(b.Seed), 16),
	}, "~")
}

// ParseBookmark decodes the form that String returns. Its error wraps ErrInvalidBookmark and names the invalid field.
func ParseBookmark(text string) (Bookmark, error) {
	parts := strings.Split(text, "~")
	if len(parts) != bookmarkFields {
		return Bookmark{}, fmt.Errorf("%w: %d fields, want %d", ErrInvalidBookmark, len(parts), bookmarkFields)
	}
	r := fieldReader{parts: parts}
	b := Bookmark{
		Request:  RequestID(r.text("request")),
		Position: Position(r.number("position", 10, 31)),
		Digest:   Digest(r.number("digest", 16, 64)),
		Attempt:  Attempt(r.number("attempt", 10, 64)),
		Run:      Attempt(r.number("run", 10, 64)),
		Endpoint: EndpointID(r.text("endpoint")),
		Version:  Version(r.text("version")),
		Seed:     Seed(r.number("seed", 16, 64)),
	}
	if r.err == nil && b.Request == "" {
		r.err = fmt.Errorf("%w: request is empty", ErrInvalidBookmark)
	}
	if r.err != nil {
		return Bookmark{}, r.err
	}
	return b, nil
}

// fieldReader decodes fields in order and keeps the first error.
type fieldReader struct {
	parts []string
	err   error
}

func (r *fieldReader) next() string {
	part := r.parts[0]
	r.parts = r.parts[1:]
	return part
}

func (r *fieldReader) text(name string) string {
	text, err := url.QueryUnescape(r.next())
	r.setErr(name, err)
	return text
}

func (r *fieldReader) number(name string, base, bits int) uint64 {
	n, err := strconv.ParseUint(r.next(), base, bits)
	r.setErr(name, err)
	return n
}

func (r *fieldReader) setErr(name string, err error) {
	if err != nil && r.err == nil {
		r.err = fmt.Errorf("%w: %s: %w", ErrInvalidBookmark, name, err)
	}
}
