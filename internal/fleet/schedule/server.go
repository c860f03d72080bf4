package schedule

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/schedule"
	codec "jaywind/internal/fleet/cbor"
)

const (
	reportTTL    = 2500 * time.Millisecond // for which a report counts, as in the scheduler; after it an owner that hears nothing knows nothing
	readyTime    = 600 * time.Millisecond  // after which an owner decides with the reports that it has; above the interval of 81 routers
	readyParts   = 4                       // an owner decides at once if it has the reports of
	readyShare   = 3                       // so many parts of the routers
	tickTime     = 20 * time.Millisecond   // within which a wait ends after a report, a grant or an engine's state has changed
	idleTickTime = 100 * time.Millisecond  // the same while nothing waits, as each wake-up costs processor time
	offerTime    = 200 * time.Millisecond  // a grant between two questions of its request is kept; the scheduler drops a request at 600 ms, which is the hold and this
	summaryTime  = 100 * time.Millisecond  // for which a summary is used again; 160 reports a second get 10
)

// ownerState is the state of a service at its owner or deputy.
type ownerState struct {
	name jaywind.ServiceName

	mu        sync.Mutex
	scheduler *schedule.Scheduler // nil if nothing was heard for reportTTL
	since     time.Time           // of the first report or question since then
	heard     time.Time           // of the last one
	reporters map[jaywind.VM]reporter
	waits     map[jaywind.RequestID]*wait
	offers    map[jaywind.RequestID]offer
	bound     int // tokens
	summary   schedule.Summary
	encoded   []byte // the summary as it is sent to routers
	madeAt    time.Time
}

// reporter is the last report of a router.
type reporter struct {
	process, number uint64
	at              time.Time
}

// wait is a question that is held until its request is granted.
type wait struct {
	done   chan struct{} // closed once reply is set
	reply  reply
	queued reply // answer if the hold ends
}

// offer is a grant of a request whose router has not asked again yet.
type offer struct {
	reply reply
	at    time.Time
}

// Handle adds the handlers of calls from other routers to a mux.
func (c *Client) Handle(m *http.ServeMux) {
	c.init()
	ask := func(ctx context.Context, req *connect.Request[question]) (*connect.Response[answer], error) {
		q := req.Msg
		a := c.answer(ctx, jaywind.ServiceName(text(q.Service)), q.decode(time.Now()), duration(q.Hold, time.Microsecond))
		return connect.NewResponse(encodeAnswer(a)), nil
	}
	take := func(_ context.Context, req *connect.Request[report]) (*connect.Response[reportAnswer], error) {
		now := time.Now()
		m := req.Msg.decode(now)
		r := c.receive(m, now)
		if !r.ready {
			return connect.NewResponse(&reportAnswer{}), nil
		}
		return connect.NewResponse(&reportAnswer{Ready: true, Age: r.age.Milliseconds(), Summary: r.encoded}), nil
	}
	m.Handle(askPath, connect.NewUnaryHandler(askPath, ask, codec.HandlerOptions()...))
	m.Handle(reportPath, connect.NewUnaryHandler(reportPath, take, codec.HandlerOptions()...))
}

