package schedule

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"jaywind"
	"jaywind/internal/core/schedule"
)

const chat jaywind.ServiceName = "chat"

// fault is what is wrong with a router, as seen from the others.
type fault int

const (
	sound    fault = iota
	dead           // it accepts no connections
	frozen         // it accepts calls and does not answer
	outdated       // it runs a build without the handlers
)

// network carries calls between the routers of one process.
type network struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	faults   map[string]fault
	calls    map[string]int // by host and path
	group    conc.WaitGroup
}

func (n *network) set(at jaywind.Address, f fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[string(at)] = f
}

func (n *network) faultOf(host string) (http.Handler, fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.handlers[host], n.faults[host]
}

func (n *network) count(host, path string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[host+path]
}

// RoundTrip calls the handler of a router.
func (n *network) RoundTrip(r *http.Request) (*http.Response, error) {
	h, f := n.faultOf(r.URL.Host)
	n.mu.Lock()
	n.calls[r.URL.Host+r.URL.Path]++
	n.mu.Unlock()
	if f == dead || h == nil {
		return nil, errors.New("connection refused")
	}
	done := make(chan struct{})
	out := httptest.NewRecorder()
	if f == outdated {
		h = http.NotFoundHandler()
	}
	if f != frozen {
		in := r.Clone(r.Context())
		n.group.Go(func() {
			defer close(done)
			h.ServeHTTP(out, in)
		})
	}
	select {
	case <-done:
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	if _, f := n.faultOf(r.URL.Host); f == dead || f == frozen { // it has failed while it held the call
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return out.Result(), nil
}

// fakeRouter is the router of a client.
type fakeRouter struct {
	mu        sync.Mutex
	services  []Service
	endpoints []schedule.Endpoint
	runs      []schedule.Run
	samples   []schedule.Sample
	failed    []schedule.Failure // since the last report
	recorded  []schedule.Failure // of other routers
	reports   []time.Time
	applied   schedule.Summary
	appliedAt time.Time
}

func (f *fakeRouter) Services() []Service {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.services)
}

func (f *fakeRouter) Report(_ jaywind.ServiceName, now time.Time) schedule.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := schedule.Report{Runs: slices.Clone(f.runs), Samples: f.samples, Failed: f.failed}
	f.samples, f.failed = nil, nil
	f.reports = append(f.reports, now)
	return r
}

func (f *fakeRouter) Endpoints(jaywind.ServiceName, time.Time) []schedule.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.endpoints)
}

func (f *fakeRouter) RecordFailures(_ jaywind.ServiceName, failed []schedule.Failure) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recorded = append(f.recorded, failed...)
	f.endpoints = slices.DeleteFunc(f.endpoints, func(e schedule.Endpoint) bool {
		return slices.ContainsFunc(failed, func(g schedule.Failure) bool { return g.Endpoint == e.Key })
	})
}

func (f *fakeRouter) ApplySummary(_ jaywind.ServiceName, sum schedule.Summary, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applied, f.appliedAt = sum, at
}

func (f *fakeRouter) summary() (schedule.Summary, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied, f.appliedAt
}

func (f *fakeRouter) failures() []schedule.Failure {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.recorded)
}

func (f *fakeRouter) setRuns(all ...schedule.Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = all
}

func (f *fakeRouter) reportCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.reports)
}

// fleet is some routers, of which the first one owns all services and the second one is the deputy.
type fleet struct {
	t       *testing.T
	net     *network
	clients []*Client
	routers []*fakeRouter
	stops   []func()
	order   []jaywind.Address // owners by preference
	logs    *observer.ObservedLogs
	log     *zap.Logger
}

// newFleet starts a fleet that serves one service on engines that process slots runs at once. The caller calls stop.
func newFleet(t *testing.T, size, engines, slots int) *fleet {
	t.Helper()
	f := newIdleFleet(t, size, engines, slots)
	for i := range size {
		f.run(i)
	}
	return f
}

