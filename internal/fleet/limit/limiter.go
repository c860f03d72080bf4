package limit

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/limit"
	"jaywind/internal/fleet/cbor"
)

const (
	askTimeout         = 60 * time.Millisecond  // a request waits for the answer
	noticeTimeout      = 500 * time.Millisecond // for all routers together; a router that is missed learns by an answer of its own
	batchTime          = 20 * time.Millisecond  // within which limits are announced together
	maxConcurrentCalls = 16
	maxPending         = 1024 // limits that wait to be announced
)

// Limiter counts the requests of all routers to limited endpoints. Set the exported fields before the first call.
type Limiter struct {
	HTTP *http.Client
	// Owners returns the addresses of the other routers among a number of owners for a key, and whether this router is one.
	Owners  func(key string, count int) (others []jaywind.Address, self bool)
	Peers   func(most int) []jaywind.Address // returns up to most other routers
	Routers func() int                       // returns the number of routers
	Log     *zap.Logger
	Metrics metrics.Registry

	start   sync.Once
	wake    chan struct{}
	mu      sync.Mutex
	sender  limit.Sender
	owner   limit.Owner
	pending []limited // to be announced

	granted, refused, alone, silent metrics.Counter
	endpoints, offered              metrics.Gauge
}

// limited is an endpoint and its limit.
type limited struct {
	endpoint jaywind.EndpointRef
	reading  limit.Reading
}

// self stands for this router among the owners.
const self = ""

func (l *Limiter) init() {
	l.start.Do(func() {
		l.wake = make(chan struct{}, 1)
		if l.Log == nil {
			l.Log = zap.NewNop()
		}
		if l.Metrics == nil {
			l.Metrics = metrics.NewRegistry()
		}
		l.granted = metrics.GetOrRegisterCounter("limits.granted", l.Metrics)
		l.refused = metrics.GetOrRegisterCounter("limits.refused", l.Metrics)
		l.alone = metrics.GetOrRegisterCounter("limits.alone", l.Metrics)
		l.silent = metrics.GetOrRegisterCounter("limits.owner_silent", l.Metrics)
		l.offered = metrics.GetOrRegisterGauge("limits.offered", l.Metrics)
		l.endpoints = metrics.GetOrRegisterGauge("limits.endpoints", l.Metrics)
		l.owner.OnLimited, l.owner.OnEnded = l.announce, l.announce
	})
}

