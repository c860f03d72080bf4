package jaywind

import (
	"context"
	"net/http"
)

// Exchange is one call to a plain service.
type Exchange struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Reply is what a plain service answered.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service speaks to plain services.
type Service interface {
	// Do sends the call once; an error wraps ErrNotSent when no byte of it left.
	Do(ctx context.Context, at Address, e Exchange) (Reply, error)
}
