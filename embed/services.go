package embed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/table"
)

// services carries calls to plain services and their answers to the callers.
type services struct {
	router  *Router
	retries map[jaywind.RequestID][]context.CancelFunc // of idempotent calls; used by the loop only
}

func (p *services) run(context.Context) {}

func (p *services) execute(ctx context.Context, c table.Command) bool {
	switch c := c.(type) {
	case table.SendCall:
		p.send(ctx, c)
	case table.Respond:
		p.respond(c)
	default:
		return false
	}
	return true
}

func (p *services) send(ctx context.Context, c table.SendCall) {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	if c.HTTP.ReuseConnection {
		p.retries[c.Request] = append(p.retries[c.Request], cancel)
	}
	p.router.group.Go(func() {
		defer cancel()
		reply, err := p.do(ctx, c)
		if err != nil {
			p.router.Log.Warn("services: call failed", zap.String("request", string(c.Request)),
				zap.String("endpoint", string(c.Endpoint)), zap.Error(err))
		}
		p.router.post(table.ServiceReplied{Request: c.Request, Try: c.Try, Reply: reply, Err: err})
	})
}

func (p *services) do(ctx context.Context, c table.SendCall) (jaywind.Reply, error) {
	if p.router.Service == nil {
		return jaywind.Reply{}, fmt.Errorf("%w: this router calls no services", jaywind.ErrNotSent)
	}
	return p.router.Service.Do(ctx, c.Address, c.HTTP)
}

func (p *services) respond(c table.Respond) {
	for _, cancel := range p.retries[c.Request] {
		cancel()
	}
	delete(p.retries, c.Request)
	p.router.calls.respond(c)
}

// Call makes a call to a plain service and waits for the final answer to it, whose
// nonce the router fills in; ids of calls that wait at the same time must differ.
func (r *Router) Call(ctx context.Context, ask table.CallRequest) (table.Respond, error) {
	r.init()
	ask.Nonce = jaywind.Nonce(rand.Uint64())
	done := r.calls.add(ask.ID)
	defer r.calls.remove(ask.ID)
	if !r.post(table.ServiceArrived{Request: ask}) {
		return table.Respond{Result: table.ResultNotRun, Reason: ErrStopped.Error(), RetryAfter: stoppedReturn}, nil
	}
	select {
	case c := <-done:
		return c, nil
	case <-ctx.Done():
		r.post(table.ServiceCallerGone{Request: ask.ID})
		return table.Respond{}, ctx.Err()
	case <-r.stopped:
		return lastWord(done), nil
	}
}

// lastWord returns the answer that came before the router stopped, or that it is not known.
func lastWord(done <-chan table.Respond) table.Respond {
	select {
	case c := <-done:
		return c
	default:
		return table.Respond{Result: table.ResultUnknown, Reason: ErrStopped.Error(), RetryAfter: stoppedReturn}
	}
}

// callSet holds the callers that wait for a service.
type callSet struct {
	mu   sync.Mutex
	open map[jaywind.RequestID]chan table.Respond
}

func (s *callSet) add(id jaywind.RequestID) <-chan table.Respond {
	s.mu.Lock()
	defer s.mu.Unlock()
	done := make(chan table.Respond, 1)
	s.open[id] = done
	return done
}

func (s *callSet) remove(id jaywind.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, id)
}

func (s *callSet) respond(c table.Respond) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if done := s.open[c.Request]; done != nil {
		done <- c
		delete(s.open, c.Request)
	}
}

const (
	defaultCallLimit = 30 * time.Second // for a call whose caller sets no deadline
	stoppedReturn    = time.Second      // what a caller of a router that has stopped is told
)

// CallDeadline returns when a call that arrives now is given up, by what its caller wants at most.
func (r *Router) CallDeadline(want time.Duration) time.Time {
	r.init()
	if want <= 0 || want > defaultCallLimit {
		want = defaultCallLimit
	}
	return r.Clock.Now().Add(want)
}
