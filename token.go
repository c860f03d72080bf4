package jaywind

import (
	"encoding/binary"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

// Token is one element of a generation.
type Token struct {
	ID   TokenID
	Text string
}

// Same tells whether two tokens are equal as far as a Digest distinguishes them.
func (t Token) Same(o Token) bool {
	return t.ID == o.ID && (t.ID != 0 || t.Text == o.Text)
}

// SplitPartialRune splits text before its last rune if that is incomplete.
func SplitPartialRune(text string) (whole, rest string) {
	for i := len(text) - 1; i >= 0 && i > len(text)-utf8.UTFMax; i-- {
		if !utf8.RuneStart(text[i]) {
			continue
		}
		if utf8.FullRuneInString(text[i:]) {
			return text, ""
		}
		return text[:i], text[i:]
	}
	return text, ""
}

// PartialRune returns the bytes of an incomplete rune at the end of a sequence of tokens.
func PartialRune(tokens []Token) string {
	text := ""
	for i := len(tokens) - 1; i >= 0 && len(text) < utf8.UTFMax; i-- {
		text = tokens[i].Text + text
	}
	_, rest := SplitPartialRune(text)
	return rest
}

// PartialRuneAfter returns the incomplete rune at the end of a sequence after a token is appended to it, given the
// incomplete rune before that.
func PartialRuneAfter(tail string, t Token) string {
	_, rest := SplitPartialRune(tail + t.Text)
	return rest
}

// Digest is a running hash of all tokens before a position; it is 0 at the start of a generation.
type Digest uint64

// Add returns the digest after token t, which hashes its id or, if it has none, its text.
func (d Digest) Add(t Token) Digest {
	var head [17]byte
	binary.LittleEndian.PutUint64(head[:], uint64(d))
	if t.ID != 0 {
		head[8] = 1
		binary.LittleEndian.PutUint64(head[9:], uint64(t.ID))
		return Digest(xxhash.Sum64(head[:]))
	}
	h := xxhash.New()
	_, _ = h.Write(head[:9])
	_, _ = h.WriteString(t.Text)
	return Digest(h.Sum64())
}

// DigestOf returns the digest of a sequence of tokens.
func DigestOf(tokens []Token) Digest {
	var d Digest
	for _, t := range tokens {
		d = d.Add(t)
	}
	return d
}
