package journal

import (
	"errors"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jaywind"
)

func TestPackedTokensComeBack(t *testing.T) {
	token := rapid.Custom(func(t *rapid.T) jaywind.Token {
		return jaywind.Token{ID: jaywind.TokenID(rapid.Int64Range(-2, 4).Draw(t, "id")), Text: rapid.StringN(0, 2, 4).Draw(t, "text")}
	})
	rapid.Check(t, func(t *rapid.T) {
		before := rapid.SliceOfN(token, 0, 20).Draw(t, "before")
		tokens := rapid.SliceOfN(token, 0, 20).Draw(t, "tokens")
		got, err := unpack(before, pack(before, tokens))
		if err != nil || !slices.Equal(got, tokens) {
			t.Fatalf("got %v, %v, want %v", got, err, tokens)
		}
	})
}

func TestTokensBeyondTheWindowComeBack(t *testing.T) {
	is := is.New(t)
	before := make([]jaywind.Token, 2*packWindow)
	before[0].ID, before[packWindow].ID = 7, 8
	tokens := []jaywind.Token{{ID: 8}, {ID: 7}, {ID: 9, Text: "\xc3"}}
	got, err := unpack(before, pack(before, tokens))
	is.NoErr(err)
	is.Equal(got, tokens)
}

func TestDamagedTokens(t *testing.T) {
	tests := map[string][]byte{
		"from before the first token": {3},
		"id is cut":                   {0, 0x80},
		"no length":                   {0, 2},
		"text is cut":                 {0, 2, 5, 'a'},
		"number too long":             {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1},
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := unpack(make([]jaywind.Token, 2), data)
			is.New(t).True(errors.Is(err, errCorruptTokens))
		})
	}
}

func FuzzUnpack(f *testing.F) {
	f.Add(pack(nil, []jaywind.Token{{ID: 5, Text: "a"}, {ID: 5, Text: "a"}}))
	f.Add([]byte{0, 2, 5, 'a'})
	f.Fuzz(func(t *testing.T, data []byte) {
		tokens, err := unpack(nil, data)
		is := is.New(t)
		if err != nil {
			is.True(errors.Is(err, errCorruptTokens))
			return
		}
		again, err := unpack(nil, pack(nil, tokens))
		is.NoErr(err)
		is.True(slices.Equal(again, tokens))
	})
}
