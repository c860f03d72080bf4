package offer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/fleet/cbor"
)

const (
	prefix      = "/fleet/offer/"
	askPath     = prefix + "ask"
	takePath    = prefix + "take"
	releasePath = prefix + "release"

	asked     = 2                      // routers for one call: two at random are nearly as good as all
	askLimit  = 25 * time.Millisecond  // for their answers; a call waits for them
	tellLimit = 300 * time.Millisecond // for the other calls, for which nobody waits
)

// question asks for the engine of a router's part that suits a call best, and tells that it was taken.
type question struct {
	Service string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint"`
	Tokens  int    `cbor:"3,keyasint"`
	Reading int    `cbor:"4,keyasint"`
	Version string `cbor:"5,keyasint,omitempty"`
	Without string `cbor:"6,keyasint,omitempty"`
	Engine  string `cbor:"7,keyasint,omitempty"` // that was taken
	Request string `cbor:"8,keyasint,omitempty"` // that runs there
}

// answer is the engine, or empty if there is none.
type answer struct {
	Engine string  `cbor:"1,keyasint,omitempty"`
	Load   float64 `cbor:"2,keyasint,omitempty"`
}

// done tells that a request has ended.
type done struct {
	Request string `cbor:"1,keyasint"`
}

type nothing struct{}

// host is what the handler needs of a router.
type host interface {
	// Offer returns the engine of this router's part that suits a call best, and its load; empty if there is none.
	Offer(s jaywind.ServiceName, n endpoint.Need) (jaywind.EndpointID, float64)
	// Admit counts another router's request at an engine.
	Admit(request jaywind.RequestID, e jaywind.EndpointID, n endpoint.Need)
	// Release counts its end.
	Release(request jaywind.RequestID)
}

// Handler returns the handler for other routers, and the path below which it is mounted.
func Handler(r host) (path string, h http.Handler) {
	m := http.NewServeMux()
	m.Handle(askPath, connect.NewUnaryHandler(askPath, func(_ context.Context, q *connect.Request[question]) (*connect.Response[answer], error) {
		e, load := r.Offer(jaywind.ServiceName(q.Msg.Service), q.Msg.need())
		return connect.NewResponse(&answer{Engine: string(e), Load: load}), nil
	}, cbor.HandlerOptions()...))
	m.Handle(takePath, connect.NewUnaryHandler(takePath, func(_ context.Context, q *connect.Request[question]) (*connect.Response[nothing], error) {
		r.Admit(jaywind.RequestID(q.Msg.Request), jaywind.EndpointID(q.Msg.Engine), q.Msg.need())
		return connect.NewResponse(&nothing{}), nil
	}, cbor.HandlerOptions()...))
	m.Handle(releasePath, connect.NewUnaryHandler(releasePath, func(_ context.Context, q *connect.Request[done]) (*connect.Response[nothing], error) {
		r.Release(jaywind.RequestID(q.Msg.Request))
		return connect.NewResponse(&nothing{}), nil
	}, cbor.HandlerOptions()...))
	return prefix, m
}

func (q *question) need() endpoint.Need {
	return endpoint.Need{
		Model: jaywind.Model(q.Model), Tokens: q.Tokens, Reading: q.Reading,
		Version: jaywind.Version(q.Version), Without: jaywind.Version(q.Without),
	}
}

func ask(s jaywind.ServiceName, n endpoint.Need) question {
	return question{
		Service: string(s), Model: string(n.Model), Tokens: n.Tokens, Reading: n.Reading,
		Version: string(n.Version), Without: string(n.Without),
	}
}

// Offer is what another router offers.
type Offer struct {
	From   jaywind.Address // of the router
	Engine jaywind.EndpointID
	Load   float64 // as endpoint.Table weighs it
}

// Asker asks other routers; set the exported fields before the first call.
type Asker struct {
	HTTP  *http.Client
	Peers func(most int) []jaywind.Address // some other routers, in any order
	Log   *zap.Logger
	Group *conc.WaitGroup // of the calls for which nobody waits
}

// Ask returns what a few other routers offer for a call.
func (a *Asker) Ask(ctx context.Context, s jaywind.ServiceName, n endpoint.Need) []Offer {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	q := ask(s, n)
	var mu sync.Mutex
	var offers []Offer
	var group conc.WaitGroup
	for _, at := range a.Peers(asked) {
		group.Go(func() {
			got, err := call[question, answer](ctx, a, at, askPath, &q)
			if err != nil || got.Engine == "" {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			offers = append(offers, Offer{From: at, Engine: jaywind.EndpointID(got.Engine), Load: got.Load})
		})
	}
	group.Wait()
	return offers
}

// Take tells the router that made an offer that it was taken, and does not wait.
func (a *Asker) Take(o Offer, s jaywind.ServiceName, n endpoint.Need, request jaywind.RequestID) {
	q := ask(s, n)
	q.Engine, q.Request = string(o.Engine), string(request)
	a.tell(func(ctx context.Context) error {
		_, err := call[question, nothing](ctx, a, o.From, takePath, &q)
		return err
	})
}

// Release tells it that the request has ended there.
func (a *Asker) Release(o Offer, request jaywind.RequestID) {
	a.tell(func(ctx context.Context) error {
		_, err := call[done, nothing](ctx, a, o.From, releasePath, &done{Request: string(request)})
		return err
	})
}

func (a *Asker) tell(do func(ctx context.Context) error) {
	a.Group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), tellLimit)
		defer cancel()
		if err := do(ctx); err != nil {
			a.Log.Debug("offer: router not told", zap.Error(err))
		}
	})
}

func call[Q, A any](ctx context.Context, a *Asker, at jaywind.Address, path string, q *Q) (*A, error) {
	client := connect.NewClient[Q, A](a.HTTP, "http://"+string(at)+path, cbor.ClientOptions()...)
	got, err := client.CallUnary(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, err
	}
	return got.Msg, nil
}
