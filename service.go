package jaywind

import (
	"context"
	"net/http"
	"time"
)

// Exchange is one call to a plain service.
type Exchange struct {
	Method   string
	Path     string // escaped, with the query
	Header   http.Header
	Body     []byte
	NotAfter time.Time // the first byte may not leave later; zero for no limit
	Shared   bool      // whether a connection that is already open may carry it
}

// Reply is what a plain service answered.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Idempotent tells whether the method alone says that the call may be repeated.
func (e Exchange) Idempotent() bool {
	return e.Method == http.MethodGet || e.Method == http.MethodHead
}

// Service speaks to plain services.
type Service interface {
	// Do sends the call once; an error wraps ErrNotSent when no byte of it left.
	Do(ctx context.Context, at Address, e Exchange) (Reply, error)
}
