package journal

import (
	"encoding/binary"
	"errors"

	"jaywind"
)

// packWindow is how many tokens back a token may be found again.
const packWindow = 1024

var errCorruptTokens = errors.New("packed tokens are damaged")

// pack writes tokens as varints: how far back in the answer the same token last
// stood, or else 0, its id, the length of its text and the text.
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

// matchDistance returns how far before the end of two slices a token last stands, or 0.
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

// unpack reads what pack wrote after the same tokens.
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

// reader takes values from the front of packed tokens.
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

// advance leaves out the n bytes of a value; none or fewer mean that it is damaged.
func (r *reader) advance(n int) {
	if n <= 0 {
		r.failed = true
		return
	}
	r.data = r.data[n:]
}
