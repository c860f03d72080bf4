package schedule

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/schedule"
	codec "jaywind/internal/fleet/cbor"
)

const (
	ownerCount    = 2                      // the owner of a service and its deputy
	answerTimeout = 150 * time.Millisecond // beyond the hold, for an answer; far above the time of a call between VMs
	silentTime    = time.Second            // for which a router that did not answer is not asked
	maxHold       = 400 * time.Millisecond // for which an owner keeps the question of a request that waits; below the 600 ms after which the scheduler drops a request that is not asked for
	minAskTime    = 20 * time.Millisecond  // between two questions for a request that waits, should an owner answer earlier

	minInterval       = 500 * time.Millisecond // between the reports of a router
	intervalPerRouter = 6 * time.Millisecond   // so that an owner gets at most 170 reports a second
	maxInterval       = 2 * time.Second        // below the 2.5 s for which a report is valid
	inactiveInterval  = 2 * time.Second        // of a service whose runs are not scheduled
	intervalJitter    = 0.1                    // fraction by which an interval may be shorter, so that routers started together don't report together
	minReportGap      = 20 * time.Millisecond  // between two reports of a router with many runs
	summaryInterval   = 400 * time.Millisecond // for which a router asks for no further summary: they are much larger than reports
	wakeDelay         = 5 * time.Millisecond   // within which the changes that one report carries are collected
	serviceCheck      = 100 * time.Millisecond // after which new services are noticed

	maxUnsent   = 256   // failures that are kept for the next report if no owner took the last one
	sampleSize  = 1028  // of the histogram, the size that go-metrics names for a confidence of 99.9 %
	sampleAlpha = 0.015 // of the histogram, which weighs the last five minutes most
)

// ErrNoOwner is returned if neither the owner of a service nor its deputy answers and is ready.
var ErrNoOwner = errors.New("no owner is ready")

// Service is a service on which routers report to each other.
type Service struct {
	Name     jaywind.ServiceName
	Capacity schedule.Capacity
	Active   bool // its runs are scheduled; otherwise reports only carry samples, every 2 s and to the owner alone
}

// Router is what a Client needs of the router of its VM. It may call Wake, but no other method of the Client, while it holds locks that
// its methods need.
type Router interface {
	// Services returns the services on which the router reports.
	Services() []Service
	// Report returns the present runs of a service, and the samples and failures since the last call.
	Report(s jaywind.ServiceName, now time.Time) schedule.Report
	// Endpoints returns the endpoints of a service that accept work. An owner calls it before it assigns, and keeps the slice.
	Endpoints(s jaywind.ServiceName, now time.Time) []schedule.Endpoint
	// RecordFailures records failures that another router has reported.
	RecordFailures(s jaywind.ServiceName, failed []schedule.Failure)
	// ApplySummary takes over a summary, which was made at a time. It must not change the summary.
	ApplySummary(s jaywind.ServiceName, sum schedule.Summary, at time.Time)
}

// Client reports to the owners of services and asks them for engines, and is the owner or deputy of some. Set the exported fields before
// the first call.
type Client struct {
	HTTP *http.Client
	Self jaywind.Address // fleet address of this router
	VM   jaywind.VM
	// Owners returns the fleet addresses of the routers that own a key, the first one preferred; this one may be among them.
	Owners  func(key string, count int) []jaywind.Address
	Routers func() int // returns the number of routers, including this one
	Router  Router
	Log     *zap.Logger
	Metrics metrics.Registry

	start   sync.Once
	wake    chan struct{}
	process uint64 // random; tells owners that the numbers of reports start again

	mu      sync.Mutex
	silent  map[jaywind.Address]time.Time       // routers that did not answer, and until when they are not asked
	senders map[jaywind.ServiceName]*sender     // reports of this router
	owned   map[jaywind.ServiceName]*ownerState // of the services that this router owns or is the deputy of

	applyMu sync.Mutex // held while a summary is applied, so that an older one can't overtake a newer one

	granted, refused, tooLate, unanswered, reports metrics.Counter
	waiting, bound                                 metrics.Gauge
	waitTime                                       metrics.Histogram
}

