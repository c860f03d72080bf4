package engine

import (
	"unicode/utf8"

	"jaywind"
)

// pieceOf keeps a token's bytes exactly: JSON text would replace a cut rune.
func pieceOf(t jaywind.Token) piece {
	if utf8.ValidString(t.Text) {
		return piece{ID: int64(t.ID), Text: t.Text}
	}
	return piece{ID: int64(t.ID), Bytes: []byte(t.Text)}
}

func tokenOf(p piece) jaywind.Token {
	if len(p.Bytes) > 0 {
		return jaywind.Token{ID: jaywind.TokenID(p.ID), Text: string(p.Bytes)}
	}
	return jaywind.Token{ID: jaywind.TokenID(p.ID), Text: p.Text}
}
