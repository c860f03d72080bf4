package fleet

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
	"jaywind/internal/edge/ports"
	"jaywind/internal/operator/settings"
	"jaywind/internal/provider/rules"
	"jaywind/internal/standin/engine"
	"jaywind/internal/standin/service"
	"jaywind/internal/standin/store"
)

const (
	// Model is the model that all engines serve.
	Model = jaywind.Model("heat")
	// Version is the version of the model that all engines have loaded at the start.
	Version = jaywind.Version("v1")
	// Service is the only service; calls below /place run at most once.
	Service = jaywind.ServiceName("orders")
)

const (
	readyPollInterval = 5 * time.Millisecond
	anyAddress        = "127.0.0.1:0"
	secret            = "secret-of-the-stand-in"
)

var domains = []jaywind.Domain{"a", "b", "c", "d"}

// Fleet is a complete system; set its fields before Start.
type Fleet struct {
	Engines       int
	Services      int // number of endpoints of Service
	Routers       int
	TokenInterval time.Duration // between two tokens of an engine
	PrefillTime   time.Duration // of an engine, per 1,000 tokens
	BatchSize     int           // runs that an engine serves at full speed; no limit when zero
	IdleTimeout   time.Duration // how long an engine continues a run without a listener

	Store        store.Store
	EngineNodes  []*EngineNode
	ServiceNodes []*ServiceNode
	RouterNodes  []*RouterNode

	group conc.WaitGroup
}

// EngineNode is one engine with its server.
type EngineNode struct {
	Node
	Engine *engine.Engine
}

// Kill ends an engine at once, as a crash of its process would.
func (n *EngineNode) Kill() {
	n.Engine.Halt()
	n.Node.Kill()
}

// ServiceNode is one endpoint of Service with its server.
type ServiceNode struct {
	Node
	Service *service.Service
}

// RouterNode is one router.
type RouterNode struct {
	Name    string
	Address jaywind.Address // for callers
	Daemon  *ports.Daemon
}

// Kill ends a router at once, as a crash of its process would.
func (n *RouterNode) Kill() { n.Daemon.Kill() }

// Node is a server that can be killed.
type Node struct {
	Name    string
	Address jaywind.Address

	server *http.Server
}

// Kill closes the server and all its connections at once.
func (n *Node) Kill() {
	_ = n.server.Close()
}

// Start starts the engines, the service endpoints and then the routers, and returns once all routers are ready.
func (f *Fleet) Start(ctx context.Context) error {
	for i := range f.Engines {
		if err := f.startEngine(i); err != nil {
			return err
		}
	}
	for i := range f.Services {
		if err := f.startService(i); err != nil {
			return err
		}
	}
	repository := rules.Repository{Store: &f.Store, Nonce: "fleet"}
	if _, err := repository.Accept(ctx, rules.Accepted{}, f.rules()); err != nil {
		return err
	}
	for i := range f.Routers {
		if err := f.startRouter(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startEngine(i int) error {
	e := &engine.Engine{
		ID:            jaywind.EndpointID(fmt.Sprintf("e%d", i+1)),
		Model:         Model,
		Version:       Version,
		TokenInterval: f.TokenInterval,
		PrefillTime:   f.PrefillTime,
		BatchSize:     f.BatchSize,
		IdleTimeout:   f.IdleTimeout,
	}
	n, err := f.serve(string(e.ID), e.Handler())
	if err != nil {
		return err
	}
	f.EngineNodes = append(f.EngineNodes, &EngineNode{Node: n, Engine: e})
	return nil
}

func (f *Fleet) startService(i int) error {
	v := &service.Service{Name: fmt.Sprintf("p%d", i+1)}
	n, err := f.serve(v.Name, v.Handler())
	if err != nil {
		return err
	}
	f.ServiceNodes = append(f.ServiceNodes, &ServiceNode{Node: n, Service: v})
	return nil
}

func (f *Fleet) rules() string {
	var b strings.Builder
	fmt.Fprintf(&b, "model %s version=%s # fleet\n", Model, Version)
	for i, n := range f.EngineNodes {
		fmt.Fprintf(&b, "endpoint %s model=%s version=%s url=%s domain=%s # fleet\n",
			n.Name, Model, Version, n.Address, domains[i%len(domains)])
	}
	if len(f.ServiceNodes) > 0 {
		fmt.Fprintf(&b, "service %s path=/place once=yes # fleet\n", Service)
	}
	for i, n := range f.ServiceNodes {
		fmt.Fprintf(&b, "endpoint %s kind=service service=%s url=%s domain=%s # fleet\n",
			n.Name, Service, n.Address, domains[i%len(domains)])
	}
	return b.String()
}

func (f *Fleet) startRouter(ctx context.Context, i int) error {
	d := &ports.Daemon{Store: &f.Store, Settings: f.settings(i)}
	if err := d.Listen(); err != nil {
		return err
	}
	n := &RouterNode{
		Name:    d.Settings.VM,
		Address: jaywind.Address("http://" + d.Settings.Listen.Caller),
		Daemon:  d,
	}
	f.RouterNodes = append(f.RouterNodes, n)
	f.group.Go(func() { _ = d.Run(ctx) })
	return waitReady(ctx, d.Router())
}

func (f *Fleet) settings(i int) settings.Settings {
	s := settings.Settings{
		VM:     fmt.Sprintf("vm%d", i+1),
		Domain: string(domains[i%len(domains)]),
		Secret: secret,
		Listen: settings.Listen{Caller: anyAddress, Operator: anyAddress, Fleet: anyAddress},
	}
	if len(f.RouterNodes) > 0 {
		s.Fleet.Seeds = []string{"http://" + f.RouterNodes[0].Daemon.Settings.Listen.Fleet}
	}
	return s
}

func waitReady(ctx context.Context, r *embed.Router) error {
	for !r.Ready() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// CallerAddresses returns the addresses of all routers for callers, killed routers included.
func (f *Fleet) CallerAddresses() []jaywind.Address {
	var out []jaywind.Address
	for _, n := range f.RouterNodes {
		out = append(out, n.Address)
	}
	return out
}

// Engine returns the engine with an id, or nil.
func (f *Fleet) Engine(id jaywind.EndpointID) *EngineNode {
	for _, n := range f.EngineNodes {
		if n.Name == string(id) {
			return n
		}
	}
	return nil
}

// TokensComputed returns the number of tokens all engines have computed, prefixes included.
func (f *Fleet) TokensComputed() int {
	total := 0
	for _, n := range f.EngineNodes {
		total += n.Engine.TokensComputed()
	}
	return total
}

func (f *Fleet) serve(name string, h http.Handler) (Node, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Node{}, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	f.group.Go(func() { _ = s.Serve(l) })
	return Node{Name: name, Address: jaywind.Address("http://" + l.Addr().String()), server: s}, nil
}

// WaitIdle clears the faults of all engines and waits until their work has ended.
func (f *Fleet) WaitIdle() {
	for _, n := range f.EngineNodes {
		n.Engine.SetFaults(engine.Faults{})
		n.Engine.Wait()
	}
}

// Close kills all nodes and waits until their work has ended.
func (f *Fleet) Close() {
	for _, n := range f.RouterNodes {
		n.Kill()
	}
	for _, n := range f.EngineNodes {
		n.Engine.SetFaults(engine.Faults{})
		n.Kill()
	}
	for _, n := range f.ServiceNodes {
		n.Kill()
	}
	f.group.Wait()
}
