package jaywind

import (
	"context"
	"net/http"
	"time"
)

// ServiceRequest is an HTTP request to a plain service.
type ServiceRequest struct {
	Method          string
	Path            string // escaped, including the query
	Header          http.Header
	Body            []byte
	SendBefore      time.Time // latest time at which the first byte may be sent; zero for no limit
	ReuseConnection bool      // whether a connection that is already open may be used
}

// Reply is the HTTP response of a plain service.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	Via    Address // the router through which it came; empty for none
}

// Idempotent tells whether the request may be repeated judging by its method alone.
func (e ServiceRequest) Idempotent() bool {
	return e.Method == http.MethodGet || e.Method == http.MethodHead
}

// Service is a client of plain services.
type Service interface {
	// Do sends the request once; its error wraps ErrNotSent if no byte was sent.
	Do(ctx context.Context, at Address, e ServiceRequest) (Reply, error)
}
