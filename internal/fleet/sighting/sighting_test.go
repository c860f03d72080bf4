package sighting_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap/zaptest"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/fleet/cbor"
	"jaywind/internal/fleet/sighting"
)

// ear keeps what it hears.
type ear struct{ heard []endpoint.Entry }

func (r *ear) HearOf(e endpoint.Entry) { r.heard = append(r.heard, e) }

// TestTell: all routers that live hear of an engine, whole, also when one of them is gone.
func TestTell(t *testing.T) {
	is := is.New(t)
	ears := []*ear{{}, {}}
	peers := []jaywind.Address{"127.0.0.1:1"}
	for _, r := range ears {
		s := httptest.NewUnstartedServer(sighting.NewHandler(r))
		s.Config.Protocols = cbor.Protocols()
		s.Start()
		defer s.Close()
		peers = append(peers, jaywind.Address(strings.TrimPrefix(s.URL, "http://")))
	}
	var group conc.WaitGroup
	teller := sighting.Teller{HTTP: cbor.NewHTTPClient(""), Log: zaptest.NewLogger(t), Group: &group,
		Peers: func(int) []jaywind.Address { return peers }}
	e := endpoint.Entry{ID: "e1", Service: "pool", Address: "10.0.0.1:1", Domain: "a", Version: "v1", Models: []jaywind.Model{"m"}, Slots: 16, Incarnation: 7}
	teller.Tell(e)
	group.Wait()
	for _, r := range ears {
		is.Equal(r.heard, []endpoint.Entry{e})
	}
}
