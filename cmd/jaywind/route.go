package main

import (
	"context"
	"errors"
	"hash/fnv"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/embed"
	"jaywind/internal/backend/engine"
	"jaywind/internal/backend/service"
	"jaywind/internal/edge/caller"
	"jaywind/internal/edge/operator"
	"jaywind/internal/fleet/cbor"
	"jaywind/internal/fleet/gossip"
	"jaywind/internal/fleet/journal"
	"jaywind/internal/fleet/ledger"
	"jaywind/internal/operator/burn"
	"jaywind/internal/operator/scrape"
	"jaywind/internal/operator/settings"
	"jaywind/internal/platform/store"
	"jaywind/internal/platform/vms"
	"jaywind/internal/platform/weights"
)

const (
	headerLimit   = 1 << 16 // bytes
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
	closeTimeout  = 5 * time.Second
)

func route(ctx context.Context, c *console) int {
	f := c.flags()
	file := f.String("settings", "", "settings `file` of this router")
	if code, more := c.parse(f); !more {
		return code
	}
	s, err := loadSettings(*file)
	if err != nil {
		return c.fail(err)
	}
	log, err := newLog(s.Log.Level)
	if err != nil {
		return c.fail(err)
	}
	defer func() { _ = log.Sync() }()
	if err := serve(ctx, s, log); err != nil {
		return c.fail(err)
	}
	return exitOK
}

func newLog(level string) (*zap.Logger, error) {
	l, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, err
	}
	config := zap.NewProductionConfig()
	config.Level = l
	return config.Build()
}

// serve runs a router with its ports until ctx ends, and then until its work is finished.
func serve(ctx context.Context, s settings.Settings, log *zap.Logger) error {
	platform := &store.Client{URL: jaywind.Address(s.Store.URL)}
	committer := &ledger.Committer{Store: platform}
	defer committer.Wait()
	r := newRouter(s, log, committer)
	platform.Routers = func() int { return len(r.Members()) }
	h := &caller.Handler{Router: r, Services: r, Log: log, Entries: func(o jaywind.Organisation) []jaywind.Address { return entriesOf(r, o, s) }}
	o := &operator.Handler{
		Router:  r,
		Secret:  s.Secret,
		Metrics: scrape.Handler(r.Metrics()),
		Burn:    burn.Handler(r.Burn(), jaywind.SystemClock{}),
	}
	fleet := newServer(s.Listen.Fleet, cbor.Guard(s.Secret, newFleetMux(r, committer)))
	fleet.Protocols = cbor.Protocols()
	servers := []*http.Server{newServer(s.Listen.Caller, h.Mux()), newServer(s.Listen.Operator, o.Mux()), fleet}
	servers[1].Protocols = cbor.Protocols()
	running, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	var group conc.WaitGroup
	for _, v := range servers {
		group.Go(func() {
			if err := v.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
				cancel(err)
			}
		})
	}
	group.Go(func() { drain(ctx, running, r, h, log); cancel(nil) })
	log.Info("router: serving callers", zap.String("address", s.Listen.Caller))
	err := r.Run(running)
	closing, stop := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer stop()
	for _, v := range servers {
		_ = v.Shutdown(closing)
	}
	group.Wait()
	if cause := context.Cause(running); err == nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// drain waits for the signal to stop, and then until what the router has is finished.
func drain(ctx, running context.Context, r *embed.Router, h *caller.Handler, log *zap.Logger) {
	select {
	case <-ctx.Done():
	case <-running.Done():
		return
	}
	log.Info("router: stopping, nothing new is taken")
	if r.Drain(running) == nil {
		h.Wait(running)
	}
	log.Info("router: all work is finished")
}

func newRouter(s settings.Settings, log *zap.Logger, committer *ledger.Committer) *embed.Router {
	claims := &ledger.Router{Self: s.Name(), Local: committer, Remote: &ledger.Client{HTTP: cbor.NewHTTPClient(s.Secret)}}
	peers := &gossip.Client{HTTP: cbor.NewHTTPClient(s.Secret)}
	r := &embed.Router{
		Self:     s.Name(),
		Domain:   jaywind.Domain(s.Domain),
		Seed:     seedOf(s.VM),
		Engine:   &engine.Client{},
		Fleet:    jaywind.Address("http://" + s.Listen.Fleet),
		Entry:    jaywind.Address("http://" + s.Listen.Caller),
		Gossiper: peers,
		Copier:   peers,
		Service:  &service.Client{},
		Claims:   claims,
		Store:    committer.Store,
		Log:      log,
		Journal:  &journal.Client{HTTP: cbor.NewHTTPClient(s.Secret)},
	}
	claims.Members = r.Members
	for _, u := range s.Fleet.Seeds {
		r.Seeds = append(r.Seeds, jaywind.Address(u))
	}
	if s.Weights.URL != "" {
		r.Weights = &weights.Client{URL: jaywind.Address(s.Weights.URL)}
	}
	if s.Directory.URL != "" {
		r.Directory = &vms.Client{URL: jaywind.Address(s.Directory.URL)}
	}
	if s.Weights.URL != "" {
		r.Weights = &weights.Client{URL: jaywind.Address(s.Weights.URL)}
	}
	return r
}

// newFleetMux returns the handlers for calls from other routers.
func newFleetMux(r *embed.Router, committer *ledger.Committer) http.Handler {
	m := http.NewServeMux()
	journal.Register(m, r.Records())
	m.Handle("/fleet/", gossip.NewHandler(r))
	m.Handle(ledger.Path, ledger.NewHandler(committer))
	return m
}

// newServer bounds what a slow or hostile peer can hold; streams set their own write deadlines.
func newServer(address string, h http.Handler) *http.Server {
	return &http.Server{
		Addr:              address,
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerLimit,
	}
}

func seedOf(vm string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(vm))
	return h.Sum64()
}

// entriesOf returns the home routers of an organisation, or the settings' entries while no router is known.
func entriesOf(r *embed.Router, o jaywind.Organisation, s settings.Settings) []jaywind.Address {
	if homes := r.Entries(o); len(homes) > 0 {
		return homes
	}
	var out []jaywind.Address
	for _, e := range s.Fleet.Entries {
		if a := jaywind.Address(e); a != r.Entry {
			out = append(out, a)
		}
	}
	return out
}
