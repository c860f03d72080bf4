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
	lenderTimeout  = 60 * time.Millisecond  // for one lender; a stream that waits for it may pause for some hundred ms
	maxLenders     = 3                      // lenders for one repeat
	exhaustedPause = 300 * time.Millisecond // without asking after no lender had anything left
)

// lendRequest is a wish for one repeat.
type lendRequest struct {
	Service string `cbor:"1,keyasint"`
}

// lendResponse is the answer.
type lendResponse struct {
	Lent bool `cbor:"1,keyasint"`
}

// lender is what the handler needs of a router.
type lender interface {
	// Lend counts a repeat of another router as this one's, if that is in its budget.
	Lend(s jaywind.ServiceName) bool
}

// NewHandler returns the handler of the path /fleet/loan.
func NewHandler(l lender) http.Handler {
	lend := func(_ context.Context, q *connect.Request[lendRequest]) (*connect.Response[lendResponse], error) {
		return connect.NewResponse(&lendResponse{Lent: l.Lend(jaywind.ServiceName(q.Msg.Service))}), nil
	}
	return connect.NewUnaryHandler(Path, lend, cbor.HandlerOptions()...)
}

// Borrower asks other routers for repeats; set the exported fields before the first call.
type Borrower struct {
	HTTP  *http.Client
	Peers func(most int) []jaywind.Address // some other routers, in any order
	Log   *zap.Logger

	mu          sync.Mutex
	exhaustedAt map[jaywind.ServiceName]time.Time // when nobody had a repeat left
}

// Borrow returns whether another router has given up one repeat of a service's.
func (b *Borrower) Borrow(ctx context.Context, s jaywind.ServiceName) bool {
	if b.exhausted(s) {
		return false
	}
	for _, at := range b.Peers(maxLenders) {
		lent, err := b.borrowFrom(ctx, at, s)
		if err != nil && !errors.Is(err, context.Canceled) {
			b.Log.Info("budget: lender not reached", zap.String("at", string(at)), zap.Error(err))
		}
		if lent {
			return true
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.exhaustedAt == nil {
		b.exhaustedAt = map[jaywind.ServiceName]time.Time{}
	}
	b.exhaustedAt[s] = time.Now()
	return false
}

func (b *Borrower) exhausted(s jaywind.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.exhaustedAt[s]) < exhaustedPause
}

func (b *Borrower) borrowFrom(ctx context.Context, at jaywind.Address, s jaywind.ServiceName) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, lenderTimeout)
	defer cancel()
	client := connect.NewClient[lendRequest, lendResponse](b.HTTP, "http://"+string(at)+Path, cbor.ClientOptions()...)
	a, err := client.CallUnary(ctx, connect.NewRequest(&lendRequest{Service: string(s)}))
	if err != nil {
		return false, fmt.Errorf("ask %s: %w", at, err)
	}
	return a.Msg.Lent, nil
}
