package sighting

import (
	"context"
	"math"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/fleet/cbor"
)

// Path is the HTTP path of the handler.
const Path = "/fleet/sighting"

const (
	announceTimeout    = 500 * time.Millisecond // for all routers together; a router that is missed identifies the endpoint by itself
	maxConcurrentCalls = 8
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

type emptyResponse struct{}

// endpointReceiver is the part of a router that the handler uses.
type endpointReceiver interface {
	AddIdentified(e endpoint.Entry)
}

// NewHandler returns the handler for Path.
func NewHandler(r endpointReceiver) http.Handler {
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
	return connect.NewUnaryHandler(Path, handle, cbor.HandlerOptions()...)
}

// Announcer announces endpoints to other routers. Set the exported fields before the first call.
type Announcer struct {
	HTTP  *http.Client
	Peers func(most int) []jaywind.Address // returns up to most other routers
	Log   *zap.Logger
	Group *conc.WaitGroup // runs the calls, which may outlast Announce
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
	peers := a.Peers(math.MaxInt)
	a.Group.Go(func() { a.send(&msg, peers) })
}

func (a *Announcer) send(msg *announcement, peers []jaywind.Address) {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	p := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	for _, at := range peers {
		p.Go(func() {
			client := connect.NewClient[announcement, emptyResponse](a.HTTP, "http://"+string(at)+Path, cbor.ClientOptions()...)
			if _, err := client.CallUnary(ctx, connect.NewRequest(msg)); err != nil {
				a.Log.Debug("endpoint: announcement to a router failed", zap.String("endpoint", msg.ID), zap.String("at", string(at)), zap.Error(err))
			}
		})
	}
	p.Wait()
}
