package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"jaywind/internal/standin/relay"
	"jaywind/platform/standin"
)

// injector injects the faults of a plan into a fleet.
type injector struct {
	fleet        *fleet
	config       *operatorConfig
	checker      *checker
	active       sync.WaitGroup // faults that have not been removed yet
	rolloutLock  sync.Mutex     // held by the roll-out in progress
	rollouts     int            // number of roll-outs so far
	crashLock    sync.Mutex     // held while requests with a part that crashes engines are sent
	crashSeries  int            // number of such parts so far
	repeatLock   sync.Mutex     // held while a request that crashes replicas is repeated
	repeatSeries int            // number of such requests so far
	storeLock    sync.Mutex     // held while the store has a copy to come back from
	linkLock     sync.Mutex     // held while the links of routers are cut
	burstLock    sync.Mutex     // held during a burst of streams
	bursts       int            // number of bursts so far

	orderLock sync.Mutex
	order     string // version of the roll-out that the operator has ordered last
}

// run injects faults until the plan or ctx ends, and returns once all faults are removed.
func (n *injector) run(ctx context.Context, plan Plan) {
	startedAt := time.Now()
	for _, s := range plan.Faults {
		select {
		case <-time.After(time.Until(startedAt.Add(s.Start))):
		case <-ctx.Done():
			n.active.Wait()
			return
		}
		n.checker.logf("fault: %s, target %d, variant %q, for %v", s.Kind, s.Target, s.Variant, s.Duration)
		n.active.Add(1)
		n.fleet.group.Go(func() {
			defer n.active.Done()
			n.inject(ctx, s)
		})
	}
	n.active.Wait()
}

// waitFault waits for the duration of a fault, or until ctx ends.
func waitFault(ctx context.Context, s Fault) {
	select {
	case <-time.After(s.Duration):
	case <-ctx.Done():
	}
}

