package sighting_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap/zaptest"

	"jaywind"
	"jaywind/internal/core/drain"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/fleet/cbor"
	"jaywind/internal/fleet/sighting"
)

// fakeReceiver records the endpoints that are announced to it.
type fakeReceiver struct {
	received []endpoint.Entry
	departed []jaywind.EndpointRef
	paused   []jaywind.EndpointRef
	pause    time.Duration // the last one
}

func (r *fakeReceiver) AddIdentified(e endpoint.Entry)    { r.received = append(r.received, e) }
func (r *fakeReceiver) MarkLeaving(e jaywind.EndpointRef) { r.departed = append(r.departed, e) }
func (r *fakeReceiver) PauseEndpoint(e jaywind.EndpointRef, d time.Duration) {
	r.paused = append(r.paused, e)
	r.pause = d
}

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
	var calls, others drain.Calls
	announcer := sighting.Announcer{HTTP: cbor.NewHTTPClient(""), Log: zaptest.NewLogger(t), Calls: &calls,
		Peers: func(int) []jaywind.Address { return peers }}
	e := endpoint.Entry{ID: "e1", Service: "pool", Address: "10.0.0.1:1", Domain: "a", Version: "v1", Models: []jaywind.Model{"m"}, Slots: 16, Incarnation: 7}
	announcer.Announce(e)
	calls.Wait(time.Minute)
	for _, r := range receivers {
		is.Equal(r.received, []endpoint.Entry{e})
		is.Equal(len(r.departed), 0)
	}
	announcer.Calls = &others
	announcer.AnnounceDeparture(e.Ref())
	others.Wait(time.Minute)
	for _, r := range receivers {
		is.Equal(len(r.received), 1)
		is.Equal(r.departed, []jaywind.EndpointRef{e.Ref()})
	}
}

// A router that stops doesn't wait for one that is silent.
func TestAnnouncementIsCancelled(t *testing.T) {
	is := is.New(t)
	asked, answer := make(chan struct{}), make(chan struct{})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { close(asked); <-answer }))
	s.Config.Protocols = cbor.Protocols()
	s.Start()
	defer s.Close()
	defer close(answer)
	var calls drain.Calls
	announcer := sighting.Announcer{HTTP: cbor.NewHTTPClient(""), Log: zaptest.NewLogger(t), Calls: &calls,
		Peers: func(int) []jaywind.Address {
			return []jaywind.Address{jaywind.Address(strings.TrimPrefix(s.URL, "http://"))}
		}}
	announcer.AnnounceDeparture(jaywind.EndpointRef{ID: "e1"})
	<-asked
	start := time.Now()
	calls.Wait(0)
	is.True(time.Since(start) < 250*time.Millisecond) // half of the time that an announcement may take
}

func newMux(r *fakeReceiver) *http.ServeMux {
	m := http.NewServeMux()
	sighting.Handle(m, r)
	return m
}

// TestTellPause checks that one router, and no other, receives a pause that an endpoint has asked it for.
func TestTellPause(t *testing.T) {
	is := is.New(t)
	r := &fakeReceiver{}
	s := httptest.NewUnstartedServer(newMux(r))
	s.Config.Protocols = cbor.Protocols()
	s.Start()
	defer s.Close()
	var calls drain.Calls
	announcer := sighting.Announcer{HTTP: cbor.NewHTTPClient(""), Log: zaptest.NewLogger(t), Calls: &calls}
	e := jaywind.EndpointRef{ID: "e1", Incarnation: 7, Address: "10.0.0.1:1"}
	announcer.TellPause(jaywind.Address(strings.TrimPrefix(s.URL, "http://")), e, 1500*time.Millisecond)
	calls.Wait(time.Minute)
	is.Equal(r.paused, []jaywind.EndpointRef{e})
	is.Equal(r.pause, 1500*time.Millisecond)
}
