package ports

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/embed"
	"jaywind/internal/core/memory"
	"jaywind/internal/edge/caller"
	"jaywind/internal/edge/http1"
	"jaywind/internal/edge/operator"
	"jaywind/internal/fleet/cbor"
	"jaywind/internal/fleet/evidence"
	"jaywind/internal/fleet/gossip"
	"jaywind/internal/fleet/journal"
	"jaywind/internal/fleet/ledger"
	"jaywind/internal/fleet/quota"
	"jaywind/internal/operator/burn"
	"jaywind/internal/operator/scrape"
	"jaywind/internal/operator/settings"
	"jaywind/internal/provider/store"
)

const (
	maxHeaderBytes = 1 << 16
	headerSlack    = 4 << 10 // that the HTTP server reads beyond maxHeaderBytes before it refuses a head
	headerTimeout  = 5 * time.Second
	idleTimeout    = time.Minute
	closeTimeout   = 5 * time.Second
)

// Daemon is a router with its three ports. Set the exported fields before calling Listen.
type Daemon struct {
	Settings settings.Settings
	Store    jaywind.Store // defaults to a client of the store in Settings
	Log      *zap.Logger   // nil disables logging

	router        *embed.Router
	storeClient   *store.Client // nil if Store was set by the user of Daemon
	committer     *ledger.Committer
	recall        *ledger.Recall
	callerHandler *caller.Handler
	ports         []port
	kill          context.CancelCauseFunc
	killed        context.Context
}

// port is one server with its listener.
type port struct {
	server   *http.Server
	bound    *http1.Listener
	listener net.Listener // of bound
}

// Listen binds the ports and assembles the router. It replaces the addresses in Settings.Listen by the bound ones, as a
// port of 0 selects a free port.
func (d *Daemon) Listen() error {
	if d.Log == nil {
		d.Log = zap.NewNop()
	}
	if d.Store == nil {
		d.storeClient = &store.Client{
			URL:         jaywind.Address(d.Settings.Store.URL),
			RouterCount: func() int { return len(d.router.Members()) },
			Log:         d.Log,
		}
		d.Store = d.storeClient
	}
	d.killed, d.kill = context.WithCancelCause(context.Background())
	l := &d.Settings.Listen
	for _, at := range []*string{&l.Caller, &l.Operator, &l.Fleet} {
		listener, err := net.Listen("tcp", *at)
		if err != nil {
			d.closePorts()
			return err
		}
		*at = listener.Addr().String()
		bound := &http1.Listener{Listener: listener}
		d.ports = append(d.ports, port{bound: bound, listener: bound})
	}
	d.assemble()
	return nil
}

// assemble creates the router and the servers. It runs after the ports are bound, since the router announces their
// addresses.
func (d *Daemon) assemble() {
	d.recall = &ledger.Recall{Self: d.Settings.Name(), Store: d.Store, Span: time.Duration(d.Settings.Store.Recall) * time.Second, Log: d.Log}
	d.committer = &ledger.Committer{Store: d.Store, Recall: d.recall}
	d.router = newRouter(d.Settings, d.Log, d.committer)
	d.recall.Metrics = d.router.Metrics()
	if d.storeClient != nil {
		d.storeClient.Metrics = d.router.Metrics()
	}
	d.callerHandler = &caller.Handler{Router: d.router, Services: d.router, Log: d.Log, Entries: d.entries}
	operators := &operator.Handler{
		Router:  d.router,
		Secret:  d.Settings.Secret,
		Metrics: scrape.Handler(d.router.Metrics()),
		Burn:    burn.Handler(d.router.SLORecorder(), jaywind.SystemClock{}),
	}
	fleet := cbor.RequireSecret(d.Settings.Secret, d.fleetMux())
	for i, h := range []http.Handler{http1.Whole(d.callerHandler.Mux()), http1.Whole(operators.Mux()), fleet} {
		d.ports[i].server = newServer(h)
	}
	d.boundPorts()
	last := &d.ports[len(d.ports)-1]
	traffic := cbor.TrafficCounter{
		In:  metrics.GetOrRegisterCounter("fleet.bytes.in", d.router.Metrics()),
		Out: metrics.GetOrRegisterCounter("fleet.bytes.out", d.router.Metrics()),
	}
	last.listener = traffic.Listener(last.listener)
}

