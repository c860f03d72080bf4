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

// Path is the HTTP path of the handler.
const Path = "/fleet/loan"

const (
	lenderTimeout  = 60 * time.Millisecond  // for one lender; a waiting stream may pause for a few hundred milliseconds in all
	maxLenders     = 3                      // asked for one retry
	exhaustedPause = 300 * time.Millisecond // before lenders are asked again after none had a retry left
)

// lendRequest asks for one retry of a service.
type lendRequest struct {
	Service string `cbor:"1,keyasint"`
}

// lendResponse says whether the retry was granted.
type lendResponse struct {
	Lent bool `cbor:"1,keyasint"`
}

// lender is the part of a router that the handler uses.
type lender interface {
	// LendRetry counts a retry of another router against this router's budget and reports whether
	// the budget allowed it.
	LendRetry(s jaywind.ServiceName) bool
}

// NewHandler returns the handler for Path.
func NewHandler(l lender) http.Handler {
	lend := func(_ context.Context, req *connect.Request[lendRequest]) (*connect.Response[lendResponse], error) {
		return connect.NewResponse(&lendResponse{Lent: l.LendRetry(jaywind.ServiceName(req.Msg.Service))}), nil
	}
	return connect.NewUnaryHandler(Path, lend, cbor.HandlerOptions()...)
}

// Borrower borrows retries from other routers. Set the exported fields before the first call.
type Borrower struct {
	HTTP  *http.Client
	Peers func(most int) []jaywind.Address // returns up to most other routers, in any order
	Log   *zap.Logger

	mu          sync.Mutex
	exhaustedAt map[jaywind.ServiceName]time.Time // when no lender had a retry left
}

// Borrow reports whether another router granted one retry of a service. After all routers
// asked had none left, it returns false for exhaustedPause without asking.
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

// exhausted reports whether no lender had a retry of the service left a short time ago.
func (b *Borrower) exhausted(s jaywind.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.exhaustedAt[s]) < exhaustedPause
}

func (b *Borrower) borrowFrom(ctx context.Context, at jaywind.Address, s jaywind.ServiceName) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, lenderTimeout)
	defer cancel()
	client := connect.NewClient[lendRequest, lendResponse](b.HTTP, "http://"+string(at)+Path, cbor.ClientOptions()...)
	response, err := client.CallUnary(ctx, connect.NewRequest(&lendRequest{Service: string(s)}))
	if err != nil {
		return false, fmt.Errorf("borrow from %s: %w", at, err)
	}
	return response.Msg.Lent, nil
}