// ownedService returns the state of a service and whether this router is its owner or deputy.
func (c *Client) ownedService(s jaywind.ServiceName) (*ownerState, Service, bool) {
	all := c.Router.Services()
	i := slices.IndexFunc(all, func(k Service) bool { return k.Name == s })
	if i < 0 || !c.owns(s) {
		return nil, Service{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.owned[s]
	if p == nil {
		p = &ownerState{name: s}
		c.owned[s] = p
	}
	return p, all[i], true
}

func (c *Client) owns(s jaywind.ServiceName) bool {
	return slices.Contains(c.Owners(ownerKey(s), ownerCount), c.Self)
}

// answer answers a question as the owner or deputy of a service. While the request waits, it holds the question.
func (c *Client) answer(ctx context.Context, name jaywind.ServiceName, r schedule.Request, hold time.Duration) reply {
	p, s, owned := c.ownedService(name)
	if !owned || !s.Active { // routers don't report their runs at a service that is not active
		return reply{}
	}
	a, w := c.ask(p, s, r, min(hold, maxHold))
	if w == nil {
		return a
	}
	timer := time.NewTimer(min(hold, maxHold))
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	return c.endWait(ctx, p, r.ID, w)
}

// ask returns the answer to a question, or the wait of a request that is queued and may be held.
func (c *Client) ask(p *ownerState, s Service, r schedule.Request, hold time.Duration) (reply, *wait) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	c.hear(p, s, now)
	if !c.ready(p, now) {
		return reply{}, nil
	}
	if o, offered := p.offers[r.ID]; offered {
		delete(p.offers, r.ID)
		if !slices.Contains(r.Exclude, o.reply.decision.Endpoint) {
			return o.reply, nil
		}
	}
	p.scheduler.Release(r.ID) // its answer was lost, as the router asks again
	endpoints := c.Router.Endpoints(p.name, now)
	p.scheduler.SetEndpoints(endpoints)
	if len(endpoints) == 0 { // another router may know some; this one may have just started or be cut off from them
		return reply{}, nil
	}
	a := reply{ready: true, decision: p.scheduler.Ask(r, now), oldest: p.oldest(now)}
	p.bound = a.decision.Bound
	c.dispatch(p, now)
	if o, offered := p.offers[r.ID]; offered {
		delete(p.offers, r.ID)
		return o.reply, nil
	}
	if a.decision.Outcome != schedule.Queued || hold <= 0 {
		return a, nil
	}
	w := &wait{done: make(chan struct{}), queued: a}
	p.waits[r.ID] = w // an earlier question for the same request is answered when its hold ends
	return reply{}, w
}

// endWait returns the answer to a question that was held. If its caller has left, the request leaves the queue.
func (c *Client) endWait(ctx context.Context, p *ownerState, id jaywind.RequestID, w *wait) reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	answered := false
	select {
	case <-w.done:
		answered = true
	default:
	}
	held := p.waits[id] == w // no later question has taken its place
	if held {
		delete(p.waits, id)
	}
	switch {
	case ctx.Err() == nil && answered:
		return w.reply
	case ctx.Err() == nil:
		return w.queued
	case p.scheduler == nil:
		return reply{}
	case answered:
		p.scheduler.Release(id)
	case held:
		p.scheduler.Leave(id)
	}
	c.dispatch(p, time.Now())
	return reply{}
}

// hear notes that a router has reported or asked. If nothing was heard for reportTTL, all is forgotten except what the last summary
// said of the speed of endpoints. The caller holds p.mu, as for the functions below.
func (c *Client) hear(p *ownerState, s Service, now time.Time) {
	if p.scheduler == nil || now.Sub(p.heard) >= reportTTL {
		c.forget(p)
		p.scheduler = &schedule.Scheduler{}
		p.since = now
		endpoints := c.Router.Endpoints(p.name, now)
		addresses := make(map[schedule.Key]jaywind.Address, len(endpoints))
		for _, e := range endpoints {
			addresses[e.Key] = e.Address
		}
		p.scheduler.SetEndpoints(endpoints)
		p.scheduler.Learn(c.applied(p.name), addresses, now)
	}
	p.heard = now
	p.scheduler.Capacity = s.Capacity
}

// forget drops the state of a service and answers the questions that are held.
func (c *Client) forget(p *ownerState) {
	for _, w := range p.waits {
		close(w.done) // with the reply of a router that is not ready
	}
	p.scheduler, p.bound = nil, 0
	p.reporters, p.waits, p.offers = map[jaywind.VM]reporter{}, map[jaywind.RequestID]*wait{}, map[jaywind.RequestID]offer{}
	p.summary, p.encoded, p.madeAt = schedule.Summary{}, nil, time.Time{}
}

// ready reports whether an owner has the reports of enough routers, or had time to get them.
func (c *Client) ready(p *ownerState, now time.Time) bool {
	return now.Sub(p.since) >= readyTime || readyParts*p.scheduler.Reporters() >= readyShare*c.Routers()
}

// oldest returns the age of the oldest report that counts.
func (p *ownerState) oldest(now time.Time) (age time.Duration) {
	for vm, r := range p.reporters {
		if now.Sub(r.at) >= reportTTL {
			delete(p.reporters, vm)
			continue
		}
		age = max(age, now.Sub(r.at))
	}
	return age
}

