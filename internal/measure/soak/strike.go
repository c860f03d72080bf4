package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"time"

	"jaywind/internal/standin/relay"
	"jaywind/platform/standin"
)

// nemesis carries out a plan on a fleet.
type nemesis struct {
	fleet  *fleet
	rules  *rules
	record *record
	mends  sync.WaitGroup // of strikes that have not been mended yet
	change sync.Mutex     // held by the roll-out that goes on
	count  int            // of roll-outs
}

// run strikes until the plan or ctx ends, and returns once all is mended.
func (n *nemesis) run(ctx context.Context, plan Plan) {
	begun := time.Now()
	for _, s := range plan.Strikes {
		select {
		case <-time.After(time.Until(begun.Add(s.At))):
		case <-ctx.Done():
			n.mends.Wait()
			return
		}
		n.record.note("strike %s %d %s for %v", s.Kind, s.Target, s.Variant, s.For)
		n.mends.Add(1)
		n.fleet.group.Go(func() {
			defer n.mends.Done()
			n.strike(ctx, s)
		})
	}
	n.mends.Wait()
}

// hold waits for as long as a strike lasts, or until the run is over.
func hold(ctx context.Context, s Strike) {
	select {
	case <-time.After(s.For):
	case <-ctx.Done():
	}
}

func (n *nemesis) strike(ctx context.Context, s Strike) {
	f := n.fleet
	r := f.routers[s.Target%len(f.routers)]
	e := f.replicas[s.Target%len(f.replicas)]
	switch s.Kind {
	case KillRouter:
		n.killRouter(ctx, s, r)
	case KillAll:
		for _, r := range f.routers {
			n.mends.Add(1)
			f.group.Go(func() {
				defer n.mends.Done()
				n.killRouter(ctx, s, r)
			})
		}
	case StopRouter:
		n.stopRouter(ctx, s, r)
	case PauseRouter:
		n.pause(ctx, s, &r.process)
	case ReloadRouter:
		r.signal(syscall.SIGHUP)
	case KillReplica:
		n.killReplica(ctx, s, e)
	case PauseReplica:
		n.pause(ctx, s, &e.process)
	case DrainReplica:
		n.drainReplica(ctx, s, e)
	case FaultReplica:
		n.faultReplica(ctx, s, e)
	case CutReplica:
		defer e.disturb()()
		n.through(ctx, s, e.gate, relay.Faults{Forth: s.Variant == "forth", Back: s.Variant == "back"})
	case DelayReplica:
		defer e.disturb()()
		n.through(ctx, s, e.gate, relay.Faults{Delay: s.For / 10})
	case SilenceReplica:
		defer e.disturb()()
		n.through(ctx, s, e.gate, relay.Faults{Silent: true})
	case ResetReplica:
		defer e.disturb()()
		e.gate.Reset()
	case CutStore:
		defer f.shakeStore(r)()
		n.through(ctx, s, r.store, relay.Faults{Forth: s.Variant == "forth", Back: s.Variant == "back"})
	case SilenceStore:
		defer f.shakeStore(r)()
		n.through(ctx, s, r.store, relay.Faults{Silent: true})
	case StoreOutage:
		defer f.shakeStore(nil)()
		n.operate(s.Variant, f.operator().Fail(s.Variant))
		hold(ctx, s)
		n.operate("none", f.operator().Fail("none"))
	case ForgetHistory:
		defer f.shakeStore(nil)()
		n.operate("forget", f.operator().Forget())
	case LapseLeases:
		defer f.shakeStore(nil)()
		n.operate("lapse", f.operator().Lapse())
	case RollOut:
		n.rollOut(ctx, s.Variant == "bad")
	case Configure:
		n.rules.addRoute(f)
	case Revoke:
		n.rules.revoke(f)
	}
}

// operate notes that the store has not taken an order.
func (n *nemesis) operate(order string, err error) {
	if err != nil {
		n.record.note("the store does not take %s: %v", order, err)
	}
}