// sender is the state of the reports on one service. Client.mu guards it.
type sender struct {
	number    uint64 // of the last report
	last      time.Time
	jitter    float64   // part of the interval until the next report
	woken     time.Time // when Wake wants a report to be sent; zero if it does not
	unsent    []schedule.Failure
	applied   schedule.Summary
	appliedAt time.Time // when the summary was made
}

// message is a report with its origin.
type message struct {
	service jaywind.ServiceName
	from    jaywind.VM
	process uint64
	number  uint64 // rises with each report of a process
	bare    bool   // no summary is wanted, as the router has had one lately
	report  schedule.Report
}

// reply is an owner's answer to a question.
type reply struct {
	ready    bool // the router is the owner or the deputy and knows enough to decide
	decision schedule.Decision
	oldest   time.Duration // age of the oldest report that counts
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
		c.process = rand.Uint64()
		c.silent = map[jaywind.Address]time.Time{}
		c.senders, c.owned = map[jaywind.ServiceName]*sender{}, map[jaywind.ServiceName]*ownerState{}
		c.granted = metrics.GetOrRegisterCounter("schedule.granted", c.Metrics)
		c.refused = metrics.GetOrRegisterCounter("schedule.refused.wait", c.Metrics)
		c.tooLate = metrics.GetOrRegisterCounter("schedule.refused.deadline", c.Metrics)
		c.unanswered = metrics.GetOrRegisterCounter("schedule.owner_silent", c.Metrics)
		c.reports = metrics.GetOrRegisterCounter("schedule.reports", c.Metrics)
		c.waiting = metrics.GetOrRegisterGauge("schedule.waiting", c.Metrics)
		c.bound = metrics.GetOrRegisterGauge("schedule.bound", c.Metrics)
		c.waitTime = metrics.GetOrRegisterHistogram("schedule.wait_ms", c.Metrics, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	})
}

func ownerKey(s jaywind.ServiceName) string { return "schedule/" + string(s) }

// Ask asks the owner of a service for an engine, and the deputy if the owner does not answer. It waits while the request is queued,
// until ctx ends. The error wraps ErrNoOwner if nobody answers or nobody is ready.
func (c *Client) Ask(ctx context.Context, s jaywind.ServiceName, r schedule.Request) (schedule.Decision, error) {
	c.init()
	r.Router = c.VM
	begun, left := time.Now(), r.Left
	hold := time.Duration(0) // the first answer comes at once, so that a router that does not answer is noticed early
	queued, ahead := false, 0
	for {
		asked := time.Now()
		r.Left = max(0, left-asked.Sub(begun))
		a, err := c.askOwners(ctx, s, r, hold)
		if err != nil {
			return schedule.Decision{}, err
		}
		ahead = max(ahead, a.decision.Ahead)
		a.decision.Ahead = ahead
		if a.decision.Outcome != schedule.Queued {
			c.recordDecision(s, r.ID, a, queued, time.Since(begun))
			return a.decision, nil
		}
		if hold > 0 {
			pause(ctx, minAskTime-time.Since(asked))
		}
		queued, hold = true, maxHold
	}
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// askOwners returns the answer of the first of the owner and the deputy that is ready.
func (c *Client) askOwners(ctx context.Context, s jaywind.ServiceName, r schedule.Request, hold time.Duration) (reply, error) {
	for _, at := range c.Owners(ownerKey(s), ownerCount) {
		a, err := c.askOne(ctx, at, s, r, hold)
		switch {
		case err == nil && a.ready:
			return a, nil
		case ctx.Err() != nil:
			return reply{}, fmt.Errorf("asking for an engine of %s: %w", s, ctx.Err())
		}
	}
	return reply{}, fmt.Errorf("service %s: %w", s, ErrNoOwner)
}

// askOne asks one router, which may be this one.
func (c *Client) askOne(ctx context.Context, at jaywind.Address, s jaywind.ServiceName, r schedule.Request, hold time.Duration) (reply, error) {
	if at == c.Self {
		return c.answer(ctx, s, r, hold), nil
	}
	response, err := call[question, answer](ctx, c, at, askPath, hold+answerTimeout, encodeQuestion(s, &r, hold, time.Now()))
	if err != nil {
		return reply{}, err
	}
	return response.decode(), nil
}

// call calls another router, unless it did not answer lately.
func call[Q, A any](ctx context.Context, c *Client, at jaywind.Address, path string, timeout time.Duration, q *Q) (*A, error) {
	if c.isSilent(at) {
		return nil, fmt.Errorf("%s did not answer lately", at)
	}
	// The deadline of ctx does not travel: in whole milliseconds, it would end a question earlier at the owner than here, and the deputy
	// would be asked, which does not know of the owner's latest grants.
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	client := connect.NewClient[Q, A](c.HTTP, "http://"+string(at)+path, codec.ClientOptions()...)
	response, err := client.CallUnary(limited, connect.NewRequest(q))
	if err != nil {
		if ctx.Err() == nil {
			c.recordSilence(at, path, err)
		}
		return nil, err
	}
	return response.Msg, nil
}

// isSilent reports whether a router did not answer lately.
func (c *Client) isSilent(at jaywind.Address) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.silent[at])
}