// announce adds a limit, or its end, to those to be announced; the caller holds mu.
func (l *Limiter) announce(e jaywind.EndpointRef, r limit.Reading) {
	if len(l.pending) < maxPending {
		l.pending = append(l.pending, limited{e, r})
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Observe applies what an endpoint said in an answer to this router, and reports whether it is news.
func (l *Limiter) Observe(e jaywind.EndpointRef, r limit.Reading) bool {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	news := l.sender.Observe(e, r)
	l.endpoints.Update(int64(l.sender.Count()))
	return news
}

// IsLimited reports whether requests to an endpoint are counted.
func (l *Limiter) IsLimited(e jaywind.EndpointRef) bool {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sender.IsLimited(e)
}

// Take reports whether a request may be sent to an endpoint now, and if not, when one of that priority may. It may wait for the answers of
// other routers.
func (l *Limiter) Take(ctx context.Context, e jaywind.EndpointRef, p jaywind.Priority) (allowed bool, retryAt time.Time) {
	l.init()
	if !l.IsLimited(e) {
		return true, time.Time{}
	}
	others, isOwner := l.Owners(key(e), limit.OwnerCount)
	var owners []string
	for _, at := range others {
		owners = append(owners, string(at))
	}
	if isOwner {
		owners = append(owners, self)
	}
	rand.Shuffle(len(owners), func(i, j int) { owners[i], owners[j] = owners[j], owners[i] })
	for {
		l.mu.Lock()
		now := time.Now()
		decision, at, q := l.sender.Begin(e, p, owners, now)
		if decision == limit.Refuse && l.sender.TakeAlone(e, owners, l.Routers(), now) {
			l.alone.Inc(1)
			decision = limit.Send
		}
		retryAt = l.sender.Return(e, p, owners, now)
		l.mu.Unlock()
		if decision != limit.Ask {
			return decision == limit.Send, retryAt
		}
		if l.ask(ctx, e, at, q, 1/float64(len(owners))) {
			return true, time.Time{}
		}
		if ctx.Err() != nil {
			return false, now
		}
	}
}

// key returns the key of an endpoint, by which all routers choose the same owners.
func key(e jaywind.EndpointRef) string {
	return string(e.ID) + "/" + strconv.FormatInt(e.Incarnation, 10)
}

// ask asks an owner, and reports whether it has granted the request.
func (l *Limiter) ask(ctx context.Context, e jaywind.EndpointRef, owner string, q limit.Question, part float64) bool {
	var g limit.Grant
	var err error
	if owner == self {
		l.mu.Lock()
		g = l.answer(e, q, part, time.Now())
		l.mu.Unlock()
	} else {
		g, err = l.askRouter(ctx, e, jaywind.Address(owner), q)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if ctx.Err() == nil {
			l.silent.Inc(1)
			l.Log.Info("limit: owner not reached", zap.String("endpoint", string(e.ID)), zap.String("at", owner), zap.Error(err))
			l.sender.RecordSilence(e, owner, time.Now())
		}
		return false
	}
	allowed := l.sender.Apply(e, owner, q, g, time.Now())
	l.endpoints.Update(int64(l.sender.Count()))
	return allowed
}

var errNotOwner = errors.New("the router is not an owner of the endpoint")

func (l *Limiter) askRouter(ctx context.Context, e jaywind.EndpointRef, at jaywind.Address, q limit.Question) (limit.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	msg := &question{Reading: encodeReading(e, q.Reading, time.Now()), Count: q.Count, Priority: int(q.Priority)}
	client := connect.NewClient[question, answer](l.HTTP, "http://"+string(at)+askPath, cbor.ClientOptions()...)
	response, err := client.CallUnary(ctx, connect.NewRequest(msg))
	if err != nil {
		return limit.Grant{}, fmt.Errorf("ask %s: %w", at, err)
	}
	if !response.Msg.Owner {
		return limit.Grant{}, fmt.Errorf("ask %s: %w", at, errNotOwner)
	}
	return response.Msg.decode(q.Count, time.Now()), nil
}

// answer answers a question as an owner; the caller holds mu.
func (l *Limiter) answer(e jaywind.EndpointRef, q limit.Question, part float64, now time.Time) limit.Grant {
	g := l.owner.Answer(e, q, part, now)
	l.granted.Inc(int64(g.Count))
	l.offered.Update(int64(l.owner.Offered()))
	if g.Count == 0 && !g.Released {
		l.refused.Inc(1)
	}
	return g
}

// Handle adds the handlers of calls from other routers to a mux.
func (l *Limiter) Handle(m *http.ServeMux) {
	l.init()
	m.Handle(askPath, connect.NewUnaryHandler(askPath, l.handleAsk, cbor.HandlerOptions()...))
	m.Handle(noticePath, connect.NewUnaryHandler(noticePath, l.handleNotice, cbor.HandlerOptions()...))
}

func (l *Limiter) handleAsk(_ context.Context, req *connect.Request[question]) (*connect.Response[answer], error) {
	now := time.Now()
	e, q := req.Msg.decode(now)
	others, isOwner := l.Owners(key(e), limit.OwnerCount)
	if !isOwner {
		return connect.NewResponse(&answer{}), nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if q.Reading.Limited {
		l.sender.Observe(e, q.Reading)
	}
	msg := encodeGrant(e, l.answer(e, q, 1/float64(len(others)+1), now), now)
	return connect.NewResponse(&msg), nil
}

func (l *Limiter) handleNotice(_ context.Context, req *connect.Request[notice]) (*connect.Response[emptyResponse], error) {
	now := time.Now()
	for _, w := range req.Msg.Readings {
		if e, r := w.decode(now); l.Observe(e, r) {
			l.Log.Info("endpoint: limit announced by another router", zap.String("endpoint", string(e.ID)), zap.Bool("limited", r.Limited), zap.Float64("rate", float64(r.Rate)))
		}
	}
	return connect.NewResponse(&emptyResponse{}), nil
}

// Run announces limits until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	l.init()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(batchTime):
		}
		l.mu.Lock()
		pending := l.pending
		l.pending = nil
		l.mu.Unlock()
		l.sendNotice(ctx, pending)
	}
}

// sendNotice announces limits to all other routers.
func (l *Limiter) sendNotice(ctx context.Context, pending []limited) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	msg, now := &notice{}, time.Now()
	for _, p := range pending {
		msg.Readings = append(msg.Readings, encodeReading(p.endpoint, p.reading, now))
	}
	p := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	for _, at := range l.Peers(math.MaxInt) {
		p.Go(func() {
			client := connect.NewClient[notice, emptyResponse](l.HTTP, "http://"+string(at)+noticePath, cbor.ClientOptions()...)
			if _, err := client.CallUnary(ctx, connect.NewRequest(msg)); err != nil {
				l.Log.Debug("limit: announcement to a router failed", zap.String("at", string(at)), zap.Error(err))
			}
		})
	}
	p.Wait()
}