func (n *nemesis) through(ctx context.Context, s Strike, g *gate, f relay.Faults) {
	g.Set(f)
	hold(ctx, s)
	g.Set(relay.Faults{})
}

// restart starts a process and notes when it can't.
func (n *nemesis) restart(p *process) {
	if err := p.start(); err != nil {
		n.record.fail("start", "", fmt.Sprintf("%s does not start: %v", p.name, err))
	}
}

func (n *nemesis) killRouter(ctx context.Context, s Strike, r *router) {
	if !r.claim() {
		return
	}
	defer r.release()
	defer r.disturb()()
	r.signal(syscall.SIGKILL)
	r.wait(longest)
	hold(ctx, s)
	n.restart(&r.process)
	n.awaitReady(r)
}

// stopRouter lets a router finish; it is disturbed only from its end on.
func (n *nemesis) stopRouter(ctx context.Context, s Strike, r *router) {
	if !r.claim() {
		return
	}
	defer r.release()
	asked := time.Now()
	r.signal(syscall.SIGTERM)
	if !r.wait(grace) {
		n.record.fail("end", "", r.name+" did not end within its grace")
		r.signal(syscall.SIGKILL)
		r.wait(longest)
	}
	defer r.rest(asked)()
	hold(ctx, s)
	n.restart(&r.process)
	n.awaitReady(r)
}

// awaitReady waits until a router that was started serves; it can't while the store is away and all others are as new.
func (n *nemesis) awaitReady(r *router) {
	for end := time.Now().Add(startLimit); time.Now().Before(end) && !r.isReady(); {
		time.Sleep(50 * time.Millisecond)
	}
}

func (n *nemesis) pause(ctx context.Context, s Strike, p *process) {
	if !p.claim() {
		return
	}
	defer p.release()
	defer p.disturb()()
	p.signal(syscall.SIGSTOP)
	hold(ctx, s)
	p.signal(syscall.SIGCONT)
}

func (n *nemesis) killReplica(ctx context.Context, s Strike, e *replica) {
	if !e.claim() {
		return
	}
	defer e.release()
	defer e.disturb()()
	e.signal(syscall.SIGKILL)
	e.wait(longest)
	hold(ctx, s)
	e.renew(n.fleet, s.Variant == "new id")
	n.restart(&e.process)
}

// drainReplica takes a replica out of service as planned work does.
func (n *nemesis) drainReplica(ctx context.Context, s Strike, e *replica) {
	if !e.claim() {
		return
	}
	defer e.release()
	if err := standin.Post("http://"+e.address+"/drain", nil); err != nil {
		n.record.note("%s takes no order to drain: %v", e.name, err)
		return
	}
	hold(ctx, Strike{For: drainTime + 5*time.Second}) // for the streams that it has
	defer e.disturb()()
	e.signal(syscall.SIGKILL)
	e.wait(longest)
	hold(ctx, s)
	e.renew(n.fleet, true)
	n.restart(&e.process)
}

// faults of a replica by their names.
var faults = map[string]standin.Faults{
	"shed": {Shed: true}, "error": {Error: true}, "lose": {Lose: true}, "hang": {Hang: true}, "extra": {Extra: true},
	"cut": {CutAt: events / 3}, "mute": {MuteAt: events / 3}, "jump": {JumpAt: events / 3}, "foreign": {Foreign: true}, "encoded": {Encoded: true},
}

func (n *nemesis) faultReplica(ctx context.Context, s Strike, e *replica) {
	if !e.claim() {
		return
	}
	defer e.release()
	defer e.disturb()()
	n.setFaults(e, faults[s.Variant])
	hold(ctx, s)
	n.setFaults(e, standin.Faults{})
}

func (n *nemesis) setFaults(e *replica, f standin.Faults) {
	b, err := json.Marshal(f)
	if err == nil {
		err = standin.Post("http://"+e.address+"/faults", b)
	}
	if err != nil {
		n.record.note("%s takes no fault: %v", e.name, err)
	}
}
