package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"jaywind"
)

const vocabulary = 50000

var syllables = []string{"ka", "lo", "mi", "ne", "pu", "ra", "si", "to", "va", "we", "xi", "yo"}

// NextToken returns the token of a generation that follows the tokens with digest d.
func NextToken(v jaywind.Version, seed jaywind.Seed, prompt string, salt uint64, d jaywind.Digest) jaywind.Token {
	h := xxhash.New()
	_, _ = h.WriteString(string(v))
	_, _ = h.WriteString(prompt)
	var numbers [24]byte
	binary.LittleEndian.PutUint64(numbers[0:], uint64(seed))
	binary.LittleEndian.PutUint64(numbers[8:], salt)
	binary.LittleEndian.PutUint64(numbers[16:], uint64(d))
	_, _ = h.Write(numbers[:])
	id := h.Sum64()%vocabulary + 1
	return jaywind.Token{ID: jaywind.TokenID(id), Text: tokenText(id)}
}

func tokenText(id uint64) string {
	n := uint64(len(syllables))
	return " " + syllables[id%n] + syllables[id/n%n] + syllables[id/n/n%n]
}

// Tokens returns the first limit tokens of a generation.
func Tokens(v jaywind.Version, seed jaywind.Seed, prompt string, salt uint64, limit int) []jaywind.Token {
	var tokens []jaywind.Token
	var d jaywind.Digest
	for len(tokens) < limit {
		t := NextToken(v, seed, prompt, salt, d)
		tokens = append(tokens, t)
		d = d.Add(t)
	}
	return tokens
}