// recordSilence notes that a router did not answer. A router of an older build, which does not know the call, counts as silent too.
func (c *Client) recordSilence(at jaywind.Address, path string, cause error) {
	c.unanswered.Inc(1)
	c.mu.Lock()
	now := time.Now()
	known := now.Before(c.silent[at])
	for other, until := range c.silent {
		if !now.Before(until) {
			delete(c.silent, other)
		}
	}
	c.silent[at] = now.Add(silentTime)
	c.mu.Unlock()
	if !known {
		c.Log.Info("schedule: owner not reached", zap.String("at", string(at)), zap.String("call", path), zap.Error(cause))
	}
}

// recordDecision counts a decision, and logs refusals and grants that waited.
func (c *Client) recordDecision(s jaywind.ServiceName, id jaywind.RequestID, a reply, queued bool, waited time.Duration) {
	d := a.decision
	fields := []zap.Field{
		zap.String("request", id.Logged()), zap.String("service", string(s)), zap.Int("ahead", d.Ahead), zap.Int("bound", d.Bound),
		zap.Int("in_use", d.InUse), zap.Duration("oldest_report", a.oldest), zap.Duration("waited", waited),
	}
	switch d.Outcome {
	case schedule.Granted:
		c.granted.Inc(1)
		c.waitTime.Update(waited.Milliseconds())
		if queued {
			c.Log.Info("schedule: granted after a wait", fields...)
		}
	case schedule.Refused:
		c.refused.Inc(1)
		c.Log.Info("schedule: refused", append(fields, zap.String("reason", "wait"), zap.Duration("expected", d.Expected), zap.Duration("retry_after", d.RetryAfter))...)
	case schedule.TooLate:
		c.tooLate.Inc(1)
		c.Log.Info("schedule: refused", append(fields, zap.String("reason", "deadline"))...)
	}
}

// Wake sends a report of a service within 20 ms.
func (c *Client) Wake(s jaywind.ServiceName) {
	c.init()
	c.mu.Lock()
	n := c.senderOf(s)
	woken := !n.woken.IsZero()
	if !woken {
		n.woken = time.Now().Add(wakeDelay)
	}
	c.mu.Unlock()
	if woken {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// senderOf returns the state of the reports on a service; the caller holds mu.
func (c *Client) senderOf(s jaywind.ServiceName) *sender {
	n := c.senders[s]
	if n == nil {
		n = &sender{}
		c.senders[s] = n
	}
	return n
}

// Run sends reports, and grants the requests that wait at this router, until ctx ends.
func (c *Client) Run(ctx context.Context) {
	c.init()
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { c.runTicks(ctx) })
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.wake:
		}
		now := time.Now()
		next := now.Add(serviceCheck)
		for _, s := range c.Router.Services() {
			if due := c.due(s); due.After(now) {
				next = earlier(next, due)
				continue
			}
			m := c.nextReport(s.Name, now)
			group.Go(func() { c.send(ctx, s, m) })
		}
		timer.Reset(time.Until(next))
	}
}

