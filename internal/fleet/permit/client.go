package permit

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/permit"
	"jaywind/internal/fleet/cbor"
)

const (
	ownerCount         = 2                      // the owner of an endpoint and the one that answers while it does not
	askTimeout         = 60 * time.Millisecond  // a request waits for the answer
	silentTime         = time.Second            // for which a router that did not answer is not asked
	returnTime         = 2 * time.Millisecond   // within which permits are returned together
	returnTimeout      = 500 * time.Millisecond // a permit that can't be returned ends with its lease
	noOwnerWait        = 300 * time.Millisecond // until a permit is asked for again if no owner answers
	maxReturns         = 4096                   // permits that wait to be returned to one owner
	maxConcurrentCalls = 16
)

// Client takes permits from their owners, and grants those that this router owns. Set the exported fields before the first call.
type Client struct {
	HTTP *http.Client
	Self jaywind.Address // fleet address of this router
	// Owners returns the fleet addresses of the routers that own a key, the first one preferred; this one may be among them.
	Owners  func(key string, count int) []jaywind.Address
	Routers func() int // returns the number of routers
	Log     *zap.Logger
	Metrics metrics.Registry

	start   sync.Once
	wake    chan struct{}
	mu      sync.Mutex
	owner   permit.Owner
	silent  map[jaywind.Address]time.Time  // routers that did not answer, and until when they are not asked
	pending map[jaywind.Address][]returned // permits to be returned, by their owners

	granted, refused, unanswered, rejected metrics.Counter
	held                                   metrics.Gauge
}

func (c *Client) init() {
	c.start.Do(func() {
		if c.Log == nil {
			c.Log = zap.NewNop()
		}
		if c.Metrics == nil {
			c.Metrics = metrics.NewRegistry()
		}
		c.wake = make(chan struct{}, 1)
		c.silent, c.pending = map[jaywind.Address]time.Time{}, map[jaywind.Address][]returned{}
		c.granted = metrics.GetOrRegisterCounter("permits.granted", c.Metrics)
		c.refused = metrics.GetOrRegisterCounter("permits.refused", c.Metrics)
		c.unanswered = metrics.GetOrRegisterCounter("permits.owner_silent", c.Metrics)
		c.rejected = metrics.GetOrRegisterCounter("permits.rejected", c.Metrics)
		c.held = metrics.GetOrRegisterGauge("permits.held", c.Metrics)
	})
}

// Take asks for a permit for a call to an endpoint. It returns the function that returns the permit, to be told whether the endpoint has
// turned the call away for want of room; or nil and when one may be free.
func (c *Client) Take(ctx context.Context, e jaywind.EndpointRef, q permit.Question) (release func(rejected bool), retryAt time.Time) {
	c.init()
	for _, at := range c.Owners(string(e.ID), ownerCount) {
		g, err := c.ask(ctx, at, e, q)
		switch {
		case ctx.Err() != nil:
			return nil, time.Now()
		case err != nil:
			continue
		case !g.Granted():
			return nil, time.Now().Add(g.Wait)
		}
		return func(rejected bool) { c.giveBack(at, e, g.ID, rejected) }, time.Time{}
	}
	return nil, time.Now().Add(noOwnerWait)
}

// ask asks one router, which may be this one.
func (c *Client) ask(ctx context.Context, at jaywind.Address, e jaywind.EndpointRef, q permit.Question) (permit.Grant, error) {
	if at == c.Self {
		return c.grant(e, q), nil
	}
	c.mu.Lock()
	avoided := time.Now().Before(c.silent[at])
	c.mu.Unlock()
	if avoided {
		return permit.Grant{}, fmt.Errorf("%s did not answer lately", at)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	client := connect.NewClient[question, answer](c.HTTP, "http://"+string(at)+takePath, cbor.ClientOptions()...)
	response, err := client.CallUnary(ctx, connect.NewRequest(encodeQuestion(e, q)))
	if err != nil {
		c.recordSilence(at, e, err)
		return permit.Grant{}, err
	}
	return response.Msg.decode(), nil
}

func (c *Client) recordSilence(at jaywind.Address, e jaywind.EndpointRef, cause error) {
	c.unanswered.Inc(1)
	c.Log.Info("permit: owner not reached", zap.String("endpoint", string(e.ID)), zap.String("at", string(at)), zap.Error(cause))
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for other, until := range c.silent {
		if !now.Before(until) {
			delete(c.silent, other)
		}
	}
	c.silent[at] = now.Add(silentTime)
}

// grant answers a question as an owner.
func (c *Client) grant(e jaywind.EndpointRef, q permit.Question) permit.Grant {
	q.Routers = c.Routers()
	owners := c.Owners(string(e.ID), 1)
	q.Substitute = len(owners) > 0 && owners[0] != c.Self
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.owner.Take(e, q, time.Now())
	if g.Granted() {
		c.granted.Inc(1)
	} else {
		c.refused.Inc(1)
	}
	c.held.Update(int64(c.owner.Held()))
	return g
}

// giveBack returns a permit to its owner soon.
func (c *Client) giveBack(at jaywind.Address, e jaywind.EndpointRef, id uint64, rejected bool) {
	if rejected {
		c.rejected.Inc(1)
	}
	if at == c.Self {
		c.end(e, id, rejected)
		return
	}
	c.mu.Lock()
	if len(c.pending[at]) < maxReturns {
		c.pending[at] = append(c.pending[at], returned{Endpoint: encodeReference(e), ID: id, Rejected: rejected})
	}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// end ends a permit that this router has granted.
func (c *Client) end(e jaywind.EndpointRef, id uint64, rejected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner.Return(e, id, rejected, time.Now())
	c.held.Update(int64(c.owner.Held()))
}

// Handle adds the handlers of calls from other routers to a mux.
func (c *Client) Handle(m *http.ServeMux) {
	c.init()
	take := func(_ context.Context, req *connect.Request[question]) (*connect.Response[answer], error) {
		g := c.grant(req.Msg.Endpoint.decode(), req.Msg.decode())
		return connect.NewResponse(&answer{ID: g.ID, Wait: g.Wait.Microseconds()}), nil
	}
	giveBack := func(_ context.Context, req *connect.Request[returns]) (*connect.Response[emptyResponse], error) {
		for _, p := range req.Msg.Permits {
			c.end(p.Endpoint.decode(), p.ID, p.Rejected)
		}
		return connect.NewResponse(&emptyResponse{}), nil
	}
	m.Handle(takePath, connect.NewUnaryHandler(takePath, take, cbor.HandlerOptions()...))
	m.Handle(returnPath, connect.NewUnaryHandler(returnPath, giveBack, cbor.HandlerOptions()...))
}

// Run returns permits to their owners until ctx ends.
func (c *Client) Run(ctx context.Context) {
	c.init()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(returnTime):
		}
		c.mu.Lock()
		pending := c.pending
		c.pending = map[jaywind.Address][]returned{}
		c.mu.Unlock()
		c.sendReturns(ctx, pending)
	}
}

func (c *Client) sendReturns(ctx context.Context, pending map[jaywind.Address][]returned) {
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	p := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	for at, permits := range pending {
		p.Go(func() {
			client := connect.NewClient[returns, emptyResponse](c.HTTP, "http://"+string(at)+returnPath, cbor.ClientOptions()...)
			if _, err := client.CallUnary(ctx, connect.NewRequest(&returns{Permits: permits})); err != nil {
				c.Log.Debug("permit: return failed, the leases will end", zap.String("at", string(at)), zap.Int("permits", len(permits)), zap.Error(err))
			}
		})
	}
	p.Wait()
}
