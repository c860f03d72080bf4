package sighting_test

import (
	"net/http"
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

// fakeReceiver records the endpoints that are announced to it.
type fakeReceiver struct {
	received []endpoint.Entry
	departed []jaywind.EndpointRef
}

func (r *fakeReceiver) AddIdentified(e endpoint.Entry)    { r.received = append(r.received, e) }
func (r *fakeReceiver) MarkLeaving(e jaywind.EndpointRef) { r.departed = append(r.departed, e) }

// TestAnnounce checks that all reachable routers receive an endpoint with all its fields, and its departure, also when
// another router can't be reached.
func TestAnnounce(t *testing.T) {
	is := is.New(t)
	receivers := []*fakeReceiver{{}, {}}
	peers := []jaywind.Address{"127.0.0.1:1"}
	for _, r := range receivers {
		s := httptest.NewUnstartedServer(newMux(r))
		s.Config.Protocols = cbor.Protocols()
		s.Start()
		defer s.Close()
		peers = append(peers, jaywind.Address(strings.TrimPrefix(s.URL, "http://")))
	}
	var group conc.WaitGroup
	announcer := sighting.Announcer{HTTP: cbor.NewHTTPClient(""), Log: zaptest.NewLogger(t), Group: &group,
		Peers: func(int) []jaywind.Address { return peers }}
	e := endpoint.Entry{ID: "e1", Service: "pool", Address: "10.0.0.1:1", Domain: "a", Version: "v1", Models: []jaywind.Model{"m"}, Slots: 16, Incarnation: 7}
	announcer.Announce(e)
	group.Wait()
	for _, r := range receivers {
		is.Equal(r.received, []endpoint.Entry{e})
		is.Equal(len(r.departed), 0)
	}
	announcer.AnnounceDeparture(e.Ref())
	group.Wait()
	for _, r := range receivers {
		is.Equal(len(r.received), 1)
		is.Equal(r.departed, []jaywind.EndpointRef{e.Ref()})
	}
}

func newMux(r *fakeReceiver) *http.ServeMux {
	m := http.NewServeMux()
	sighting.Handle(m, r)
	return m
}
