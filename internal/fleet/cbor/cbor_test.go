package cbor

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"
)

type note struct {
	Text string
	Sum  uint64
}

func TestCall(t *testing.T) {
	tests := map[string]struct {
		secret string
		ok     bool
	}{
		"right secret":  {secret: "0123456789abcdef", ok: true},
		"wrong secret":  {secret: "0123456789abcdeg"},
		"empty secret":  {},
		"longer secret": {secret: "0123456789abcdef0"},
	}
	m := http.NewServeMux()
	m.Handle("/note", connect.NewUnaryHandler("/note", echo, HandlerOptions()...))
	server := httptest.NewUnstartedServer(RequireSecret("0123456789abcdef", m))
	server.Config.Protocols = Protocols()
	server.Start()
	defer server.Close()
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := connect.NewClient[note, note](NewHTTPClient(c.secret), server.URL+"/note", ClientOptions()...)
			got, err := client.CallUnary(context.Background(), connect.NewRequest(&note{Text: "a", Sum: 1 << 63}))
			is.Equal(err == nil, c.ok)
			if c.ok {
				is.Equal(*got.Msg, note{Text: "a", Sum: 1 << 63})
			}
		})
	}
}

func echo(_ context.Context, r *connect.Request[note]) (*connect.Response[note], error) {
	return connect.NewResponse(r.Msg), nil
}
