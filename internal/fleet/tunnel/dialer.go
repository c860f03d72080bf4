package tunnel

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/backend/link"
	"jaywind/internal/core/drain"
	"jaywind/internal/core/reach"
	"jaywind/internal/fleet/cbor"
)

const (
	connectTimeout = 150 * time.Millisecond // least limit of a connection: several round trips between failure domains; TCP resends a lost SYN only after a second
	helpTimeout    = 80 * time.Millisecond  // the same at a helper, whose answer should come within the time of the router that asks
	headStart      = 30 * time.Millisecond  // least one of a router's own link over the first helper, and of each helper over the next
	maxHeadStart   = 300 * time.Millisecond // over the next helper: a call with 700 ms left still has time for it, and routers short of processor do not ask all helpers for each call
	maxOwnStart    = 150 * time.Millisecond // of a router's own link over the first helper
	// usualHelp limits the first answer of a helper. Helpers short of processor take up to 500 ms, and an unsafe call has 700 ms left.
	usualHelp    = 600 * time.Millisecond
	maxHelp      = time.Second // limit of a helper's answer; most calls have no more time left
	knownHelpers = 8           // routers of which the helpers for a connection are taken
	refusals     = 2           // of helpers that confirm that an endpoint refuses connections
	silences     = 2           // of helpers that confirm that an endpoint does not answer
)

// Dialer opens connections to endpoints over this router's own links, or through other routers if those are lost. Set the exported
// fields before the first call.
type Dialer struct {
	HTTP  *http.Client                     // for long calls to other routers
	Peers func(most int) []jaywind.Address // returns up to most other routers, in random order
	Calls *drain.Calls                     // carries the bytes of tunnels
	Log   *zap.Logger
	// Direct opens a connection over this router's own links; TCP if nil.
	Direct func(ctx context.Context, network, address string) (net.Conn, error)
	// OnLost is called with the address of an endpoint to which the link of this router is lost. May be nil.
	OnLost func(at jaywind.Address)
	// IsMember reports whether a host belongs to the fleet, so that it may ask for tunnels. May be nil, for any.
	IsMember func(host string) bool
	// Accepts reports whether this router takes calls to an endpoint for others now. May be nil, for all.
	Accepts func(at jaywind.Address) bool
	Metrics metrics.Registry

	start   sync.Once
	carried atomic.Int64 // tunnels for other routers

	mu      sync.Mutex
	links   reach.Links
	helpers reach.Helpers
	own     reach.Latency // of connections over this router's own links
	help    reach.Latency // of the answers of helpers

	opened, failed, helped, declined metrics.Counter
	lost                             metrics.Gauge
}

func (d *Dialer) init() {
	d.start.Do(func() {
		if d.Log == nil {
			d.Log = zap.NewNop()
		}
		if d.Metrics == nil {
			d.Metrics = metrics.NewRegistry()
		}
		if d.Calls == nil {
			d.Calls = &drain.Calls{}
		}
		d.opened = metrics.GetOrRegisterCounter("tunnels.opened", d.Metrics)
		d.failed = metrics.GetOrRegisterCounter("tunnels.failed", d.Metrics)
		d.helped = metrics.GetOrRegisterCounter("tunnels.helped", d.Metrics)
		d.declined = metrics.GetOrRegisterCounter("tunnels.declined", d.Metrics)
		d.lost = metrics.GetOrRegisterGauge("links.lost", d.Metrics)
	})
}

// attempt is the result of one way to connect.
type attempt struct {
	conn    net.Conn
	err     error
	helper  jaywind.Address // empty for this router's own link
	outcome outcome         // of the helper
}

// DialContext connects to an endpoint. An error that wraps syscall.ECONNREFUSED has been confirmed by another router, if there is one.
func (d *Dialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	d.init()
	at := jaywind.Address(address)
	known := d.Peers(knownHelpers)
	if len(known) == 0 {
		return d.direct(ctx, at, d.ownLimit(connectTimeout))
	}
	d.mu.Lock()
	lost, probe := d.links.IsLost(at), d.links.TakeProbe(at, time.Now())
	helpers := d.helpers.Order(known, time.Now())
	d.mu.Unlock()
	if probe {
		d.Calls.Go(func(ctx context.Context) { d.probe(ctx, at) })
	}
	r := &race{dialer: d, at: at, helpers: helpers, lost: lost, results: make(chan attempt, len(helpers)+1)}
	return r.run(ctx)
}

// direct connects over this router's own link within a limit, and measures how long that takes.
func (d *Dialer) direct(ctx context.Context, at jaywind.Address, limit time.Duration) (net.Conn, error) {
	dial := d.Direct
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	start := time.Now()
	conn, err := dial(ctx, "tcp", string(at))
	if err == nil {
		link.ResetOnClose(conn) // here for the connections that are made for other routers
		d.mu.Lock()
		d.own.Record(time.Since(start), time.Now())
		d.mu.Unlock()
	}
	return conn, err
}

