package sighting

import (
	"context"
	"math"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/drain"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/fleet/cbor"
)

const (
	path          = "/fleet/sighting"
	departurePath = path + "/departure"
	pausePath     = path + "/pause"
)

const (
	announceTimeout    = 500 * time.Millisecond // for all routers together; a router that is missed identifies the endpoint by itself
	maxConcurrentCalls = 8
	maxPauseMs         = 24 * 60 * 60 * 1000 // a longer one counts as this
)

// announcement is an identified endpoint on the wire.
type announcement struct {
	ID      string   `cbor:"1,keyasint"`
	Service string   `cbor:"2,keyasint"`
	Address string   `cbor:"3,keyasint"`
	Domain  string   `cbor:"4,keyasint"`
	Version string   `cbor:"5,keyasint"`
	Models  []string `cbor:"6,keyasint"`
	Slots   int      `cbor:"7,keyasint"`
	Born    int64    `cbor:"8,keyasint"` // endpoint.Entry.Incarnation, in Unix milliseconds
}

// reference is a jaywind.EndpointRef on the wire.
type reference struct {
	ID      string `cbor:"1,keyasint"`
	Born    int64  `cbor:"2,keyasint"` // jaywind.EndpointRef.Incarnation, in Unix milliseconds
	Address string `cbor:"3,keyasint"`
}

// pause is a pause that an endpoint has asked for, on the wire.
type pause struct {
	Endpoint reference `cbor:"1,keyasint"`
	Ms       int64     `cbor:"2,keyasint"`
}

type emptyResponse struct{}

func encodeReference(e jaywind.EndpointRef) reference {
	return reference{ID: string(e.ID), Born: e.Incarnation, Address: string(e.Address)}
}

func (r reference) decode() jaywind.EndpointRef {
	return jaywind.EndpointRef{ID: jaywind.EndpointID(r.ID), Incarnation: r.Born, Address: jaywind.Address(r.Address)}
}

// endpointReceiver is the part of a router that the handler uses.
type endpointReceiver interface {
	AddIdentified(e endpoint.Entry)
	MarkLeaving(e jaywind.EndpointRef)
	PauseEndpoint(e jaywind.EndpointRef, d time.Duration)
}

// Handle adds the handlers of announcements to a mux.
func Handle(m *http.ServeMux, r endpointReceiver) {
	m.Handle(path, newIdentifiedHandler(r))
	m.Handle(departurePath, newDepartureHandler(r))
	m.Handle(pausePath, newPauseHandler(r))
}

func newDepartureHandler(r endpointReceiver) http.Handler {
	handle := func(_ context.Context, req *connect.Request[reference]) (*connect.Response[emptyResponse], error) {
		r.MarkLeaving(req.Msg.decode())
		return connect.NewResponse(&emptyResponse{}), nil
	}
	return connect.NewUnaryHandler(departurePath, handle, cbor.HandlerOptions()...)
}

func newPauseHandler(r endpointReceiver) http.Handler {
	handle := func(_ context.Context, req *connect.Request[pause]) (*connect.Response[emptyResponse], error) {
		if ms := req.Msg.Ms; ms > 0 {
			r.PauseEndpoint(req.Msg.Endpoint.decode(), time.Duration(min(ms, maxPauseMs))*time.Millisecond)
		}
		return connect.NewResponse(&emptyResponse{}), nil
	}
	return connect.NewUnaryHandler(pausePath, handle, cbor.HandlerOptions()...)
}

func newIdentifiedHandler(r endpointReceiver) http.Handler {
	handle := func(_ context.Context, req *connect.Request[announcement]) (*connect.Response[emptyResponse], error) {
		msg := req.Msg
		e := endpoint.Entry{
			ID: jaywind.EndpointID(msg.ID), Service: jaywind.ServiceName(msg.Service), Address: jaywind.Address(msg.Address),
			Domain: jaywind.Domain(msg.Domain), Version: jaywind.Version(msg.Version), Slots: msg.Slots, Incarnation: msg.Born,
		}
		for _, m := range msg.Models {
			e.Models = append(e.Models, jaywind.Model(m))
		}
		r.AddIdentified(e)
		return connect.NewResponse(&emptyResponse{}), nil
	}
	return connect.NewUnaryHandler(path, handle, cbor.HandlerOptions()...)
}

// Announcer announces endpoints to other routers. Set the exported fields before the first call.
type Announcer struct {
	HTTP  *http.Client
	Peers func(most int) []jaywind.Address // returns up to most other routers
	Log   *zap.Logger
	Calls *drain.Calls // runs the calls, which may outlast Announce
}

// Announce announces an endpoint to all other routers. It does not wait for the calls to end.
func (a *Announcer) Announce(e endpoint.Entry) {
	msg := announcement{
		ID: string(e.ID), Service: string(e.Service), Address: string(e.Address), Domain: string(e.Domain),
		Version: string(e.Version), Slots: e.Slots, Born: e.Incarnation,
	}
	for _, m := range e.Models {
		msg.Models = append(msg.Models, string(m))
	}
	a.Calls.Go(func(ctx context.Context) { sendAll(ctx, a, path, msg.ID, &msg) })
}

// AnnounceDeparture announces to all other routers that an endpoint is leaving. It does not wait for the calls to end.
func (a *Announcer) AnnounceDeparture(e jaywind.EndpointRef) {
	msg := encodeReference(e)
	a.Calls.Go(func(ctx context.Context) { sendAll(ctx, a, departurePath, msg.ID, &msg) })
}

// TellPause tells one router of a pause that an endpoint has asked it for, in an answer that the router has relayed unread. It does not
// wait for the call to end.
func (a *Announcer) TellPause(to jaywind.Address, e jaywind.EndpointRef, d time.Duration) {
	msg := pause{Endpoint: encodeReference(e), Ms: d.Milliseconds()}
	a.Calls.Go(func(ctx context.Context) { send(ctx, a, []jaywind.Address{to}, pausePath, msg.Endpoint.ID, &msg) })
}

// sendAll sends a message about an endpoint to all other routers.
func sendAll[T any](ctx context.Context, a *Announcer, path, id string, msg *T) {
	send(ctx, a, a.Peers(math.MaxInt), path, id, msg)
}

// send sends a message about an endpoint to some routers.
func send[T any](ctx context.Context, a *Announcer, to []jaywind.Address, path, id string, msg *T) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	p := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	for _, at := range to {
		p.Go(func() {
			client := connect.NewClient[T, emptyResponse](a.HTTP, "http://"+string(at)+path, cbor.ClientOptions()...)
			if _, err := client.CallUnary(ctx, connect.NewRequest(msg)); err != nil {
				a.Log.Debug("endpoint: announcement to a router failed", zap.String("endpoint", id), zap.String("at", string(at)), zap.Error(err))
			}
		})
	}
	p.Wait()
}
