package router_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/relay/router"
)

// TestDepartureAnnouncements: a router that an endpoint has told of its departure tells the others, but only if neither the
// registry nor another router does so in the meantime.
func TestDepartureAnnouncements(t *testing.T) {
	e1 := jaywind.EndpointRef{ID: "e1", Address: "e1"}
	tests := map[string]struct {
		meanwhile func(r *router.Router)
		after     time.Duration
		announced int
	}{
		"nobody else says so": {func(*router.Router) {}, 2 * time.Second, 1},
		"too early":           {func(*router.Router) {}, 400 * time.Millisecond, 0},
		"registry says so": {func(r *router.Router) {
			r.UpdateEndpoint(endpoint.Entry{ID: "e1", Service: "pool", Address: "e1", Domain: "a", Slots: 16, Leaving: true})
		}, 2 * time.Second, 0},
		"another router says so": {func(r *router.Router) { r.MarkLeaving(e1) }, 2 * time.Second, 0},
		"removed":                {func(r *router.Router) { r.RemoveEndpoint("e1", false) }, 2 * time.Second, 0},
		"says so again":          {func(r *router.Router) { r.ObserveEndpoint(jaywind.EndpointNotice{Endpoint: e1, Leaving: true}) }, 2 * time.Second, 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRouter(&fakeUpstream{})
			var announced []jaywind.EndpointRef
			r.OnLeaving = func(e jaywind.EndpointRef) { announced = append(announced, e) }
			r.ObserveEndpoint(jaywind.EndpointNotice{Endpoint: e1, Leaving: true})
			c.meanwhile(r)
			for range 3 {
				r.AnnounceDepartures(time.Now().Add(c.after))
			}
			is.Equal(len(announced), c.announced)
		})
	}
}

// noticingUpstream is an Upstream whose endpoints say something of themselves while a stream of five events runs, which
// then breaks.
type noticingUpstream struct {
	fakeUpstream
	notice func(running jaywind.EndpointID)
	sent   []jaywind.UpstreamRequest
}

func (u *noticingUpstream) Open(_ context.Context, s jaywind.UpstreamRequest, _ time.Duration) (jaywind.EventStream, jaywind.Reply, error) {
	u.sent = append(u.sent, s)
	if len(u.sent) == 1 {
		return &breakingStream{fakeStream{1, 5}, func() { u.notice(s.Endpoint.ID) }}, jaywind.Reply{}, nil
	}
	return &fakeStream{s.LastEventID + 1, 10}, jaywind.Reply{}, nil
}

type breakingStream struct {
	fakeStream
	beforeEnd func()
}

func (e *breakingStream) Next(limit time.Duration) (jaywind.Event, error) {
	event, err := e.fakeStream.Next(limit)
	if errors.Is(err, io.EOF) {
		e.beforeEnd()
		return event, io.ErrUnexpectedEOF
	}
	return event, err
}

// TestStandbyThatTakesNoCalls: the standby of a stream leaves, or asks for a pause, before it is needed. The test fails if
// the stream resumes there all the same, or not at all.
func TestStandbyThatTakesNoCalls(t *testing.T) {
	tests := map[string]struct {
		notice jaywind.EndpointNotice
		copied bool // the stream resumes at its standby
	}{
		"says nothing":     {jaywind.EndpointNotice{}, true},
		"leaves":           {jaywind.EndpointNotice{Leaving: true}, false},
		"asks for a pause": {jaywind.EndpointNotice{Pause: time.Minute}, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := &noticingUpstream{}
			r := newRouter(u)
			r.UpdateEndpoint(endpoint.Entry{ID: "e3", Service: "pool", Address: "e3", Domain: "c", Slots: 16})
			var standby jaywind.EndpointID
			u.notice = func(jaywind.EndpointID) {
				standby = jaywind.EndpointID(u.sent[0].Standby)
				n := c.notice
				n.Endpoint = jaywind.EndpointRef{ID: standby, Address: u.sent[0].Standby}
				r.ObserveEndpoint(n)
				is.Equal(r.CheckSend(n.Endpoint) != nil, n.Pause > 0)
			}
			who := &caller{reads: 10}
			r.Serve(context.Background(), &router.Request{ID: "q", Host: "a", Path: "/x", Arrived: time.Now(), Timeout: time.Second}, who)
			is.Equal(who.events, 10)
			is.Equal(len(u.sent), 2)
			is.Equal(u.sent[1].Endpoint.ID == standby, c.copied)
			is.Equal(u.sent[1].Copy.Name != "", c.copied)
		})
	}
}