// ownLimit returns the time within which a connection over this router's own links is expected, which is at least a given one.
func (d *Dialer) ownLimit(least time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.own.Limit(least, least, maxHelp, time.Now())
}

// ownHeadStart returns how long this router's own link is tried alone.
func (d *Dialer) ownHeadStart() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.own.Limit(headStart, headStart, maxOwnStart, time.Now())
}

// helpLimits returns how long a helper is asked alone, and the time within which its answer is expected.
func (d *Dialer) helpLimits() (alone, limit time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	return d.help.Limit(headStart, headStart, maxHeadStart, now), d.help.Limit(usualHelp, connectTimeout, maxHelp, now)
}

// probe tries a lost link. No call waits for it, so that it has the longest limit.
func (d *Dialer) probe(ctx context.Context, at jaywind.Address) {
	conn, err := d.direct(ctx, at, maxHelp)
	if err != nil {
		return
	}
	_ = conn.Close()
	d.recordConnected(at)
}

func (d *Dialer) isLost(at jaywind.Address) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.links.IsLost(at)
}

// recordConnected records that this router's own link to an endpoint works.
func (d *Dialer) recordConnected(at jaywind.Address) {
	d.mu.Lock()
	back := d.links.RecordConnected(at)
	d.lost.Update(int64(d.links.Count()))
	d.mu.Unlock()
	if back {
		d.Log.Info("link: works again", zap.String("to", string(at)))
	}
}

// confirmLost tries this router's own link once more after a helper has reached an endpoint, as a single packet may have been lost.
func (d *Dialer) confirmLost(at, helper jaywind.Address) {
	d.Calls.Go(func(ctx context.Context) {
		conn, err := d.direct(ctx, at, d.ownLimit(connectTimeout))
		if err == nil {
			_ = conn.Close()
			d.recordConnected(at)
			return
		}
		d.recordLost(at, helper, err)
	})
}

// recordLost records that a helper reaches an endpoint and this router does not.
func (d *Dialer) recordLost(at, helper jaywind.Address, cause error) {
	d.mu.Lock()
	news := d.links.RecordLost(at, time.Now())
	count := d.links.Count()
	d.lost.Update(int64(count))
	d.mu.Unlock()
	if !news {
		return
	}
	d.Log.Warn("link: lost, but another router reaches the endpoint", zap.String("to", string(at)), zap.String("via", string(helper)),
		zap.Int("lost", count), zap.Error(cause))
	if d.OnLost != nil {
		d.OnLost(at)
	}
}

// Expire forgets what is not used any more. It is to be called regularly.
func (d *Dialer) Expire(now time.Time) {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.links.Expire(now)
	d.lost.Update(int64(d.links.Count()))
}

// openThrough asks a helper for a connection to an endpoint, and measures how long its answer takes. The connection lasts until it is closed,
// also if ctx ends.
func (d *Dialer) openThrough(ctx context.Context, helper, at jaywind.Address) attempt {
	a := attempt{helper: helper}
	start := time.Now()
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	client := connect.NewClient[upward, downward](d.HTTP, "http://"+string(helper)+Path, cbor.ClientOptions()...)
	s := client.CallBidiStream(life)
	m := &downward{}
	if a.err = s.Send(&upward{Endpoint: string(at)}); a.err == nil {
		m, a.err = s.Receive()
	}
	if a.err == nil {
		took := time.Since(start)
		if m.Opened == outcomeUnreachable {
			took -= helpTimeout // for which the helper has waited
		}
		d.recordAnswer(took)
	}
	switch {
	case a.err != nil:
	case m.Opened != outcomeConnected:
		a.outcome, a.err = m.Opened, errors.New(m.Opened.String())
	case !stop():
		a.outcome, a.err = m.Opened, ctx.Err()
	}
	if a.err != nil {
		cancel()
		_ = s.CloseRequest() // without it the transport would not notice the cancellation
		_ = s.CloseResponse()
		return a
	}
	near, far := net.Pipe()
	c := &Conn{Conn: near, helper: helper, cancel: cancel}
	d.Calls.Go(func(stopped context.Context) {
		defer context.AfterFunc(stopped, func() { _ = c.Close() })()
		c.receive(far, s)
	})
	d.Calls.Go(func(context.Context) { c.forward(far, s) })
	a.conn, a.outcome = c, outcomeConnected
	return a
}

// recordAnswer records how long a helper's answer took.
func (d *Dialer) recordAnswer(took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.help.Record(took, time.Now())
}

// recordNoAnswer records that no helper has answered within the limit.
func (d *Dialer) recordNoAnswer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.help.RecordTimeout(time.Now())
}

// recordHelpful records that a helper has connected to an endpoint.
func (d *Dialer) recordHelpful(helper jaywind.Address) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.helpers.RecordSuccess(helper)
}

// recordUnhelpful records that a helper could not connect for a reason that does not lie with the endpoint.
func (d *Dialer) recordUnhelpful(helper jaywind.Address) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.helpers.RecordFailure(helper, time.Now())
}
