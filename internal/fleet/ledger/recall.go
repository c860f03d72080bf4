package ledger

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/recall"
	"jaywind/internal/fleet/rendezvous"
	"jaywind/internal/provider/claims"
)

// ErrIncomplete is returned for a claim of a key without a record while claims may be missing after a restore of the store.
var ErrIncomplete = fmt.Errorf("%w: claims of before the restore of the store may be missing", jaywind.ErrStoreUnavailable)

const (
	completeKey     = "claims-complete"      // the last era in which no claims are missing
	recallInterval  = 250 * time.Millisecond // between two looks at the era
	askInterval     = 10 * time.Millisecond  // for each router, between two times that a router asks whether claims are complete
	waitLogInterval = 5 * time.Second        // between two log lines about routers that are waited for
	recallTimeout   = 3 * time.Second        // for recording one batch of claims again
	collectorCount  = 3                      // routers that wait for all others, as some may be cut off from the store
	maxReminders    = 16                     // calls to other routers at the same time
	maxReplayed     = 128                    // in one call
)

// Recall remembers the claims that were recorded through this router, and records them again after a restore of the store. Set the exported
// fields before the first call.
type Recall struct {
	Self    jaywind.VM
	Store   jaywind.Store
	Span    time.Duration           // for which claims are remembered; no copy to which the store is restored may be older
	Members func() []jaywind.Member // returns the live routers; nil if Self is the only one
	Replay  func(ctx context.Context, shard int, claims []jaywind.Claim) error
	Notify  func(ctx context.Context, at jaywind.Address, t Replayed) error // tells another router; see Client.Notify
	Log     *zap.Logger
	Metrics metrics.Registry

	start    sync.Once
	complete atomic.Int64 // the era in which no claims are missing
	replayed metrics.Counter
	logAgain time.Time // when Run may log again which routers it waits for

	mu      sync.Mutex
	memory  recall.Memory
	barrier recall.Barrier
	era     jaywind.Era // that barrier waits in
	behind  bool        // another router knows of a later era
}

// Replayed says that a router has recorded again, in an era, what it remembers.
type Replayed struct {
	VM       jaywind.VM // empty if a router only says that the era has begun
	Era      jaywind.Era
	Complete bool // the router remembers all claims of the last span
}

func (r *Recall) init() {
	r.start.Do(func() {
		now := time.Now()
		r.memory = recall.Memory{Span: r.Span, Started: now}
		r.barrier = recall.Barrier{Span: r.Span, Started: now}
		if r.Log == nil {
			r.Log = zap.NewNop()
		}
		if r.Metrics == nil {
			r.Metrics = metrics.NewRegistry()
		}
		r.replayed = metrics.GetOrRegisterCounter("claims.replayed", r.Metrics)
		_ = r.Metrics.Register("claims.incomplete", metrics.NewFunctionalGauge(r.incompleteCount))
	})
}

// Incomplete reports whether claims may be missing since the store was restored.
func (r *Recall) Incomplete() bool { return int64(r.Store.Era()) != r.complete.Load() }

// incompleteCount returns 1 while claims may be missing, and 0 otherwise.
func (r *Recall) incompleteCount() int64 {
	if r.Incomplete() {
		return 1
	}
	return 0
}

// Add remembers claims that are on record.
func (r *Recall) Add(recorded ...jaywind.Claim) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range recorded {
		if c.State != jaywind.ClaimNone {
			r.memory.Add(c, time.Now())
		}
	}
}

// Run records claims again after each restore, until ctx ends.
func (r *Recall) Run(ctx context.Context) {
	r.init()
	t := time.NewTicker(recallInterval)
	defer t.Stop()
	replayed := jaywind.Era(0) // the last era in which this router has replayed its claims
	var askAgain time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if r.takeBehind() {
			_, _ = r.Store.Get(ctx, completeKey) // the answer names the era
		}
		era := r.observe()
		if !r.Incomplete() {
			continue
		}
		if replayed < era {
			if !r.replay(ctx) || r.Store.Era() != era {
				continue
			}
			replayed, askAgain = era, time.Time{}
		}
		if now := time.Now(); !now.Before(askAgain) && !r.readComplete(ctx, era) {
			askAgain = now.Add(time.Duration(len(r.members())) * askInterval)
			r.notify(ctx, era)
		}
	}
}

// takeBehind reports whether another router knows of a later era, once.
func (r *Recall) takeBehind() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	behind := r.behind
	r.behind = false
	return behind
}

// observe looks at the members and the era, which it returns.
func (r *Recall) observe() jaywind.Era {
	r.mu.Lock()
	defer r.mu.Unlock()
	vms := []jaywind.VM{r.Self}
	for _, m := range r.members() {
		vms = append(vms, m.VM)
	}
	now := time.Now()
	r.barrier.See(vms, now)
	if era := r.Store.Era(); era > r.era {
		r.era = era
		r.barrier.Enter(now)
		r.Log.Warn("claims: the store was restored; claims are recorded again", zap.Int64("era", int64(era)))
	}
	return r.era
}

