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
	"jaywind/internal/edge/caller"
	"jaywind/internal/fleet/cbor"
	"jaywind/internal/fleet/journal"
	"jaywind/internal/operator/settings"
	"jaywind/internal/platform/store"
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

// serve runs a router with its ports until ctx ends.
func serve(ctx context.Context, s settings.Settings, log *zap.Logger) error {
	r := &embed.Router{
		Self:   s.Name(),
		Domain: jaywind.Domain(s.Domain),
		Seed:   seedOf(s.VM),
		Engine: &engine.Client{},
		Fleet:  jaywind.Address("http://" + s.Listen.Fleet),
		Entry:  jaywind.Address("http://" + s.Listen.Caller),
		Store:  &store.Client{URL: jaywind.Address(s.Store.URL)},
		Log:    log,

		Journal: &journal.Client{HTTP: cbor.NewHTTPClient(s.Secret)},
	}
	h := &caller.Handler{Router: r, Log: log, Entries: func(jaywind.Organisation) []jaywind.Address { return entriesOf(s) }}
	fleet := newServer(s.Listen.Fleet, cbor.Guard(s.Secret, newFleetMux(r)))
	fleet.Protocols = cbor.Protocols()
	servers := []*http.Server{newServer(s.Listen.Caller, h.Mux()), fleet}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var group conc.WaitGroup
	for _, v := range servers {
		group.Go(func() {
			if err := v.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
				cancel(err)
			}
		})
	}
	log.Info("router: serving callers", zap.String("address", s.Listen.Caller))
	err := r.Run(ctx)
	closing, stop := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer stop()
	for _, v := range servers {
		_ = v.Shutdown(closing)
	}
	group.Wait()
	if cause := context.Cause(ctx); err == nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// newFleetMux returns the handlers for calls from other routers.
func newFleetMux(r *embed.Router) http.Handler {
	m := http.NewServeMux()
	journal.Register(m, r.Records())
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

func entriesOf(s settings.Settings) []jaywind.Address {
	out := []jaywind.Address{jaywind.Address("http://" + s.Listen.Caller)}
	for _, e := range s.Fleet.Entries {
		if a := jaywind.Address(e); a != out[0] {
			out = append(out, a)
		}
	}
	return out
}
