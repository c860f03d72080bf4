package jaywind_test

import (
	"testing"

	"pgregory.net/rapid"

	"jaywind"
)

// TestPartialRuneAfter compares the incremental and the direct computation on sequences with runes split across tokens, invalid
// bytes and tokens without text.
func TestPartialRuneAfter(t *testing.T) {
	piece := rapid.SampledFrom([]string{"", "a", "\xc3", "\xa9", "\xe2", "\x82", "\xe2\x82", "\xac", "\xf0\x9f", "\xff", "é", "a\xf0\x9f\x98"})
	rapid.Check(t, func(t *rapid.T) {
		var tokens []jaywind.Token
		tail := ""
		for _, text := range rapid.SliceOfN(piece, 0, 12).Draw(t, "texts") {
			token := jaywind.Token{Text: text}
			tokens = append(tokens, token)
			tail = jaywind.PartialRuneAfter(tail, token)
			if tail != jaywind.PartialRune(tokens) {
				t.Fatalf("tail %q, want %q after %v", tail, jaywind.PartialRune(tokens), tokens)
			}
		}
	})
}