func (n *injector) inject(ctx context.Context, s Fault) {
	f := n.fleet
	r := f.routers[s.Target%len(f.routers)]
	e := f.replicas[s.Target%len(f.replicas)]
	switch s.Kind {
	case KillRouter:
		n.killRouter(ctx, s, r)
	case KillAll:
		for _, r := range f.routers {
			n.active.Add(1)
			f.group.Go(func() {
				defer n.active.Done()
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
	case FaultReplica, FloodReplica:
		n.faultReplica(ctx, s, e)
	case CutReplica:
		defer e.disturb()()
		n.setLinkFaults(ctx, s, e.proxy, relay.Faults{HoldToTarget: s.Variant == "forth", HoldFromTarget: s.Variant == "back"})
	case DelayReplica:
		defer e.disturb()()
		n.setLinkFaults(ctx, s, e.proxy, relay.Faults{Delay: s.Duration / 10})
	case BlackholeReplica:
		defer e.disturb()()
		n.setLinkFaults(ctx, s, e.proxy, relay.Faults{Blackhole: true})
	case ResetReplica:
		defer e.disturb()()
		e.proxy.Reset()
	case CutStore:
		defer f.disturbStore(r)()
		n.setLinkFaults(ctx, s, r.storeProxy, relay.Faults{HoldToTarget: s.Variant == "forth", HoldFromTarget: s.Variant == "back"})
	case BlackholeStore:
		defer f.disturbStore(r)()
		n.setLinkFaults(ctx, s, r.storeProxy, relay.Faults{Blackhole: true})
	case StoreOutage:
		defer f.disturbStore(nil)()
		n.logRefused(s.Variant, f.operator().SetOutage(s.Variant))
		waitFault(ctx, s)
		n.logRefused("none", f.operator().SetOutage("none"))
	case ForgetHistory:
		defer f.disturbStore(nil)()
		n.logRefused("forget", f.operator().CompactHistory())
	case ExpireLeases:
		defer f.disturbStore(nil)()
		n.logRefused("lapse", f.operator().ExpireLeases())
	case RestoreStore:
		n.restoreStore(ctx, s)
	case LeaveReplica:
		n.leaveReplica(ctx, s, e)
	case PauseCalls:
		n.pauseCalls(ctx, s, e)
	case CrashEngines:
		n.crashEngines(ctx, s)
	case RepeatDeadly:
		n.repeatDeadly(ctx, s)
	case LimitReplicas:
		n.limitReplicas(ctx, s, e)
	case CutLinks:
		n.cutLinks(ctx, s)
	case BurstBulk:
		n.burst(ctx, s)
	case StallEngines:
		n.stallEngines(ctx, s)
	case PauseEngines:
		n.pauseEngines(ctx, s)
	case RollOut:
		n.rollOut(ctx, s.Variant == "bad")
	case Configure:
		n.config.addRoute(f)
	case Revoke:
		n.config.rotateKey(f)
	}
}

// logRefused logs that the store refused an administrative request.
func (n *injector) logRefused(operation string, err error) {
	if err != nil {
		n.checker.logf("store refused %s: %v", operation, err)
	}
}

func (n *injector) setLinkFaults(ctx context.Context, s Fault, g *proxy, f relay.Faults) {
	g.Set(f)
	waitFault(ctx, s)
	g.Set(relay.Faults{})
}

// restart starts a process and reports a violation if that fails.
func (n *injector) restart(p *process) {
	if err := p.start(); err != nil {
		n.checker.report("start", "", fmt.Sprintf("%s did not start: %v", p.name, err))
	}
}

func (n *injector) killRouter(ctx context.Context, s Fault, r *router) {
	if !r.claim() {
		return
	}
	defer r.release()
	defer r.disturb()()
	r.signal(syscall.SIGKILL)
	r.waitExit(maxFaultTime)
	waitFault(ctx, s)
	n.restart(&r.process)
	n.awaitReady(r)
}

// stopRouter stops a router by SIGTERM. While the router shuts down gracefully it counts as undisturbed.
func (n *injector) stopRouter(ctx context.Context, s Fault, r *router) {
	if !r.claim() {
		return
	}
	defer r.release()
	requestedAt := time.Now()
	r.signal(syscall.SIGTERM)
	if !r.waitExit(grace) {
		n.checker.report("end", "", r.name+" did not exit within its grace period")
		r.signal(syscall.SIGKILL)
		r.waitExit(maxFaultTime)
	}
	defer r.recordDowntime(requestedAt)()
	waitFault(ctx, s)
	n.restart(&r.process)
	n.awaitReady(r)
}

// awaitReady waits until a restarted router is ready. With the store unavailable it can't become ready while all other routers
// have just started too.
func (n *injector) awaitReady(r *router) {
	for end := time.Now().Add(startTimeout); time.Now().Before(end) && !r.isReady(); {
		time.Sleep(50 * time.Millisecond)
	}
}

func (n *injector) pause(ctx context.Context, s Fault, p *process) {
	if !p.claim() {
		return
	}
	defer p.release()
	defer p.disturb()()
	p.signal(syscall.SIGSTOP)
	waitFault(ctx, s)
	p.signal(syscall.SIGCONT)
}

// Bounds of the time for which an engine falls silent.
const (
	minSilence = 800 * time.Millisecond
	maxSilence = 1600 * time.Millisecond
)

// stallEngines lets one or more engines fall silent and go on.
func (n *injector) stallEngines(ctx context.Context, s Fault) {
	engines, count := n.fleet.engines(), 1
	if strings.Contains(s.Variant, "many") {
		count = min(len(engines), 2+s.Target/len(engines)%len(engines))
	}
	if strings.Contains(s.Variant, "configuration") {
		n.config.addRoute(n.fleet)
	}
	for i := range count {
		n.active.Add(1)
		n.fleet.group.Go(func() {
			defer n.active.Done()
			n.stallEngine(ctx, s, engines[(s.Target+i)%len(engines)])
		})
	}
}

const pauseSeries = 3 // pauses of all engines

// pauseEngines stops all engines and lets them go on, several times.
func (n *injector) pauseEngines(ctx context.Context, s Fault) {
	for range pauseSeries {
		if ctx.Err() != nil {
			return
		}
		if strings.Contains(s.Variant, "configuration") {
			n.config.addRoute(n.fleet)
		}
		var group conc.WaitGroup
		for i, e := range n.fleet.engines() {
			group.Go(func() {
				if strings.Contains(s.Variant, "overlapping") {
					waitFault(ctx, Fault{Duration: time.Duration(i%3) * minSilence / 3})
				}
				n.stallEngine(ctx, Fault{Variant: "stop", Duration: s.Duration}, e)
			})
		}
		group.Wait()
		waitFault(ctx, Fault{Duration: minSilence})
	}
}

// stallEngine stops an engine and lets it go on, or lets its streams be silent after an event.
func (n *injector) stallEngine(ctx context.Context, s Fault, e *replica) {
	if !e.claim() {
		return
	}
	defer e.release()
	defer e.silence()()
	silence := Fault{Duration: minSilence + s.Duration%(maxSilence-minSilence)}
	if strings.HasPrefix(s.Variant, "stop") {
		e.signal(syscall.SIGSTOP)
		waitFault(ctx, silence)
		e.signal(syscall.SIGCONT)
		return
	}
	n.setFaults(e, standin.Faults{StallAfter: streamEvents / 3, StallMs: int(silence.Duration.Milliseconds())})
	waitFault(ctx, s)
	n.setFaults(e, standin.Faults{})
	waitFault(ctx, silence) // for the streams that are silent
}

const (
	crashPart      = "bad" // begins the names of the parts that crash engines
	deadlyCallers  = 3
	deadlyNumber   = 100_000 // number of the first of them
	deadlyTime     = 9 * time.Second
	deadlyInterval = 100 * time.Millisecond // between two looks for engines that have crashed
)

// crashEngines sends requests with a part in common that crashes engines, and starts these under new ids after the time of the fault.
func (n *injector) crashEngines(ctx context.Context, s Fault) {
	if !n.crashLock.TryLock() {
		return
	}
	defer n.crashLock.Unlock()
	asking, stop := context.WithTimeout(ctx, deadlyTime)
	defer stop()
	var group conc.WaitGroup
	for i := range deadlyCallers {
		c := &caller{number: deadlyNumber + n.crashSeries*deadlyCallers + i, fleet: n.fleet, config: n.config, checker: n.checker, part: fmt.Sprintf("%s%d", crashPart, n.crashSeries),
			random: rand.New(rand.NewPCG(uint64(s.Target), uint64(i)))} //nolint:gosec // not used for security
		group.Go(func() { c.run(asking) })
	}
	n.crashSeries++
	for asking.Err() == nil {
		n.restartCrashed(s.Duration)
		time.Sleep(deadlyInterval)
	}
	group.Wait()
	time.Sleep(transitTime) // for the last runs to crash their engines
	for ctx.Err() == nil && n.restartCrashed(s.Duration) {
		time.Sleep(deadlyInterval)
	}
}

const (
	crashBody       = "deadly" // begins the bodies of requests that crash replicas
	repeatInterval  = 300 * time.Millisecond
	deadlyRequester = 200_000 // number of the first caller of such a request
)

// repeatDeadly sends the same request, which crashes each replica that runs it, again and again by whatever router.
func (n *injector) repeatDeadly(ctx context.Context, s Fault) {
	if !n.repeatLock.TryLock() {
		return
	}
	defer n.repeatLock.Unlock()
	asking, stop := context.WithTimeout(ctx, deadlyTime)
	defer stop()
	c := &caller{number: deadlyRequester + n.repeatSeries, fleet: n.fleet, config: n.config, checker: n.checker, deadly: fmt.Sprintf("%s%d", crashBody, n.repeatSeries), once: s.Variant == "once",
		random: rand.New(rand.NewPCG(uint64(s.Target), 0)), transport: newTransport()} //nolint:gosec // not used for security
	n.repeatSeries++
	defer c.transport.CloseIdleConnections()
	for asking.Err() == nil {
		c.request()
		n.restartCrashed(s.Duration)
		time.Sleep(repeatInterval)
	}
	time.Sleep(transitTime) // for the last runs to crash their replicas
	for ctx.Err() == nil && n.restartCrashed(s.Duration) {
		time.Sleep(deadlyInterval)
	}
}

// restartCrashed starts the replicas that have been down for a time and that no other fault has claimed. It reports whether any is down.
func (n *injector) restartCrashed(downtime time.Duration) (down bool) {
	for _, e := range n.fleet.replicas {
		if e.pid() != 0 {
			continue
		}
		down = true
		if !e.claim() {
			continue
		}
		if e.pid() == 0 && e.downFor() > downtime {
			end := e.recordDowntime(time.Time{})
			e.setArguments(n.fleet, true)
			n.restart(&e.process)
			end()
		}
		e.release()
	}
	return down
}

func (n *injector) killReplica(ctx context.Context, s Fault, e *replica) {
	if !e.claim() {
		return
	}
	defer e.release()
	defer e.disturb()()
	e.signal(syscall.SIGKILL)
	e.waitExit(maxFaultTime)
	waitFault(ctx, s)
	e.setArguments(n.fleet, s.Variant == "new id")
	n.restart(&e.process)
}

// drainReplica drains a replica, kills it and starts it under a new id, as in planned maintenance.
func (n *injector) drainReplica(ctx context.Context, s Fault, e *replica) {
	if !e.claim() {
		return
	}
	defer e.release()
	if err := standin.Post("http://"+e.address+"/drain", nil); err != nil {
		n.checker.logf("%s refused to drain: %v", e.name, err)
		return
	}
	waitFault(ctx, Fault{Duration: drainTime + 5*time.Second}) // for its running streams to end
	defer e.disturb()()
	e.signal(syscall.SIGKILL)
	e.waitExit(maxFaultTime)
	waitFault(ctx, s)
	e.setArguments(n.fleet, true)
	n.restart(&e.process)
}

// replicaFaults maps the variants of FaultReplica and FloodReplica to the faults of the replica.
var replicaFaults = map[string]standin.Faults{
	"shed": {Overloaded: true}, "error": {InternalError: true}, "lose": {ResetAfterRun: true}, "hang": {NeverReply: true}, "extra": {ExtraReply: true},
	"cut": {TruncateAfter: streamEvents / 3}, "mute": {StallAfter: streamEvents / 3}, "jump": {SkipEvent: streamEvents / 3}, "foreign": {WrongAttemptID: true}, "encoded": {ContentEncoding: true},

	"head": {Endless: "head"}, "interim": {Endless: "interim"}, "body": {Endless: "body"}, "chunks": {Endless: "chunks"}, "after": {Endless: "after"},
	"blank": {Endless: "blank", EndlessAt: streamEvents / 3}, "line": {Endless: "line", EndlessAt: streamEvents / 3}, "repeat": {Endless: "repeat", EndlessAt: streamEvents / 3},
}

// callPause is the time for which replicas ask to be left alone.
const callPause = 1200 * time.Millisecond

// restoreStore brings the store back from an older copy. Its other writers write again what it lacks: the operator here, the
// replicas at their next heartbeat.
func (n *injector) restoreStore(ctx context.Context, s Fault) {
	n.storeLock.Lock()
	defer n.storeLock.Unlock()
	o := n.fleet.operator()
	n.logRefused("copy", o.Copy())
	waitFault(ctx, s)
	defer n.fleet.disturbStore(nil)()
	n.logRefused("restore", o.Restore())
	time.Sleep(s.Duration / 4)
	n.config.writeAgain(n.fleet)
	n.writeRolloutAgain()
}

// leaveReplica lets a replica leave that says so in its answers only, and starts it again under a new id.
func (n *injector) leaveReplica(ctx context.Context, s Fault, e *replica) {
	if !e.claim() {
		return
	}
	defer e.release()
	n.setFaults(e, standin.Faults{LeavingHeader: "1"})
	waitFault(ctx, Fault{Duration: drainTime + 3*time.Second}) // for its running streams to end
	defer e.disturb()()
	e.signal(syscall.SIGKILL)
	e.waitExit(maxFaultTime)
	waitFault(ctx, s)
	e.setArguments(n.fleet, true)
	n.restart(&e.process)
}

// pauseCalls lets a replica turn all requests away and ask for pauses. It does not count as disturbed, so that the check of
// the pauses can tell when its refusals may not have arrived.
func (n *injector) pauseCalls(ctx context.Context, s Fault, e *replica) {
	if !e.claim() {
		return
	}
	defer e.release()
	n.setFaults(e, standin.Faults{Overloaded: true, RetryAfter: strconv.FormatFloat(callPause.Seconds(), 'f', 1, 64)})
	waitFault(ctx, s)
	n.setFaults(e, standin.Faults{})
}

const (
	limitRate = 1               // requests per second that a limited replica takes from all routers together
	limitTime = 8 * time.Second // for which it says so
)

// limitReplicas lets a replica, or all of its service, name a limit in their answers.
func (n *injector) limitReplicas(ctx context.Context, s Fault, first *replica) {
	for _, e := range n.fleet.replicas {
		if e != first && (s.Variant == "one" || e.service != first.service) {
			continue
		}
		n.active.Add(1)
		n.fleet.group.Go(func() {
			defer n.active.Done()
			if !e.claim() {
				return
			}
			defer e.release()
			from := time.Now()
			n.setFaults(e, standin.Faults{Limit: strconv.Itoa(limitRate)})
			for ctx.Err() == nil && time.Since(from) < limitTime && e.pid() != 0 { // it may crash, and is not restarted while it is claimed
				waitFault(ctx, Fault{Duration: deadlyInterval})
			}
			n.checker.addLimit(e.id(), span{from: from, until: time.Now()})
			n.setFaults(e, standin.Faults{})
		})
	}
}

func (n *injector) faultReplica(ctx context.Context, s Fault, e *replica) {
	if !e.claim() {
		return
	}
	defer e.release()
	defer e.disturb()()
	n.setFaults(e, replicaFaults[s.Variant])
	waitFault(ctx, s)
	n.setFaults(e, standin.Faults{})
}

func (n *injector) setFaults(e *replica, f standin.Faults) {
	b, err := json.Marshal(f)
	if err == nil {
		err = standin.Post("http://"+e.address+"/faults", b)
	}
	if err != nil {
		n.checker.logf("%s refused a change of its faults: %v", e.name, err)
	}
}