// newIdleFleet returns a fleet whose routers answer but do nothing by themselves.
func newIdleFleet(t *testing.T, size, engines, slots int) *fleet {
	t.Helper()
	core, logs := observer.New(zapcore.InfoLevel)
	f := &fleet{t: t, net: &network{handlers: map[string]http.Handler{}, faults: map[string]fault{}, calls: map[string]int{}}, logs: logs, log: zap.New(core)}
	for i := range size {
		f.order = append(f.order, jaywind.Address(fmt.Sprintf("vm%d", i)))
	}
	f.clients, f.routers, f.stops = make([]*Client, size), make([]*fakeRouter, size), make([]func(), size)
	for i := range size {
		f.create(i, engines, slots)
	}
	return f
}

// restart starts the i-th router with no state.
func (f *fleet) restart(i, engines, slots int) {
	f.halt(i)
	f.create(i, engines, slots)
	f.run(i)
}

func (f *fleet) create(i, engines, slots int) {
	r := &fakeRouter{services: []Service{{Name: chat, Capacity: schedule.Capacity{MemoryTokens: 100000}, Active: true}}}
	for e := range engines {
		r.endpoints = append(r.endpoints, schedule.Endpoint{
			Key: schedule.Key(e + 1), Address: jaywind.Address(fmt.Sprintf("http://e%d", e)), Domain: jaywind.Domain(fmt.Sprint(e % 3)), Slots: slots,
		})
	}
	at := jaywind.Address(fmt.Sprintf("vm%d", i))
	c := &Client{
		HTTP: &http.Client{Transport: f.net}, Self: at, VM: jaywind.VM(at), Router: r, Log: f.log, Metrics: metrics.NewRegistry(),
		Owners:  func(_ string, count int) []jaywind.Address { return f.order[:min(count, len(f.order))] },
		Routers: func() int { return len(f.order) },
	}
	m := http.NewServeMux()
	c.Handle(m)
	f.net.mu.Lock()
	f.net.handlers[string(at)] = m
	f.net.mu.Unlock()
	f.clients[i], f.routers[i] = c, r
}

// run starts what the i-th router does by itself.
func (f *fleet) run(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	c := f.clients[i]
	group.Go(func() { c.Run(ctx) })
	f.stops[i] = func() { cancel(); group.Wait() }
}

// halt ends what the i-th router does by itself.
func (f *fleet) halt(i int) {
	if f.stops[i] != nil {
		f.stops[i]()
		f.stops[i] = nil
	}
}

func (f *fleet) stop() {
	for i := range f.clients {
		f.halt(i)
	}
	f.net.group.Wait()
}

// runs returns how many runs the owner counts.
func (f *fleet) runs() int {
	p, _, _ := f.clients[0].ownedService(chat)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Runs()
}

// waiting returns how many requests wait at the owner.
func (f *fleet) waiting() int {
	p, _, _ := f.clients[0].ownedService(chat)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Waiting()
}

// counter returns the value of a counter of the i-th router.
func (f *fleet) counter(i int, name string) int64 {
	return metrics.GetOrRegisterCounter(name, f.clients[i].Metrics).Count()
}

// request returns a request whose prefill is expected to take 125 ms.
func request(id jaywind.RequestID) schedule.Request {
	return schedule.Request{ID: id, Organisation: "o", Arrived: time.Now(), Target: 10 * time.Second, Left: time.Minute, Tokens: 1000, Prefill: 500, Events: 10}
}

// runOf returns the run of a request that was granted and has had its first event.
func runOf(id jaywind.RequestID, d schedule.Decision) schedule.Run {
	return schedule.Run{Request: id, Endpoint: d.Endpoint, Standby: d.Standby, Tokens: 1000, Prefill: 500, Begun: true, Started: time.Now()}
}

// start asks for an engine at the i-th router and reports the run.
func (f *fleet) start(i int, id jaywind.RequestID) schedule.Decision {
	f.t.Helper()
	d, err := f.clients[i].Ask(context.Background(), chat, request(id))
	if err != nil || d.Outcome != schedule.Granted {
		f.t.Fatalf("%s is not granted: %+v, %v", id, d, err)
	}
	r := f.routers[i]
	r.mu.Lock()
	r.runs = append(slices.Clone(r.runs), runOf(id, d))
	r.mu.Unlock()
	f.clients[i].Wake(chat)
	return d
}