func (r *Recall) members() []jaywind.Member {
	if r.Members == nil {
		return nil
	}
	return r.Members()
}

// readComplete reads from the store whether claims are complete in an era.
func (r *Recall) readComplete(ctx context.Context, era jaywind.Era) bool {
	e, err := r.Store.Get(ctx, completeKey)
	if err != nil {
		return false
	}
	known, err := decodeComplete(e.Value)
	if err != nil {
		r.Log.Warn("claims: invalid value in the store", zap.String("key", completeKey), zap.Error(err))
	}
	if err != nil || known != era {
		return false
	}
	r.setComplete(era)
	return true
}

func (r *Recall) setComplete(era jaywind.Era) {
	if r.complete.Swap(int64(era)) != int64(era) {
		r.Log.Info("claims: complete again", zap.Int64("era", int64(era)))
	}
}

// replay records again what this router remembers, and reports whether all is on record.
func (r *Recall) replay(ctx context.Context) bool {
	r.mu.Lock()
	remembered := r.memory.Claims(time.Now())
	r.mu.Unlock()
	shards := map[int][]jaywind.Claim{}
	for _, c := range remembered {
		n := claims.ShardOf(c.ID())
		shards[n] = append(shards[n], c)
	}
	for n, all := range shards {
		for len(all) > 0 {
			some := all[:min(len(all), maxReplayed)]
			limited, cancel := context.WithTimeout(ctx, recallTimeout)
			err := r.Replay(limited, n, some)
			cancel()
			if err != nil {
				r.Log.Warn("claims: not recorded again yet", zap.Int("shard", n), zap.Error(err))
				return false
			}
			r.replayed.Inc(int64(len(some)))
			all = all[len(some):]
		}
	}
	return true
}

// notify tells the routers that wait for all that this one has replayed its claims.
func (r *Recall) notify(ctx context.Context, era jaywind.Era) {
	r.mu.Lock()
	t := Replayed{VM: r.Self, Era: era, Complete: r.memory.Complete(time.Now())}
	r.mu.Unlock()
	waits := len(r.members()) == 0
	for _, m := range rendezvous.Pick(completeKey, r.members(), collectorCount, "") {
		if m.VM == r.Self {
			waits = true
			continue
		}
		limited, cancel := context.WithTimeout(ctx, remoteTimeout)
		if err := r.Notify(limited, m.Fleet, t); err != nil {
			r.Log.Debug("claims: router not reached", zap.String("vm", string(m.VM)), zap.Error(err))
		}
		cancel()
	}
	if waits {
		r.Receive(t)
		r.publish(ctx, era)
	}
}

// Receive records what a router tells.
func (r *Recall) Receive(t Replayed) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.Era > r.era {
		r.behind = true // the other router sends it again
	}
	if t.Era == r.era && t.VM != "" {
		r.barrier.Report(t.VM, t.Complete)
	}
}

// remind tells routers that are waited for, which may not know yet that the store was restored.
func (r *Recall) remind(ctx context.Context, era jaywind.Era, missing []jaywind.VM) {
	limited, cancel := context.WithTimeout(ctx, remoteTimeout)
	defer cancel()
	p := pool.New().WithMaxGoroutines(maxReminders)
	for _, m := range r.members() {
		if m.VM != r.Self && slices.Contains(missing, m.VM) {
			p.Go(func() { _ = r.Notify(limited, m.Fleet, Replayed{Era: era}) })
		}
	}
	p.Wait()
}

// logWaiting logs from time to time that claims are refused since routers have not replayed theirs.
func (r *Recall) logWaiting(era jaywind.Era, missing []jaywind.VM) {
	now := time.Now()
	if now.Before(r.logAgain) {
		return
	}
	r.logAgain = now.Add(waitLogInterval)
	r.Log.Info("claims: waiting for routers", zap.Int64("era", int64(era)), zap.Any("missing", missing))
}

// publish writes that claims are complete in an era once all routers have replayed theirs.
func (r *Recall) publish(ctx context.Context, era jaywind.Era) {
	r.mu.Lock()
	done, missing := r.barrier.Done(time.Now()), r.barrier.Missing()
	r.mu.Unlock()
	if !done {
		r.logWaiting(era, missing)
		r.remind(ctx, era, missing)
		return
	}
	e, err := r.Store.Get(ctx, completeKey)
	if err != nil && !errors.Is(err, jaywind.ErrKeyNotFound) {
		return
	}
	value, err := encodeComplete(era)
	if err != nil {
		return
	}
	if _, err := r.Store.Swap(ctx, completeKey, value, e.Revision); err != nil || r.Store.Era() != era {
		r.Log.Info("claims: not recorded as complete yet", zap.Int64("era", int64(era)), zap.Error(err)) // the next look reads or writes it again
		return
	}
	r.setComplete(era)
}