// boundPorts bounds what the connections of each port may take.
func (d *Daemon) boundPorts() {
	plan := memory.Divide(memory.Bytes(d.Settings.Memory) * memory.MB)
	if d.Settings.Memory > 0 {
		debug.SetMemoryLimit(int64(plan.Runtime))
	}
	heads := &memory.Budget{Limit: plan.Heads}
	for i, limit := range []memory.Bytes{plan.Callers, plan.Port, plan.Fleet} { // in the order of the ports
		p := d.ports[i]
		l := p.bound
		l.Memory, l.Heads, l.MaxHead, l.HeadTimeout = &memory.Budget{Limit: limit}, heads, maxHeaderBytes+headerSlack, headerTimeout
		l.Configure(p.server)
	}
}

// fleetMux returns the handler for requests from other routers.
func (d *Daemon) fleetMux() http.Handler {
	m := http.NewServeMux()
	journal.Register(m, d.router.Records())
	m.Handle("/fleet/", gossip.NewHandler(d.router))
	m.Handle(evidence.Path, evidence.NewHandler(d.router))
	m.Handle(quota.Path, quota.NewHandler(d.router))
	m.Handle(ledger.Path, ledger.NewHandler(d.committer))
	ledger.Handle(m, d.committer, d.recall)
	return m
}

// newServer limits the resources that a slow or hostile peer can hold. It sets no write timeout: streams set their own
// write deadlines.
func newServer(h http.Handler) *http.Server {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	cbor.Configure(s)
	return s
}

// Run serves until ctx ends, and then drains: it returns once all work is finished.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.committer.Close()
	running, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	stopKill := context.AfterFunc(d.killed, func() { cancel(nil) })
	defer stopKill()
	var group conc.WaitGroup
	for _, p := range d.ports {
		group.Go(func() {
			if err := p.server.Serve(p.listener); !errors.Is(err, http.ErrServerClosed) {
				cancel(err)
			}
		})
	}
	group.Go(func() { d.drain(ctx, running); cancel(nil) })
	group.Go(func() { d.recall.Run(running) })
	d.Log.Info("router: listening for callers", zap.String("address", d.Settings.Listen.Caller))
	err := d.router.Run(running)
	d.shutdown(ctx)
	group.Wait()
	if cause := context.Cause(running); err == nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// drain waits for ctx to end, and then for all requests to finish.
func (d *Daemon) drain(ctx, running context.Context) {
	select {
	case <-ctx.Done():
	case <-running.Done():
		return
	}
	d.Log.Info("router: draining; new requests are refused")
	if d.router.Drain(running) == nil {
		d.callerHandler.Wait(running)
	}
	d.Log.Info("router: drained")
}

func (d *Daemon) shutdown(ctx context.Context) {
	closing, stop := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer stop()
	for _, p := range d.ports {
		_ = p.server.Shutdown(closing)
	}
}

// Kill closes all connections at once and ends Run without draining, to simulate a crash of the process.
func (d *Daemon) Kill() {
	d.kill(nil)
	d.closePorts()
}

func (d *Daemon) closePorts() {
	for _, p := range d.ports {
		if p.server != nil {
			_ = p.server.Close()
		}
		_ = p.listener.Close()
	}
}

// Router returns the router; call it after Listen.
func (d *Daemon) Router() *embed.Router { return d.router }

// entries returns the entries of an organisation's home routers. While no router is known, it returns the other entries
// in the settings.
func (d *Daemon) entries(o jaywind.Organisation) []jaywind.Address {
	if homes := d.router.HomeEntries(o); len(homes) > 0 {
		return homes
	}
	var out []jaywind.Address
	for _, e := range d.Settings.Fleet.Entries {
		if a := jaywind.Address(e); a != d.router.Entry {
			out = append(out, a)
		}
	}
	return out
}
