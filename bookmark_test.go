package jaywind_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"jaywind"
)

func FuzzParseBookmark(f *testing.F) {
	b := jaywind.Bookmark{Request: "r~1 %", Position: 7, Digest: 1 << 63, Attempt: 65537, Run: 65536, Endpoint: "e1", Version: "v/2", Seed: 3}
	f.Add(b.String())
	f.Add("")
	f.Add("r~-1~0~0~0~e~v~0")
	f.Add("r~99999999999~0~0~0~e~v~0")
	f.Add("~1~0~0~0~e~v~0")
	f.Add("r~1~zz~0~0~e~v~0")
	f.Add("%zz~1~0~0~0~e~v~0")
	f.Fuzz(func(t *testing.T, text string) {
		is := is.New(t)
		parsed, err := jaywind.ParseBookmark(text)
		if err != nil {
			is.True(errors.Is(err, jaywind.ErrInvalidBookmark))
			is.Equal(parsed, jaywind.Bookmark{})
			return
		}
		is.True(parsed.Request != "")
		is.True(parsed.Position >= 0)
		again, err := jaywind.ParseBookmark(parsed.String())
		is.NoErr(err)
		is.Equal(again, parsed)
	})
}

func FuzzDigest(f *testing.F) {
	f.Add("ab", "c", int64(1), int64(0), 1)
	f.Add("", "", int64(0), int64(0), 0)
	f.Fuzz(func(t *testing.T, x, y string, i, j int64, cut int) {
		is := is.New(t)
		a := jaywind.Token{ID: jaywind.TokenID(i), Text: x}
		b := jaywind.Token{ID: jaywind.TokenID(j), Text: y}
		is.Equal(jaywind.DigestOf([]jaywind.Token{a, b}), jaywind.DigestOf([]jaywind.Token{a}).Add(b))
		if i != j || i == 0 && x != y {
			is.True(jaywind.DigestOf([]jaywind.Token{a}) != jaywind.DigestOf([]jaywind.Token{b}))
			is.True(jaywind.DigestOf([]jaywind.Token{a, b}) != jaywind.DigestOf([]jaywind.Token{b, a}))
		}
		whole, rest := jaywind.SplitPartialRune(x)
		is.Equal(whole+rest, x)
		is.True(len(rest) < 4)
		if cut = max(0, min(cut, len(x))); len(x) > 0 {
			// The incomplete rune at the end does not depend on how the text is split into tokens.
			is.Equal(jaywind.PartialRune([]jaywind.Token{{Text: x[:cut]}, {Text: x[cut:]}}), rest)
		}
	})
}
