package suspect

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/suspect"
	"jaywind/internal/fleet/cbor"
)

const (
	collectorCount     = 2                      // routers that collect the losses of a service
	batchTime          = 20 * time.Millisecond  // within which losses are sent together
	callTimeout        = 300 * time.Millisecond // for one call to a router
	maxConcurrentCalls = 16
	undecidedDelay     = 2 * time.Second // before a candidate is looked at again while no run survives
	maxPending         = 256             // losses that wait to be sent; further ones are dropped, as many more are on their way
)

// Router is the part of a router that a Detector uses.
type Router interface {
	// AddQuarantine keeps back the requests of a group, and reports whether that is news.
	AddQuarantine(g suspect.Group) bool
	// LiftQuarantine lets the requests of a group run again, and reports whether that is news.
	LiftQuarantine(g suspect.Group) bool
	// Quarantined returns the groups in force that a prompt with these shared parts has.
	Quarantined(s jaywind.ServiceName, shared []jaywind.PromptPart) []suspect.Group
	// IsLifted reports whether the quarantine of a group was lifted lately.
	IsLifted(g suspect.Group) bool
	// AllowProbe lets one request of a quarantined group run after a delay.
	AllowProbe(g suspect.Group, delay time.Duration)
	// EndProbes lets no request of a quarantined group run, until AllowProbe is called again.
	EndProbes(g suspect.Group)
	// QuarantinesInForce returns all groups that are quarantined.
	QuarantinesInForce() []suspect.Group
	// SoundParts returns those of the parts under which runs have survived their beginning, and whether any run of the service has
	// lately.
	SoundParts(s jaywind.ServiceName, parts []jaywind.PromptPart) (sound []jaywind.PromptPart, survived bool)
}

// Detector exchanges losses and quarantines with the other routers. Set the exported fields before the first call.
type Detector struct {
	HTTP   *http.Client
	Router Router
	// Collectors returns the addresses of the other routers among a number of collectors for a key, and whether this router is one.
	Collectors func(key string, count int) (others []jaywind.Address, self bool)
	Peers      func(most int) []jaywind.Address // returns up to most other routers
	// Persist stores a quarantine, or its end, for routers that start later.
	Persist func(ctx context.Context, g suspect.Group, lifted bool)
	Log     *zap.Logger

	start           sync.Once
	wake            chan struct{}
	mu              sync.Mutex
	pending         []suspect.Loss // of this router, to be sent to their collectors
	history         history
	process         uint64                // drawn at random, so that the others notice a restart
	lifted          []suspect.Group       // by this router, to be announced
	finder          suspect.Finder        // of the services that this router collects for
	changed         bool                  // finder has losses that were not looked at
	requestsChanged bool                  // the same for whole requests
	confirmed       map[string]time.Time  // when the first collector was last asked about a group, by the groups' keys
	known           map[string]knownGroup // by their keys, that this router has quarantined as a collector
}

// knownGroup is a quarantined group and the end of its quarantine.
type knownGroup struct {
	group suspect.Group
	until time.Time
}

func (d *Detector) init() {
	d.start.Do(func() {
		d.wake = make(chan struct{}, 1)
		d.known, d.confirmed = map[string]knownGroup{}, map[string]time.Time{}
		d.process = rand.Uint64()
		if d.Log == nil {
			d.Log = zap.NewNop()
		}
	})
}

// Report sends a loss of this router to its collectors. It does not block.
func (d *Detector) Report(l suspect.Loss) {
	d.init()
	d.mu.Lock()
	if l.ID = rand.Uint64(); len(d.pending) < maxPending {
		d.pending = append(d.pending, l)
	}
	d.mu.Unlock()
	d.signal()
}

// ReportLifted announces the end of a quarantine to all routers. It does not block.
func (d *Detector) ReportLifted(g suspect.Group) {
	d.init()
	d.mu.Lock()
	d.lifted = append(d.lifted, g)
	d.mu.Unlock()
	d.signal()
}

