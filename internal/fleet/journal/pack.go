package journal

import (
	"encoding/binary"
	"errors"

	"jaywind"
)

// packWindow is the maximum distance, in tokens, of a back-reference.
const packWindow = 1024

var errCorruptTokens = errors.New("packed tokens are damaged")

// pack encodes tokens as varints. A token that occurred within the last packWindow
// tokens, those of before included, is encoded as its distance back. Any other token is
// encoded as 0, its ID, the length of its text and the text.
func pack(before, tokens []jaywind.Token) []byte {
	var out []byte
	for i, t := range tokens {
		back := matchDistance(before, tokens[:i], t)
		out = binary.AppendUvarint(out, uint64(back))
		if back > 0 {
			continue
		}
		out = binary.AppendVarint(out, int64(t.ID))
		out = binary.AppendUvarint(out, uint64(len(t.Text)))
		out = append(out, t.Text...)
	}
	return out
}

// matchDistance returns the distance from the end of before and tokens, taken as one
// sequence, to the last occurrence of t, or 0 if there is none within packWindow.
func matchDistance(before, tokens []jaywind.Token, t jaywind.Token) int {
	for back := 1; back <= min(len(tokens), packWindow); back++ {
		if tokens[len(tokens)-back] == t {
			return back
		}
	}
	for back := len(tokens) + 1; back <= min(len(before)+len(tokens), packWindow); back++ {
		if before[len(before)+len(tokens)-back] == t {
			return back
		}
	}
	return 0
}

// unpack decodes the output of pack, which must have been given the same before.
func unpack(before []jaywind.Token, data []byte) ([]jaywind.Token, error) {
	var tokens []jaywind.Token
	r := reader{data: data}
	for len(r.data) > 0 && len(tokens) < maxTokens {
		back := r.uint()
		switch made := uint64(len(tokens)); {
		case back == 0:
			tokens = append(tokens, jaywind.Token{ID: jaywind.TokenID(r.int()), Text: r.text()})
		case back <= made:
			tokens = append(tokens, tokens[made-back])
		case back <= made+uint64(len(before)):
			tokens = append(tokens, before[made+uint64(len(before))-back])
		default:
			r.failed = true
		}
		if r.failed {
			return nil, errCorruptTokens
		}
	}
	if len(r.data) > 0 {
		return nil, errCorruptTokens
	}
	return tokens, nil
}

// reader decodes values from the front of packed tokens. Once failed is set, the values
// that it returns are not valid.
type reader struct {
	data   []byte
	failed bool
}

func (r *reader) uint() uint64 {
	v, n := binary.Uvarint(r.data)
	r.advance(n)
	return v
}

func (r *reader) int() int64 {
	v, n := binary.Varint(r.data)
	r.advance(n)
	return v
}

func (r *reader) text() string {
	size := r.uint()
	if size > uint64(len(r.data)) {
		r.failed = true
		return ""
	}
	text := string(r.data[:size])
	r.data = r.data[size:]
	return text
}

// advance skips the n bytes of a decoded varint; n <= 0 means that decoding failed.
func (r *reader) advance(n int) {
	if n <= 0 {
		r.failed = true
		return
	}
	r.data = r.data[n:]
}