// due returns when the next report on a service is to be sent.
func (c *Client) due(s Service) time.Time {
	interval := inactiveInterval
	if s.Active {
		interval = min(maxInterval, max(minInterval, time.Duration(c.Routers())*intervalPerRouter))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.senderOf(s.Name)
	due := n.last.Add(time.Duration(n.jitter * float64(interval)))
	if !n.woken.IsZero() {
		due = earlier(due, n.woken)
	}
	if first := n.last.Add(minReportGap); due.Before(first) {
		return first
	}
	return due
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// nextReport returns the report to be sent now.
func (c *Client) nextReport(s jaywind.ServiceName, now time.Time) message {
	c.mu.Lock()
	n := c.senderOf(s)
	n.number++
	n.last, n.woken = now, time.Time{}
	n.jitter = 1 - intervalJitter*rand.Float64()
	m := message{service: s, from: c.VM, process: c.process, number: n.number, bare: now.Sub(n.appliedAt) < summaryInterval}
	unsent := n.unsent
	n.unsent = nil
	c.mu.Unlock()
	m.report = c.Router.Report(s, now) // after woken is reset, so that a later change wakes again
	m.report.Failed = append(unsent, m.report.Failed...)
	return m
}

// receipt is the answer to a report.
type receipt struct {
	taken   bool // the router has answered
	ready   bool // and has a summary
	summary schedule.Summary
	encoded []byte        // the summary as it is sent to routers
	age     time.Duration // of the summary
}

// send sends a report to the owner of its service and, if its runs are scheduled, to the deputy. It applies the owner's summary, or the
// deputy's if the owner has none.
func (c *Client) send(ctx context.Context, s Service, m message) {
	sent := time.Now()
	owners := c.Owners(ownerKey(s.Name), ownerCount)
	receipts := make([]receipt, len(owners))
	c.reports.Inc(1)
	if s.Active {
		var group conc.WaitGroup
		for i, at := range owners {
			part := m
			part.bare = m.bare || i > 0 && !c.isSilent(owners[0])
			group.Go(func() { receipts[i] = c.sendTo(ctx, at, part) })
		}
		group.Wait()
	} else {
		for i, at := range owners { // the deputy takes the place of an owner that does not answer
			if receipts[i] = c.sendTo(ctx, at, m); receipts[i].taken {
				break
			}
		}
	}
	taken := false
	for _, r := range receipts {
		taken = taken || r.taken
		if r.ready {
			c.apply(s.Name, r.summary, sent.Add(-r.age))
			return
		}
	}
	if !taken {
		c.keepFailures(s.Name, m.report.Failed)
	}
}

func (c *Client) sendTo(ctx context.Context, at jaywind.Address, m message) receipt {
	if at == c.Self {
		return c.receive(m, time.Now())
	}
	a, err := call[report, reportAnswer](ctx, c, at, reportPath, answerTimeout, encodeReport(m, time.Now()))
	if err != nil || !a.Ready {
		return receipt{taken: err == nil}
	}
	var w summary
	if err := cbor.Unmarshal(a.Summary, &w); err != nil {
		c.Log.Info("schedule: summary not understood", zap.String("at", string(at)), zap.Error(err))
		return receipt{taken: true}
	}
	return receipt{taken: true, ready: true, summary: w.decode(), age: duration(a.Age, time.Millisecond)}
}

// keepFailures keeps failures that no owner has heard of for the next report.
func (c *Client) keepFailures(s jaywind.ServiceName, failed []schedule.Failure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.senderOf(s)
	n.unsent = first(append(n.unsent, failed...), maxUnsent)
}

// apply hands a summary to the router unless it has a later one.
func (c *Client) apply(s jaywind.ServiceName, sum schedule.Summary, at time.Time) {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	c.mu.Lock()
	n := c.senderOf(s)
	later := at.After(n.appliedAt)
	if later {
		n.applied, n.appliedAt = sum, at
	}
	c.mu.Unlock()
	if later {
		c.Router.ApplySummary(s, sum, at)
	}
}

// applied returns the last summary that was applied.
func (c *Client) applied(s jaywind.ServiceName) schedule.Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.senderOf(s).applied
}