// MembersChanged makes Run hand the losses of this router to collectors that have joined the fleet, or that it has only now learnt of, and
// find out which quarantines this router probes. It does not block.
func (d *Detector) MembersChanged() {
	d.init()
	d.signal()
}

func (d *Detector) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run exchanges losses and quarantines until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	d.init()
	var again <-chan time.Time // nil for never
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-again:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(batchTime):
		}
		d.mu.Lock()
		losses, lifted := d.pending, d.lifted
		d.pending, d.lifted = nil, nil
		d.mu.Unlock()
		for _, g := range lifted {
			d.publish(ctx, g, true)
		}
		resend := time.Duration(0)
		if !d.distribute(ctx, losses) {
			resend = resendDelay
		}
		again = nil
		wait := soonest(resend, soonest(d.evaluate(ctx), d.evaluateRequests(ctx)))
		if wait = soonest(wait, d.assignProbes(ctx)); wait > 0 {
			again = time.After(wait)
		}
	}
}

// distribute hands losses to the collectors of their services, with those that the collectors have missed, and reports whether they have
// all now.
func (d *Detector) distribute(ctx context.Context, losses []suspect.Loss) bool {
	d.mu.Lock()
	now := time.Now()
	d.history.add(losses, now)
	d.history.forget(now, suspect.Group{})
	others, self := d.history.untold(d.Collectors)
	for _, l := range self {
		l.collected = true
	}
	d.mu.Unlock()
	for _, l := range self {
		d.collect(l.Loss)
	}
	p := pool.NewWithResults[bool]().WithMaxGoroutines(maxConcurrentCalls)
	for at, missed := range others {
		latest := missed[max(0, len(missed)-maxReported):]
		p.Go(func() bool { return d.report(ctx, at, latest) && len(latest) == len(missed) })
	}
	return !slices.Contains(p.Wait(), false)
}

// report sends losses to a collector, and reports whether it has these and those of before. It adopts the quarantines that this router has
// missed. A router that starts may miss one because the store has lost it, so it is stored again.
func (d *Detector) report(ctx context.Context, at jaywind.Address, losses []*sentLoss) bool {
	r := &lossReport{}
	for _, l := range losses {
		r.Losses = append(r.Losses, encodeLoss(l.Loss, time.Now()))
	}
	answer, err := send[lossReport, lossResponse](ctx, d, at, lossPath, r)
	if err != nil {
		return false
	}
	d.mu.Lock()
	restarted := d.history.acknowledge(at, answer.Process, losses)
	d.mu.Unlock()
	for _, w := range answer.Quarantined {
		if g := w.decode(); d.Router.AddQuarantine(g) {
			d.Persist(ctx, g, false)
		}
	}
	return !restarted
}

// collect adds a loss to those that this router has collected.
func (d *Detector) collect(l suspect.Loss) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.finder.Add(l, time.Now())
	d.changed, d.requestsChanged = true, true
}

// evaluate quarantines the candidates under which no router knows of a run that has survived, while others have. If no run has survived at
// all, a candidate may be a part of all prompts, so that only the most specific one is quarantined. It returns after which time to look
// again, or 0.
func (d *Detector) evaluate(ctx context.Context) (again time.Duration) {
	for ctx.Err() == nil {
		c, found, wait := d.nextCandidate()
		if !found {
			return wait
		}
		sound, survived := d.soundParts(ctx, c)
		d.mu.Lock()
		if len(sound) > 0 {
			d.finder.Clear(c.Service, sound)
			d.mu.Unlock()
			continue
		}
		if !survived {
			specific, found := d.finder.MostSpecific(c.Service, time.Now())
			if !found || time.Now().Before(d.known[specific.Key()].until) {
				d.mu.Unlock()
				return undecidedDelay
			}
			c = specific
		}
		d.known[c.Key()] = knownGroup{c, time.Now().Add(suspect.QuarantineTime)}
		d.mu.Unlock()
		if d.Router.AddQuarantine(c) {
			d.publish(ctx, c, false)
		}
	}
	return 0
}

