package memory

import (
	"context"
	"sync"
)

// scope holds what a request has taken of a budget until it ends.
type scope struct {
	mu     sync.Mutex
	ended  bool
	budget *Budget
	held   Bytes
}

type scopeKey struct{}

// WithScope returns a context in which Keep holds memory until end is called.
func WithScope(ctx context.Context) (scoped context.Context, end func()) {
	s := &scope{}
	return context.WithValue(ctx, scopeKey{}, s), s.end
}

// Keep lets the scope of ctx return n bytes to a budget at its end; without a scope they are returned at once. They take the place
// of what the scope kept before: a request uses its last answer, and must not wait for memory that it holds itself.
func Keep(ctx context.Context, b *Budget, n Bytes) {
	s, _ := ctx.Value(scopeKey{}).(*scope)
	if s == nil {
		b.Release(n)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		b.Release(n)
		return
	}
	s.release()
	s.budget, s.held = b, n
}

// Drop returns what the scope of ctx keeps, before its request waits for more.
func Drop(ctx context.Context) {
	if s, _ := ctx.Value(scopeKey{}).(*scope); s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.release()
	}
}

func (s *scope) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.release()
}

func (s *scope) release() {
	s.budget.Release(s.held)
	s.budget, s.held = nil, 0
}
