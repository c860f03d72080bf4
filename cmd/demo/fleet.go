package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"jaywind"
	"jaywind/embed"
	backend "jaywind/internal/backend/engine"
	"jaywind/internal/edge/caller"
	"jaywind/internal/platform/rules"
	"jaywind/internal/standin/engine"
	"jaywind/internal/standin/store"
)

const size = 3 // of routers and of engines

// fleet is all that runs behind the caller.
type fleet struct {
	gap     time.Duration
	store   store.Store
	engines []*node
	routers []*node
	group   conc.WaitGroup
}

// node is a server that can be killed.
type node struct {
	name    string
	address jaywind.Address
	server  *http.Server
	stop    context.CancelFunc
}

// kill cuts all connections of a node at once, as the death of its process would.
func (n *node) kill() {
	if n.stop != nil {
		n.stop()
	}
	_ = n.server.Close()
}

func (f *fleet) start(ctx context.Context) error {
	for i := range size {
		e := &engine.Engine{
			ID:      jaywind.EndpointID(fmt.Sprintf("e%d", i+1)),
			Model:   "heat",
			Version: "v1",
			Gap:     f.gap,
			Keep:    time.Second,
		}
		n, err := f.serve(string(e.ID), e.Handler())
		if err != nil {
			return err
		}
		f.engines = append(f.engines, n)
	}
	book := rules.Book{Store: &f.store}
	if _, err := book.Accept(ctx, rules.Accepted{}, "demo", f.rules()); err != nil {
		return err
	}
	for i := range size {
		if err := f.startRouter(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) rules() string {
	var b strings.Builder
	b.WriteString("model heat version=v1 # demo\n")
	for i, n := range f.engines {
		fmt.Fprintf(&b, "endpoint %s model=heat version=v1 url=%s domain=%c # demo\n", n.name, n.address, 'a'+i)
	}
	return b.String()
}

func (f *fleet) startRouter(ctx context.Context, i int) error {
	name := fmt.Sprintf("vm%d", i+1)
	r := &embed.Router{Self: jaywind.VM(name), Seed: uint64(i), Engine: &backend.Client{}, Store: &f.store}
	h := &caller.Handler{Router: r, Entries: func(jaywind.Organisation) []jaywind.Address { return f.entries() }}
	n, err := f.serve(name, h.Mux())
	if err != nil {
		return err
	}
	ctx, n.stop = context.WithCancel(ctx)
	f.routers = append(f.routers, n)
	f.group.Go(func() { _ = r.Run(ctx) })
	return waitReady(ctx, r)
}

func waitReady(ctx context.Context, r *embed.Router) error {
	for !r.Ready() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
	return nil
}

func (f *fleet) entries() []jaywind.Address {
	var out []jaywind.Address
	for _, n := range f.routers {
		out = append(out, n.address)
	}
	return out
}

func (f *fleet) serve(name string, h http.Handler) (*node, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{name: name, address: jaywind.Address("http://" + l.Addr().String())}
	n.server = &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	f.group.Go(func() { _ = n.server.Serve(l) })
	return n, nil
}

func (f *fleet) close() {
	for _, n := range append(f.routers, f.engines...) {
		n.kill()
	}
	f.group.Wait()
}
