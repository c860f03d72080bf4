package operator

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/embed"
	client "jaywind/internal/client/operator"
	"jaywind/internal/core/table"
)

const secret = "secret-of-the-operator-tests"

// fakeRouter is a router whose status and rules are fixed.
type fakeRouter struct {
	version jaywind.RulesVersion
	err     error
}

func (f fakeRouter) RulesText() (jaywind.RulesVersion, string) {
	return f.version, "model heat version=v1 # test\n"
}

func (f fakeRouter) Status(context.Context) (embed.Status, error) {
	return embed.Status{
		Self:             jaywind.Member{VM: "vm1", Rules: f.version},
		Members:          []jaywind.Member{{VM: "vm2", Liveness: jaywind.LivenessDead, Leaving: true}},
		QuorumMembers:    1,
		LiveMembers:      1,
		StoreAge:         -1,
		LeavingEndpoints: []jaywind.EndpointID{"e1"},
		Moves:            []table.Move{{ID: table.MoveID{Model: "heat", From: "v1", To: "v2"}, State: table.MoveRolledBack, Reason: "errors"}},
	}, f.err
}

func TestHandler(t *testing.T) {
	tests := map[string]struct {
		router fakeRouter
		method string
		path   string
		secret string
		body   string
		status int
		want   string
	}{
		"status":             {router: fakeRouter{version: 7}, path: "/v1/status", secret: secret, status: 200, want: `"state":"taken back","reason":"errors"`},
		"status, stopped":    {router: fakeRouter{err: errors.New("stopped")}, path: "/v1/status", secret: secret, status: 503, want: "stopped"},
		"status, no secret":  {path: "/v1/status", status: 401, want: "secret"},
		"rules":              {router: fakeRouter{version: 7}, path: "/v1/rules", secret: secret, status: 200, want: "# rules version 7\nmodel heat"},
		"rules, none yet":    {path: "/v1/rules", secret: secret, status: 404, want: "no rules"},
		"rules, bad secret":  {path: "/v1/rules", secret: secret + "x", status: 401, want: "secret"},
		"metrics, no secret": {path: "/metrics", status: 401, want: "secret"},
		"health, no secret":  {path: "/healthz", status: 204},
		"unknown path":       {path: "/v1/nothing", secret: secret, status: 404},
		"unknown method":     {method: http.MethodPost, path: "/v1/rules", secret: secret, status: 405},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer((&Handler{Router: c.router, Secret: secret}).Mux())
			defer s.Close()
			if c.method == "" {
				c.method = http.MethodGet
			}
			r, err := http.NewRequest(c.method, s.URL+c.path, strings.NewReader(c.body))
			is.NoErr(err)
			if c.secret != "" {
				r.Header.Set("Authorization", "Bearer "+c.secret)
			}
			response, err := http.DefaultClient.Do(r)
			is.NoErr(err)
			defer func() { _ = response.Body.Close() }()
			text, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(response.StatusCode, c.status)
			is.True(strings.Contains(string(text), c.want))
		})
	}
}

func TestClientReadsWhatTheHandlerWrites(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer((&Handler{Router: fakeRouter{version: 7}, Secret: secret}).Mux())
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c := &client.Client{URL: jaywind.Address(s.URL), Secret: secret}
	got, err := c.Status(ctx)
	is.NoErr(err)
	is.Equal(got.Rules, uint64(7))
	is.Equal(got.Routers[1], client.RouterState{VM: "vm2", State: "dead", Leaving: true})
	is.Equal(got.Moves[0].State, "taken back")
	is.Equal(got.Leaving, []string{"e1"})
	c.Secret = "another"
	_, err = c.Rules(ctx)
	is.True(errors.Is(err, client.ErrUnexpectedStatus))
}
