package engine

import (
	"unicode/utf8"

	"jaywind"
)

// wireTokenOf encodes a token that is not valid UTF-8 as bytes, since JSON text would replace an incomplete rune.
func wireTokenOf(t jaywind.Token) wireToken {
	if utf8.ValidString(t.Text) {
		return wireToken{ID: int64(t.ID), Text: t.Text}
	}
	return wireToken{ID: int64(t.ID), Bytes: []byte(t.Text)}
}

func tokenOf(p wireToken) jaywind.Token {
	if len(p.Bytes) > 0 {
		return jaywind.Token{ID: jaywind.TokenID(p.ID), Text: string(p.Bytes)}
	}
	return jaywind.Token{ID: jaywind.TokenID(p.ID), Text: p.Text}
}
