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

// Same tells whether two tokens are the same to a Digest.
func (t Token) Same(o Token) bool {
	return t.ID == o.ID && (t.ID != 0 || t.Text == o.Text)
}

// SplitRunes cuts text before a last rune whose bytes are not all there.
func SplitRunes(text string) (whole, rest string) {
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

// Tail returns the bytes at the end of a sequence of tokens that begin a rune without ending it.
func Tail(tokens []Token) string {
	text := ""
	for i := len(tokens) - 1; i >= 0 && len(text) < utf8.UTFMax; i-- {
		text = tokens[i].Text + text
	}
	_, rest := SplitRunes(text)
	return rest
}

// TailAfter returns the tail of a sequence that had one before it was extended by a token.
func TailAfter(tail string, t Token) string {
	_, rest := SplitRunes(tail + t.Text)
	return rest
}

// Digest is a running hash over all tokens before a position; a new generation starts at 0.
type Digest uint64

// Add returns the digest after token t, over its id or, without one, over its text's bytes.
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

// DigestOf returns the digest over a whole sequence of tokens.
func DigestOf(tokens []Token) Digest {
	var d Digest
	for _, t := range tokens {
		d = d.Add(t)
	}
	return d
}
