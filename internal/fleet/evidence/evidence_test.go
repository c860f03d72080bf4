package evidence

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/fleet/cbor"
)

const secret = "0123456789abcdef"

// fakeRouter records the report it receives and returns a fixed reply.
type fakeRouter struct {
	got   jaywind.Note
	reply jaywind.Note
	err   error
}

func (s *fakeRouter) HandleReport(n jaywind.Note) (jaywind.Note, error) {
	s.got = n
	return s.reply, s.err
}

func TestReport(t *testing.T) {
	tests := map[string]struct {
		secret string
		err    error // returned by the router
		reply  jaywind.Note
		ok     bool
	}{
		"taken":        {secret: secret, ok: true},
		"answered":     {secret: secret, reply: jaywind.Note{Kind: "move", Key: "lead", Value: []byte{3}}, ok: true},
		"bad report":   {secret: secret, err: errors.New("not a report")},
		"wrong secret": {secret: "0123456789abcdeg"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &fakeRouter{err: c.err, reply: c.reply}
			server := httptest.NewUnstartedServer(cbor.RequireSecret(secret, NewHandler(s)))
			server.Config.Protocols = cbor.Protocols()
			server.Start()
			defer server.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			n := jaywind.Note{Kind: "move", Key: "k", Value: []byte{1, 2}}
			reply, err := (&Client{HTTP: cbor.NewHTTPClient(c.secret)}).Report(ctx, jaywind.Address(server.URL), n)
			is.Equal(err == nil, c.ok)
			if c.ok {
				is.Equal(s.got, n)
				is.Equal(reply, c.reply)
			}
		})
	}
}
