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

// services sends calls to plain services and passes the responses to their callers.
type services struct {
	router  *Router
	cancels map[jaywind.RequestID][]context.CancelFunc // of the attempts of idempotent calls; accessed only by the loop
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
		p.cancels[c.Request] = append(p.cancels[c.Request], cancel)
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
		return jaywind.Reply{}, fmt.Errorf("%w: router has no service client", jaywind.ErrNotSent)
	}
	return p.router.Service.Do(ctx, c.Address, c.HTTP)
}

func (p *services) respond(c table.Respond) {
	for _, cancel := range p.cancels[c.Request] {
		cancel()
	}
	delete(p.cancels, c.Request)
	p.router.pendingCalls.respond(c)
}

// Call makes a call to a plain service and waits for its final response. The router
// sets the nonce of the request. Calls in progress must have different ids.
func (r *Router) Call(ctx context.Context, request table.CallRequest) (table.Respond, error) {
	r.init()
	request.Nonce = jaywind.Nonce(rand.Uint64())
	done := r.pendingCalls.add(request.ID)
	defer r.pendingCalls.remove(request.ID)
	if !r.post(table.ServiceArrived{Request: request}) {
		return table.Respond{Result: table.ResultNotRun, Reason: ErrStopped.Error(), RetryAfter: stoppedRetryAfter}, nil
	}
	select {
	case c := <-done:
		return c, nil
	case <-ctx.Done():
		r.post(table.ServiceCallerGone{Request: request.ID})
		return table.Respond{}, ctx.Err()
	case <-r.stopped:
		return responseAtStop(done), nil
	}
}

// responseAtStop returns the response that arrived before the router stopped, or ResultUnknown if there is none.
func responseAtStop(done <-chan table.Respond) table.Respond {
	select {
	case c := <-done:
		return c
	default:
		return table.Respond{Result: table.ResultUnknown, Reason: ErrStopped.Error(), RetryAfter: stoppedRetryAfter}
	}
}

// callSet holds the service calls in progress, with the channels for their responses.
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
	maxCallTimeout    = 30 * time.Second // also the default for a call without a timeout
	stoppedRetryAfter = time.Second      // how long a caller should wait before it retries after a router has stopped
)

// CallDeadline returns the deadline of a call that arrives now. The timeout is limited
// to maxCallTimeout, which is also the default if timeout is zero.
func (r *Router) CallDeadline(timeout time.Duration) time.Time {
	r.init()
	if timeout <= 0 || timeout > maxCallTimeout {
		timeout = maxCallTimeout
	}
	return r.Clock.Now().Add(timeout)
}
