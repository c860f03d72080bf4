package loan

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/fleet/cbor"
)

// Path is where the handler is mounted.
const Path = "/fleet/loan"

const (
	askLimit = 60 * time.Millisecond  // for one lender; a stream that waits for it may pause for some hundred ms
	maxAsked = 3                      // lenders for one repeat
	dryPause = 300 * time.Millisecond // without asking after no lender had anything left
)

// ask is a wish for one repeat.
type ask struct {
	Service string `cbor:"1,keyasint"`
}

// granted is the answer.
type granted struct {
	Lent bool `cbor:"1,keyasint"`
}

// lender is what the handler needs of a router.
type lender interface {
	// Lend counts a repeat of another router as this one's, if that is in its budget.
	Lend(s jaywind.ServiceName) bool
}

// NewHandler returns the handler of the path /fleet/loan.
func NewHandler(l lender) http.Handler {
	lend := func(_ context.Context, q *connect.Request[ask]) (*connect.Response[granted], error) {
		return connect.NewResponse(&granted{Lent: l.Lend(jaywind.ServiceName(q.Msg.Service))}), nil
	}
	return connect.NewUnaryHandler(Path, lend, cbor.HandlerOptions()...)
}

// Borrower asks other routers for repeats; set the exported fields before the first call.
type Borrower struct {
	HTTP  *http.Client
	Peers func(most int) []jaywind.Address // some other routers, in any order
	Log   *zap.Logger

	mu  sync.Mutex
	dry map[jaywind.ServiceName]time.Time // when nobody had a repeat left
}

// Borrow returns whether another router has given up one repeat of a service's.
func (b *Borrower) Borrow(ctx context.Context, s jaywind.ServiceName) bool {
	if b.isDry(s) {
		return false
	}
	for _, at := range b.Peers(maxAsked) {
		lent, err := b.ask(ctx, at, s)
		if err != nil && !errors.Is(err, context.Canceled) {
			b.Log.Info("budget: lender not reached", zap.String("at", string(at)), zap.Error(err))
		}
		if lent {
			return true
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dry == nil {
		b.dry = map[jaywind.ServiceName]time.Time{}
	}
	b.dry[s] = time.Now()
	return false
}

func (b *Borrower) isDry(s jaywind.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.dry[s]) < dryPause
}

func (b *Borrower) ask(ctx context.Context, at jaywind.Address, s jaywind.ServiceName) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	client := connect.NewClient[ask, granted](b.HTTP, "http://"+string(at)+Path, cbor.ClientOptions()...)
	a, err := client.CallUnary(ctx, connect.NewRequest(&ask{Service: string(s)}))
	if err != nil {
		return false, fmt.Errorf("ask %s: %w", at, err)
	}
	return a.Msg.Lent, nil
}
