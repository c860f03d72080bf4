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

// Path is where the handler is mounted.
const Path = "/fleet/sighting"

const (
	tellLimit = 500 * time.Millisecond // for all routers together; what they miss they find out for themselves
	tellCalls = 8                      // at a time
)

// seen is the engine on the wire.
type seen struct {
	ID      string   `cbor:"1,keyasint"`
	Service string   `cbor:"2,keyasint"`
	Address string   `cbor:"3,keyasint"`
	Domain  string   `cbor:"4,keyasint"`
	Version string   `cbor:"5,keyasint"`
	Models  []string `cbor:"6,keyasint"`
	Slots   int      `cbor:"7,keyasint"`
	Born    int64    `cbor:"8,keyasint"` // Unix milliseconds
}

// taken is the empty answer.
type taken struct{}

// hearer is what the handler needs of a router.
type hearer interface {
	HearOf(e endpoint.Entry)
}

// NewHandler returns the handler of the path /fleet/sighting.
func NewHandler(r hearer) http.Handler {
	hear := func(_ context.Context, q *connect.Request[seen]) (*connect.Response[taken], error) {
		s := q.Msg
		e := endpoint.Entry{
			ID: jaywind.EndpointID(s.ID), Service: jaywind.ServiceName(s.Service), Address: jaywind.Address(s.Address),
			Domain: jaywind.Domain(s.Domain), Version: jaywind.Version(s.Version), Slots: s.Slots, Incarnation: s.Born,
		}
		for _, m := range s.Models {
			e.Models = append(e.Models, jaywind.Model(m))
		}
		r.HearOf(e)
		return connect.NewResponse(&taken{}), nil
	}
	return connect.NewUnaryHandler(Path, hear, cbor.HandlerOptions()...)
}

// Teller tells other routers; set the exported fields before the first call.
type Teller struct {
	HTTP  *http.Client
	Peers func(most int) []jaywind.Address // the other routers
	Log   *zap.Logger
	Group *conc.WaitGroup // of the calls, which go on behind the caller's back
}

// Tell tells all other routers of an engine and does not wait for them.
func (t *Teller) Tell(e endpoint.Entry) {
	s := seen{
		ID: string(e.ID), Service: string(e.Service), Address: string(e.Address), Domain: string(e.Domain),
		Version: string(e.Version), Slots: e.Slots, Born: e.Incarnation,
	}
	for _, m := range e.Models {
		s.Models = append(s.Models, string(m))
	}
	peers := t.Peers(math.MaxInt)
	t.Group.Go(func() { t.tell(&s, peers) })
}

func (t *Teller) tell(s *seen, peers []jaywind.Address) {
	ctx, cancel := context.WithTimeout(context.Background(), tellLimit)
	defer cancel()
	p := pool.New().WithMaxGoroutines(tellCalls)
	for _, at := range peers {
		p.Go(func() {
			client := connect.NewClient[seen, taken](t.HTTP, "http://"+string(at)+Path, cbor.ClientOptions()...)
			if _, err := client.CallUnary(ctx, connect.NewRequest(s)); err != nil {
				t.Log.Debug("endpoint: router not told", zap.String("endpoint", s.ID), zap.String("at", string(at)), zap.Error(err))
			}
		})
	}
	p.Wait()
}
