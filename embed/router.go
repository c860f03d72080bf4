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
	defaultTick = 20 * time.Millisecond
	eventBuffer = 1024 // events that may wait for the loop
	batchLimit  = 256  // events of one tick
)

// ErrStopped is returned by calls on a router that does not run any more.
var ErrStopped = eris.New("the router has stopped")

// Router is one router of the fleet; set its fields before Run.
type Router struct {
	Self   jaywind.VM
	Domain jaywind.Domain
	Seed   uint64
	Tick   time.Duration // between full ticks; 20 ms when zero
	Clock  jaywind.Clock // the machine's when nil
	Engine jaywind.Engine
	Store  jaywind.Store     // rules are given by SetRules when nil
	Fleet  jaywind.Address   // where other routers reach this one; it stays alone when empty
	Entry  jaywind.Address   // where callers reach this one
	Seeds  []jaywind.Address // routers to begin with

	Gossiper  jaywind.Gossiper        // the router stays alone when nil
	Copier    jaywind.RulesPeer       // rules are read from the store only when nil
	Quota     jaywind.DemandExchanger // each home gives an organisation's whole rate when nil
	Service   jaywind.Service         // no calls to plain services when nil
	Claims    Committer               // no once-only calls when nil
	Reporter  jaywind.Reporter        // reports of moves go by gossip when nil
	Weights   jaywind.WeightStore     // loads of versions are not paced when nil
	Directory jaywind.VMList          // members are known by gossip only when nil
	Journal   jaywind.Journal         // reaches the peers that keep records; none are kept when nil
	Log       *zap.Logger             // silent when nil

	start    sync.Once
	core     step.Core
	events   chan table.Event
	looks    chan func() // run between two ticks
	stopped  chan struct{}
	group    conc.WaitGroup
	parts    []part
	answers  answerSet
	calls    callSet
	book     journal.Book
	meter    *meter
	ready    atomic.Bool
	stopping atomic.Bool
	storeAt  atomic.Int64 // when a known member last reached the store, in Unix nanoseconds
	members  memberView
	gossip   gossip
	quota    quota
	moves    *moves
	rulebook rulebook
}

// init sets the defaults, whichever method comes first.
func (r *Router) init() {
	r.start.Do(func() {
		if r.Tick == 0 {
			r.Tick = defaultTick
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
		r.looks = make(chan func())
		r.stopped = make(chan struct{})
		r.calls.open = map[jaywind.RequestID]chan table.Respond{}
		r.answers.open = map[table.Listener]*Answer{}
		r.answers.current = map[jaywind.RequestID]table.Listener{}
		r.meter = newMeter()
		r.parts = r.newParts()
	})
}

// newParts returns the parts for which the fields that they need are set.
func (r *Router) newParts() []part {
	r.moves = newMoves(r)
	parts := []part{
		&engines{router: r, streams: map[streamKey]context.CancelFunc{}},
		&callers{router: r},
		&loads{router: r},
		&journaler{router: r},
		r.moves,
		&services{router: r, retries: map[jaywind.RequestID][]context.CancelFunc{}},
		&claimant{router: r},
	}
	r.quota.router = r
	parts = append(parts, &r.quota)
	r.gossip.router = r
	if r.Gossiper != nil {
		parts = append(parts, &r.gossip)
	}
	if r.Directory != nil {
		parts = append(parts, &directory{router: r})
	}
	r.rulebook.router = r
	if r.Store != nil || r.Copier != nil {
		parts = append(parts, &r.rulebook)
	}
	return parts
}

// Run serves until ctx ends and returns when all the router's goroutines have.
func (r *Router) Run(ctx context.Context) error {
	r.init()
	ctx, cancel := context.WithCancel(ctx)
	for _, p := range r.parts {
		r.group.Go(func() { p.run(ctx) })
	}
	r.loop(ctx)
	close(r.stopped)
	cancel()
	r.answers.closeAll()
	r.group.Wait()
	return nil
}

// loop runs a tick for each batch of events and a full one at each interval.
func (r *Router) loop(ctx context.Context) {
	ticker := time.NewTicker(r.Tick)
	defer ticker.Stop()
	for {
		full := false
		var batch []table.Event
		select {
		case <-ctx.Done():
			return
		case look := <-r.looks:
			look()
			continue
		case <-ticker.C:
			full = true
		case e := <-r.events:
			batch = append(batch, e)
		}
		batch = r.drain(batch)
		commands := r.core.Step(r.Clock.Now(), full, batch)
		r.meter.observe(r.core.State, batch, commands)
		for _, c := range commands {
			r.execute(ctx, c)
		}
		r.members.publish(&r.core.State.Fleet)
		if at := r.core.State.Fleet.StoreReachedAt; !at.IsZero() {
			r.storeAt.Store(at.UnixNano())
		}
		r.stopping.Store(r.core.State.Stopping)
		r.ready.Store(r.core.State.Rules != nil && !r.core.State.Stopping)
	}
}

func (r *Router) drain(batch []table.Event) []table.Event {
	for len(batch) < batchLimit {
		select {
		case e := <-r.events:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// execute hands a command to the part that it is for.
func (r *Router) execute(ctx context.Context, c table.Command) {
	for _, p := range r.parts {
		if p.execute(ctx, c) {
			return
		}
	}
	r.Log.Error("router: no part takes a command", zap.String("command", fmt.Sprintf("%T", c)))
}

// post hands an event to the loop and returns false once the router has stopped.
func (r *Router) post(e table.Event) bool {
	select {
	case r.events <- e:
		return true
	case <-r.stopped:
		return false
	}
}

// Ready tells whether rules are in force and no shutdown has begun.
func (r *Router) Ready() bool {
	return r.ready.Load()
}
