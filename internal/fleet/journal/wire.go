package journal

import "jaywind"

// token is sent as a pair; its text is bytes, since a rune may be cut.
type token struct {
	_    struct{} `cbor:",toarray"`
	ID   int64
	Text []byte
}

type record struct {
	Request      string  `cbor:"1,keyasint"`
	Organisation string  `cbor:"2,keyasint,omitempty"`
	Model        string  `cbor:"3,keyasint,omitempty"`
	Mark         string  `cbor:"4,keyasint"`
	From         int     `cbor:"5,keyasint,omitempty"`
	Tokens       []token `cbor:"6,keyasint,omitempty"`
	Ended        bool    `cbor:"7,keyasint,omitempty"`
}

type keepAsk struct {
	Records []record `cbor:"1,keyasint"`
}

type keepAnswer struct {
	Gaps []string `cbor:"1,keyasint,omitempty"`
}

type recallAsk struct {
	Request string `cbor:"1,keyasint"`
}

type recallAnswer struct {
	Known  bool   `cbor:"1,keyasint"`
	Record record `cbor:"2,keyasint"`
}

func toWire(r jaywind.Record) record {
	w := record{
		Request:      string(r.Request),
		Organisation: string(r.Organisation),
		Model:        string(r.Model),
		Mark:         r.Mark.String(),
		From:         int(r.From),
		Ended:        r.Ended,
	}
	for _, t := range r.Tokens {
		w.Tokens = append(w.Tokens, token{ID: int64(t.ID), Text: []byte(t.Text)})
	}
	return w
}

func (w record) record() (jaywind.Record, error) {
	mark, err := jaywind.ParseBookmark(w.Mark)
	if err != nil {
		return jaywind.Record{}, err
	}
	r := jaywind.Record{
		Request:      jaywind.RequestID(w.Request),
		Organisation: jaywind.Organisation(w.Organisation),
		Model:        jaywind.Model(w.Model),
		Mark:         mark,
		From:         jaywind.Position(max(0, w.From)),
		Ended:        w.Ended,
	}
	for _, t := range w.Tokens {
		r.Tokens = append(r.Tokens, jaywind.Token{ID: jaywind.TokenID(t.ID), Text: string(t.Text)})
	}
	return r, nil
}
