package jaywind

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
)

// ErrBookmark is returned by ParseBookmark for text that is not a bookmark.
var ErrBookmark = errors.New("not a bookmark")

// Bookmark is the place that a caller has read up to, with all that a router
// without any memory of the request needs to go on from there.
type Bookmark struct {
	Request  RequestID
	Position Position
	Digest   Digest
	Attempt  Attempt
	Run      Attempt // that began the endpoint's work
	Endpoint EndpointID
	Version  Version
	Seed     Seed
}

const bookmarkFields = 8

// String returns the form of the bookmark that is used as an SSE event id.
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

// ParseBookmark reads what String wrote, or returns an error that wraps ErrBookmark and names the field.
func ParseBookmark(text string) (Bookmark, error) {
	parts := strings.Split(text, "~")
	if len(parts) != bookmarkFields {
		return Bookmark{}, fmt.Errorf("%w: %d fields, want %d", ErrBookmark, len(parts), bookmarkFields)
	}
	r := fieldReader{parts: parts}
	b := Bookmark{
		Request:  RequestID(r.word("request")),
		Position: Position(r.number("position", 10, 31)),
		Digest:   Digest(r.number("digest", 16, 64)),
		Attempt:  Attempt(r.number("attempt", 10, 64)),
		Run:      Attempt(r.number("run", 10, 64)),
		Endpoint: EndpointID(r.word("endpoint")),
		Version:  Version(r.word("version")),
		Seed:     Seed(r.number("seed", 16, 64)),
	}
	if r.err == nil && b.Request == "" {
		r.err = fmt.Errorf("%w: request is empty", ErrBookmark)
	}
	if r.err != nil {
		return Bookmark{}, r.err
	}
	return b, nil
}

// fieldReader takes the fields in order and keeps the first error.
type fieldReader struct {
	parts []string
	err   error
}

func (r *fieldReader) next() string {
	part := r.parts[0]
	r.parts = r.parts[1:]
	return part
}

func (r *fieldReader) word(name string) string {
	word, err := url.QueryUnescape(r.next())
	r.keep(name, err)
	return word
}

func (r *fieldReader) number(name string, base, bits int) uint64 {
	n, err := strconv.ParseUint(r.next(), base, bits)
	r.keep(name, err)
	return n
}

func (r *fieldReader) keep(name string, err error) {
	if err != nil && r.err == nil {
		r.err = fmt.Errorf("%w: %s: %w", ErrBookmark, name, err)
	}
}