// soonest returns the shorter of two times, of which 0 stands for never.
func soonest(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// evaluateRequests quarantines the requests that crash engines, and of which no router knows a run that has survived. It returns after
// which time to look again, or 0.
func (d *Detector) evaluateRequests(ctx context.Context) (again time.Duration) {
	d.mu.Lock()
	suspects, again := map[jaywind.ServiceName][]jaywind.PromptPart(nil), time.Duration(0)
	if d.requestsChanged {
		suspects, again = d.finder.SuspectRequests(time.Now())
		d.requestsChanged = again > 0
	}
	d.mu.Unlock()
	for s, parts := range suspects {
		sound, _ := d.soundParts(ctx, suspect.Group{Service: s, Parts: parts})
		d.mu.Lock()
		d.finder.Clear(s, sound)
		d.mu.Unlock()
	}
	if len(suspects) == 0 {
		return again
	}
	d.mu.Lock()
	found := d.finder.Requests(time.Now())
	d.mu.Unlock()
	for _, g := range found {
		if d.Router.AddQuarantine(g) {
			d.publish(ctx, g, false)
		}
	}
	return again
}

// nextCandidate returns a candidate that is not quarantined yet, or after which time to look for one again, 0 for only after further
// losses.
func (d *Detector) nextCandidate() (c suspect.Group, found bool, again time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.changed {
		return suspect.Group{}, false, 0
	}
	now := time.Now()
	candidates, again := d.finder.Candidates(now)
	for _, c := range candidates {
		if !now.Before(d.known[c.Key()].until) {
			return c, true, 0
		}
	}
	d.changed = again > 0
	return suspect.Group{}, false, again
}

// soundParts returns those of a candidate's parts under which runs have survived at any router, and whether any run of the service has
// lately. The others are not asked if all parts are sound at this one.
func (d *Detector) soundParts(ctx context.Context, c suspect.Group) (sound []jaywind.PromptPart, survived bool) {
	if sound, survived = d.Router.SoundParts(c.Service, c.Parts); len(sound) == len(c.Parts) {
		return sound, survived
	}
	question := encodeGroup(c, false)
	p := pool.NewWithResults[soundParts]().WithMaxGoroutines(maxConcurrentCalls)
	for _, at := range d.Peers(math.MaxInt) {
		p.Go(func() soundParts {
			answer, err := send[group, soundParts](ctx, d, at, soundPath, &question)
			if err != nil {
				return soundParts{}
			}
			return *answer
		})
	}
	for _, answer := range p.Wait() {
		sound = append(sound, parts(answer.Parts)...)
		survived = survived || answer.Any
	}
	return sound, survived
}

// clear forgets what was held against a group that has proved to be sound; the caller holds mu.
func (d *Detector) clear(g suspect.Group) {
	delete(d.known, g.Key())
	d.finder.Clear(g.Service, g.Parts)
	d.history.forget(time.Now(), g)
}

// publish announces a quarantine, or its end, to all routers and stores it.
func (d *Detector) publish(ctx context.Context, g suspect.Group, lifted bool) {
	if lifted {
		d.mu.Lock()
		d.clear(g)
		d.mu.Unlock()
	}
	msg := encodeGroup(g, lifted)
	p := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	for _, at := range d.Peers(math.MaxInt) {
		p.Go(func() { _, _ = send[group, groupResponse](ctx, d, at, quarantinePath, &msg) })
	}
	p.Wait()
	d.Persist(ctx, g, lifted)
}

// send calls another router.
func send[Q, A any](ctx context.Context, d *Detector, at jaywind.Address, path string, msg *Q) (*A, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := connect.NewClient[Q, A](d.HTTP, "http://"+string(at)+path, cbor.ClientOptions()...)
	answer, err := client.CallUnary(ctx, connect.NewRequest(msg))
	if err != nil {
		d.Log.Info("quarantine: router not reached", zap.String("at", string(at)), zap.String("path", path), zap.Error(err))
		return nil, err
	}
	return answer.Msg, nil
}
