package leader

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/table"
)

const (
	passInterval       = time.Second      // between two passes over the desired states
	leaseRetryInterval = 3 * time.Second  // between attempts to acquire the lease
	orderRetryInterval = 10 * time.Second // until an order is sent again if its state is not reached
	loadTimeout        = time.Second      // for reading a load report or reserving a load
	maxWeightPause     = 8 * time.Second  // between two requests to a busy weight store
	maxConcurrency     = 8                // endpoints contacted in parallel
)

// Leader sends load and unload orders to endpoints while it holds the lease.
type Leader struct {
	Self          jaywind.VM
	Store         jaywind.Store
	Engine        jaywind.Engine
	Weights       jaywind.WeightStore      // load rate is not limited when nil
	Clock         jaywind.Clock            // the system clock when nil
	Log           *zap.Logger              // no logging when nil
	Eligible      func() bool              // whether this router should try to acquire the lease; always when nil
	OnLoadTimeout func(table.LoadTimedOut) // called when most loads of a move are not done by their deadline

	mu               sync.Mutex
	desired          []table.DesiredState
	lease            lease
	weightPause      time.Duration                    // current backoff for the weight store
	weightsBusyUntil time.Time                        // no request to the weight store before this time
	orderedAt        map[jaywind.EndpointID]time.Time // when the last order was sent
	loads            map[table.MoveID]loadCounts      // in the current pass
}

type loadCounts struct {
	total int
	late  int // not loaded by their deadline
}

// SetDesiredStates replaces the desired states of endpoints.
func (w *Leader) SetDesiredStates(wants []table.DesiredState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.desired = slices.Clone(wants)
}

// Run acquires the lease when it can, and sends orders while it holds it, until ctx is done.
func (w *Leader) Run(ctx context.Context) {
	w.init()
	for ctx.Err() == nil {
		wait := passInterval
		if wants := w.desiredStates(); len(wants) > 0 {
			wait = w.runPass(ctx, wants)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (w *Leader) init() {
	if w.Clock == nil {
		w.Clock = jaywind.SystemClock{}
	}
	if w.Log == nil {
		w.Log = zap.NewNop()
	}
	w.orderedAt = map[jaywind.EndpointID]time.Time{}
}

func (w *Leader) desiredStates() []table.DesiredState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.desired
}

// runPass sends the orders that are due and returns how long to wait until the next pass.
func (w *Leader) runPass(ctx context.Context, wants []table.DesiredState) time.Duration {
	if !w.holdLease(ctx) {
		return leaseRetryInterval
	}
	w.loads = map[table.MoveID]loadCounts{}
	group := pool.New().WithMaxGoroutines(maxConcurrency)
	for _, want := range wants {
		group.Go(func() { w.reconcile(ctx, want) })
	}
	group.Wait()
	for id, n := range w.loads {
		if w.OnLoadTimeout != nil && 2*n.late > n.total {
			w.OnLoadTimeout(table.LoadTimedOut{Move: id, Reason: "most replicas of the new version were not loaded in time"})
		}
	}
	return passInterval
}

// holdLease acquires or renews the lease if due, and reports whether it is held.
func (w *Leader) holdLease(ctx context.Context) bool {
	now := w.Clock.Now()
	w.mu.Lock()
	l := w.lease
	w.mu.Unlock()
	var err error
	switch {
	case l.id != "" && !now.Before(l.expiresAt):
		l = lease{}
		w.Log.Warn("leader: lease expired")
	case l.id == "" && (w.Eligible == nil || w.Eligible()):
		l, err = acquire(ctx, w.Store, w.Clock, w.Self)
		if err == nil {
			w.Log.Info("leader: lease acquired", zap.Uint64("fence", uint64(l.fence)))
		}
	case l.id != "" && now.Sub(l.renewedAt) >= renewAfter:
		l, err = renew(ctx, w.Store, w.Clock, l)
	}
	if err != nil && !errors.Is(err, jaywind.ErrRevisionConflict) {
		w.Log.Warn("leader: acquiring or renewing the lease failed", zap.Error(err))
	}
	w.setLease(l)
	return l.id != ""
}

func (w *Leader) setLease(l lease) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lease = l
}

// reconcile compares an endpoint's load report with its desired state and sends an order if they differ. An endpoint is
// not told to unload a version while it runs requests.
func (w *Leader) reconcile(ctx context.Context, want table.DesiredState) {
	report, err := w.readLoad(ctx, want)
	loaded := err == nil && slices.Contains(report.Loaded, want.Version)
	w.countLoad(want, loaded)
	if err != nil || loaded == want.Loaded || !want.Loaded && report.Running > 0 || !w.orderDue(want) {
		return
	}
	if want.Loaded && w.Weights != nil {
		if err := w.reserveLoad(ctx, want); err != nil {
			return
		}
	}
	w.sendOrder(ctx, want)
}

func (w *Leader) readLoad(ctx context.Context, want table.DesiredState) (jaywind.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return w.Engine.Load(ctx, want.Address)
}

func (w *Leader) reserveLoad(ctx context.Context, want table.DesiredState) error {
	w.mu.Lock()
	waits := w.Clock.Now().Before(w.weightsBusyUntil)
	w.mu.Unlock()
	if waits {
		return jaywind.ErrBusy
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	err := w.Weights.Reserve(ctx, want.Move.Model, want.Version)
	w.setWeightPause(err)
	return err
}

// setWeightPause doubles the pause before the next request to the weight store after an error, or resets it.
func (w *Leader) setWeightPause(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.weightPause = 0
		return
	}
	w.weightPause = min(max(2*w.weightPause, passInterval), maxWeightPause)
	w.weightsBusyUntil = w.Clock.Now().Add(w.weightPause)
}

func (w *Leader) countLoad(want table.DesiredState, loaded bool) {
	if want.LoadBy.IsZero() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.loads[want.Move]
	n.total++
	if !loaded && w.Clock.Now().After(want.LoadBy) {
		n.late++
	}
	w.loads[want.Move] = n
}

// orderDue reports whether no order was sent to the endpoint within the last orderRetryInterval.
func (w *Leader) orderDue(want table.DesiredState) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	last, sent := w.orderedAt[want.Endpoint]
	return !sent || w.Clock.Now().Sub(last) >= orderRetryInterval
}

// sendOrder sends one order, if the lease outlasts it and no order of a former holder can still be in progress.
func (w *Leader) sendOrder(ctx context.Context, want table.DesiredState) {
	w.mu.Lock()
	l := w.lease
	now := w.Clock.Now()
	if !l.covers(now) || !want.Fenced && now.Before(l.unfencedFrom) {
		w.mu.Unlock()
		return
	}
	w.orderedAt[want.Endpoint] = now
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	o := jaywind.Order{Fence: l.fence, Model: want.Move.Model, Version: want.Version, Action: actionOf(want)}
	err := w.Engine.Order(ctx, want.Address, o)
	w.Log.Info("leader: order sent", zap.String("endpoint", string(want.Endpoint)), zap.String("action", string(o.Action)),
		zap.String("version", string(o.Version)), zap.Uint64("fence", uint64(o.Fence)), zap.Error(err))
	if errors.Is(err, jaywind.ErrFenced) {
		w.setLease(lease{})
	}
}

func actionOf(want table.DesiredState) jaywind.Action {
	if want.Loaded {
		return jaywind.ActionLoad
	}
	return jaywind.ActionUnload
}
