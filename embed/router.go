package embed

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/step"
	"jaywind/internal/core/table"
	"jaywind/internal/fleet/journal"
)

const (
	defaultTickInterval = 20 * time.Millisecond
	eventBuffer         = 1024 // capacity of the event queue
	maxBatch            = 256  // most events in one tick
)

// ErrStopped is returned by the methods of a router that has stopped.
var ErrStopped = eris.New("the router has stopped")

// Router is one router of the fleet. Set its fields before the first method call.
type Router struct {
	Self         jaywind.VM
	Domain       jaywind.Domain
	Seed         uint64
	TickInterval time.Duration // interval between full ticks; 20 ms if zero
	Clock        jaywind.Clock // the system clock if nil
	Engine       jaywind.Engine
	Store        jaywind.Store     // if nil, rules are set with SetRules
	Fleet        jaywind.Address   // address for other routers; if empty, the router runs on its own
	Entry        jaywind.Address   // address for callers
	Seeds        []jaywind.Address // routers to join the fleet through

	Gossiper        jaywind.Gossiper        // if nil, the router runs on its own
	RulesPeer       jaywind.RulesPeer       // if nil, rules are read only from the store
	DemandExchanger jaywind.DemandExchanger // if nil, each home router admits the whole rate of an organisation
	Service         jaywind.Service         // if nil, service calls are not sent
	Claims          ClaimCommitter          // if nil, at-most-once calls fail
	Reporter        jaywind.Reporter        // if nil, reports on moves are sent by gossip
	Weights         jaywind.WeightStore     // paces the loading of versions; not paced if nil
	VMList          jaywind.VMList          // if nil, members are discovered only by gossip
	Journal         jaywind.Journal         // replicates records to peers; if nil, they are not replicated
	Log             *zap.Logger             // no logging if nil

	initOnce       sync.Once
	core           step.Core
	events         chan table.Event
	inspections    chan func() // run between ticks, with access to the state
	stopped        chan struct{}
	group          conc.WaitGroup
	components     []component
	answers        answerSet
	pendingCalls   callSet
	records        journal.RecordStore
	meter          *meter
	ready          atomic.Bool
	stopping       atomic.Bool
	storeReachedAt atomic.Int64 // when a known member last reached the store, as Unix nanoseconds
	members        memberView
	gossip         gossip
	quota          quota
	moves          *moves
	rules          rulesFollower
}

// init sets the defaults. Exported methods call it, because any of them may be called before Run.
func (r *Router) init() {
	r.initOnce.Do(func() {
		if r.TickInterval == 0 {
			r.TickInterval = defaultTickInterval
		}
		if r.Clock == nil {
			r.Clock = jaywind.SystemClock{}
		}
		if r.Log == nil {
			r.Log = zap.NewNop()
		}
		r.core.State = table.New(r.Seed)
		r.core.State.Self = r.Self
		r.core.State.Domain = r.Domain
		r.core.State.Fleet.Self = jaywind.Member{VM: r.Self, Domain: r.Domain, Fleet: r.Fleet, Entry: r.Entry}
		r.core.State.Fleet.Seeds = r.Seeds
		r.members.publish(&r.core.State.Fleet)
		r.events = make(chan table.Event, eventBuffer)
		r.inspections = make(chan func())
		r.stopped = make(chan struct{})
		r.pendingCalls.open = map[jaywind.RequestID]chan table.Respond{}
		r.answers.open = map[table.Listener]*Answer{}
		r.answers.listeners = map[jaywind.RequestID]table.Listener{}
		r.meter = newMeter()
		r.components = r.newComponents()
	})
}

// newComponents returns the components whose required fields are set.
func (r *Router) newComponents() []component {
	r.moves = newMoves(r)
	components := []component{
		&engines{router: r, streams: map[streamKey]context.CancelFunc{}},
		&delivery{router: r},
		&loadPoller{router: r},
		&journalClient{router: r},
		r.moves,
		&services{router: r, cancels: map[jaywind.RequestID][]context.CancelFunc{}},
		&claimRecorder{router: r},
	}
	r.quota.router = r
	components = append(components, &r.quota)
	r.gossip.router = r
	if r.Gossiper != nil {
		components = append(components, &r.gossip)
	}
	if r.VMList != nil {
		components = append(components, &vmListReader{router: r})
	}
	r.rules.router = r
	if r.Store != nil || r.RulesPeer != nil {
		components = append(components, &r.rules)
	}
	return components
}

// Run serves until ctx is done and returns when all goroutines of the router have ended.
func (r *Router) Run(ctx context.Context) error {
	r.init()
	ctx, cancel := context.WithCancel(ctx)
	for _, p := range r.components {
		r.group.Go(func() { p.run(ctx) })
	}
	r.loop(ctx)
	close(r.stopped)
	cancel()
	r.answers.closeAll()
	r.group.Wait()
	return nil
}

// loop runs a tick for each batch of events and a full tick every TickInterval.
func (r *Router) loop(ctx context.Context) {
	ticker := time.NewTicker(r.TickInterval)
	defer ticker.Stop()
	for {
		full := false
		var batch []table.Event
		select {
		case <-ctx.Done():
			return
		case inspect := <-r.inspections:
			inspect()
			continue
		case <-ticker.C:
			full = true
		case e := <-r.events:
			batch = append(batch, e)
		}
		batch = r.fillBatch(batch)
		commands := r.core.Step(r.Clock.Now(), full, batch)
		r.meter.observe(r.core.State, batch, commands)
		for _, c := range commands {
			r.execute(ctx, c)
		}
		r.members.publish(&r.core.State.Fleet)
		if at := r.core.State.Fleet.StoreReachedAt; !at.IsZero() {
			r.storeReachedAt.Store(at.UnixNano())
		}
		r.stopping.Store(r.core.State.Stopping)
		r.ready.Store(r.core.State.Rules != nil && !r.core.State.Stopping)
	}
}

// fillBatch adds the events that are queued already, up to maxBatch.
func (r *Router) fillBatch(batch []table.Event) []table.Event {
	for len(batch) < maxBatch {
		select {
		case e := <-r.events:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// execute passes a command to the component that handles it.
func (r *Router) execute(ctx context.Context, c table.Command) {
	for _, p := range r.components {
		if p.execute(ctx, c) {
			return
		}
	}
	r.Log.Error("router: no component handles the command", zap.String("command", fmt.Sprintf("%T", c)))
}

// post queues an event for the loop. It returns false if the router has stopped.
func (r *Router) post(e table.Event) bool {
	select {
	case r.events <- e:
		return true
	case <-r.stopped:
		return false
	}
}

// Ready reports whether rules are in force and no shutdown has begun.
func (r *Router) Ready() bool {
	return r.ready.Load()
}