// dispatch grants requests that wait and answers their questions.
func (c *Client) dispatch(p *ownerState, now time.Time) {
	if p.scheduler.Waiting() > 0 {
		p.scheduler.SetEndpoints(c.Router.Endpoints(p.name, now))
	}
	for _, a := range p.scheduler.Dispatch(now) {
		r := reply{ready: true, decision: a.Decision, oldest: p.oldest(now)}
		w := p.waits[a.Request]
		if w == nil {
			p.offers[a.Request] = offer{reply: r, at: now}
			continue
		}
		r.decision.Ahead = w.queued.decision.Ahead
		w.reply = r
		close(w.done)
		delete(p.waits, a.Request)
	}
}

// receive takes a report as the owner or deputy of its service.
func (c *Client) receive(m message, now time.Time) receipt {
	p, s, owned := c.ownedService(m.service)
	if !owned {
		return receipt{taken: true}
	}
	if len(m.report.Failed) > 0 && m.from != c.VM {
		c.Router.RecordFailures(m.service, m.report.Failed)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.hear(p, s, now)
	last, known := p.reporters[m.from]
	if known && last.process == m.process && m.number <= last.number {
		return receipt{taken: true} // a later report has overtaken it
	}
	p.reporters[m.from] = reporter{process: m.process, number: m.number, at: now}
	p.scheduler.Report(m.from, m.report, now)
	c.dispatch(p, now)
	if m.bare || !c.ready(p, now) {
		return receipt{taken: true}
	}
	if p.madeAt.IsZero() || now.Sub(p.madeAt) >= summaryTime {
		p.scheduler.SetEndpoints(c.Router.Endpoints(p.name, now))
		sum := p.scheduler.Summary(now)
		encoded, err := cbor.Marshal(encodeSummary(sum))
		if err != nil {
			c.Log.Error("schedule: summary not encoded", zap.String("service", string(p.name)), zap.Error(err))
			return receipt{taken: true}
		}
		p.summary, p.encoded, p.madeAt, p.bound = sum, encoded, now, sum.Bound
	}
	return receipt{taken: true, ready: true, summary: p.summary, encoded: p.encoded, age: now.Sub(p.madeAt)}
}

// runTicks grants requests that wait until ctx ends.
func (c *Client) runTicks(ctx context.Context) {
	timer := time.NewTimer(tickTime)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		next := idleTickTime
		if c.tick(time.Now()) {
			next = tickTime
		}
		timer.Reset(next)
	}
}

// tick grants what waits at all services of this router, and reports whether anything still waits.
func (c *Client) tick(now time.Time) (busy bool) {
	c.mu.Lock()
	all := make([]*ownerState, 0, len(c.owned))
	for _, p := range c.owned {
		all = append(all, p)
	}
	c.mu.Unlock()
	waiting, bound := 0, 0
	for _, p := range all {
		p.mu.Lock()
		c.tickService(p, now)
		if p.scheduler != nil {
			waiting += p.scheduler.Waiting()
			bound += p.bound
			busy = busy || p.scheduler.Waiting() > 0 || len(p.offers) > 0
		}
		p.mu.Unlock()
	}
	c.waiting.Update(int64(waiting))
	c.bound.Update(int64(bound))
	return busy
}

// tickService grants what waits at one service, and drops what nobody has asked for again.
func (c *Client) tickService(p *ownerState, now time.Time) {
	if p.scheduler == nil {
		return
	}
	busy := p.scheduler.Waiting() > 0 || len(p.offers) > 0
	if now.Sub(p.heard) >= reportTTL || busy && !c.owns(p.name) {
		c.Log.Info("schedule: owner state dropped", zap.String("service", string(p.name)), zap.Int("waiting", p.scheduler.Waiting()))
		c.forget(p)
		return
	}
	for id, o := range p.offers {
		if now.Sub(o.at) >= offerTime {
			delete(p.offers, id)
			p.scheduler.Release(id)
		}
	}
	if busy {
		c.dispatch(p, now)
	}
}
