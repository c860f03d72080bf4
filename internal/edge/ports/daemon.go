package ports

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/embed"
	"jaywind/internal/edge/caller"
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
	headerLimit   = 1 << 16 // bytes
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
	closeTimeout  = 5 * time.Second
)

// Daemon is one router with its ports; set the exported fields before Listen.
type Daemon struct {
	Settings settings.Settings
	Store    jaywind.Store // a client of the store that the settings name when nil
	Log      *zap.Logger   // silent when nil

	router    *embed.Router
	client    *store.Client // nil when Store was given
	committer *ledger.Committer
	callers   *caller.Handler
	ports     []port
	kill      context.CancelCauseFunc
	killed    context.Context
}

// port is one server with its listener.
type port struct {
	server   *http.Server
	listener net.Listener
}

// Listen binds the ports and assembles the router; a port of 0 takes any that is free.
func (d *Daemon) Listen() error {
	if d.Log == nil {
		d.Log = zap.NewNop()
	}
	if d.Store == nil {
		d.client = &store.Client{
			URL:     jaywind.Address(d.Settings.Store.URL),
			Routers: func() int { return len(d.router.Members()) },
		}
		d.Store = d.client
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
		d.ports = append(d.ports, port{listener: listener})
	}
	d.assemble()
	return nil
}

// assemble makes the router and the handlers of the ports, whose addresses are known by now.
func (d *Daemon) assemble() {
	d.committer = &ledger.Committer{Store: d.Store}
	d.router = newRouter(d.Settings, d.Log, d.committer)
	if d.client != nil {
		d.client.Metrics = d.router.Metrics()
	}
	d.callers = &caller.Handler{Router: d.router, Services: d.router, Log: d.Log, Entries: d.entries}
	operators := &operator.Handler{
		Router:  d.router,
		Secret:  d.Settings.Secret,
		Metrics: scrape.Handler(d.router.Metrics()),
		Burn:    burn.Handler(d.router.Burn(), jaywind.SystemClock{}),
	}
	fleet := cbor.Guard(d.Settings.Secret, d.fleetMux())
	for i, h := range []http.Handler{d.callers.Mux(), operators.Mux(), fleet} {
		d.ports[i].server = newServer(h)
	}
	last := &d.ports[len(d.ports)-1]
	traffic := cbor.Traffic{
		In:  metrics.GetOrRegisterCounter("fleet.bytes.in", d.router.Metrics()),
		Out: metrics.GetOrRegisterCounter("fleet.bytes.out", d.router.Metrics()),
	}
	last.listener = traffic.Listen(last.listener)
}

// fleetMux returns the handlers for calls from other routers.
func (d *Daemon) fleetMux() http.Handler {
	m := http.NewServeMux()
	journal.Register(m, d.router.Records())
	m.Handle("/fleet/", gossip.NewHandler(d.router))
	m.Handle(evidence.Path, evidence.NewHandler(d.router))
	m.Handle(quota.Path, quota.NewHandler(d.router))
	m.Handle(ledger.Path, ledger.NewHandler(d.committer))
	return m
}

// newServer bounds what a slow or hostile peer can hold; streams set their own write deadlines.
func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		Protocols:         cbor.Protocols(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerLimit,
	}
}

// Run serves until ctx ends, and then until all work is finished.
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
	d.Log.Info("router: serving callers", zap.String("address", d.Settings.Listen.Caller))
	err := d.router.Run(running)
	d.shutdown(ctx)
	group.Wait()
	if cause := context.Cause(running); err == nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// drain waits for the signal to stop, and then until what the router has is finished.
func (d *Daemon) drain(ctx, running context.Context) {
	select {
	case <-ctx.Done():
	case <-running.Done():
		return
	}
	d.Log.Info("router: stopping, nothing new is taken")
	if d.router.Drain(running) == nil {
		d.callers.Wait(running)
	}
	d.Log.Info("router: all work is finished")
}

func (d *Daemon) shutdown(ctx context.Context) {
	closing, stop := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer stop()
	for _, p := range d.ports {
		_ = p.server.Shutdown(closing)
	}
}

// Kill cuts all connections at once and ends Run, as the death of the process would.
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

// Router returns the assembled router, once Listen has returned.
func (d *Daemon) Router() *embed.Router { return d.router }

// entries returns the home routers of an organisation, or the settings' entries while no router is known.
func (d *Daemon) entries(o jaywind.Organisation) []jaywind.Address {
	if homes := d.router.Entries(o); len(homes) > 0 {
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
