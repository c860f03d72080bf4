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
	pace         = time.Second      // between two passes over the wanted states
	tryAgain     = 3 * time.Second  // between tries for the lease
	repeatTime   = 10 * time.Second // until an order whose state did not come true is given again
	loadLimit    = time.Second      // for reading a load report
	longestPause = 8 * time.Second  // for the weight store
	atOnce       = 8                // endpoints spoken to at once
)

// Leader gives orders to endpoints while it holds the lease.
type Leader struct {
	Self     jaywind.VM
	Store    jaywind.Store
	Engine   jaywind.Engine
	Weights  jaywind.WeightStore      // loads are not paced when nil
	Clock    jaywind.Clock            // the machine's when nil
	Log      *zap.Logger              // silent when nil
	Eligible func() bool              // whether this router should try for the lease; always when nil
	Stalled  func(table.LoadTimedOut) // told when most loads of a move are not true by their time

	mu     sync.Mutex
	wants  []table.DesiredState
	lease  lease
	pause  time.Duration                    // after the weight store was last busy
	busy   time.Time                        // until when the weight store is not asked
	gave   map[jaywind.EndpointID]time.Time // when an order was last given
	missed map[table.MoveID]missed          // of the present pass
}

type missed struct {
	all  int
	late int // not loaded by their time
}

// SetWants replaces the wanted states of endpoints.
func (w *Leader) SetWants(wants []table.DesiredState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wants = slices.Clone(wants)
}

// Run tries for the lease and gives orders until ctx ends.
func (w *Leader) Run(ctx context.Context) {
	w.init()
	for ctx.Err() == nil {
		wait := pace
		if wants := w.taken(); len(wants) > 0 {
			wait = w.turn(ctx, wants)
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
	w.gave = map[jaywind.EndpointID]time.Time{}
}

func (w *Leader) taken() []table.DesiredState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.wants
}

// turn does what is due and returns how long to wait for the next turn.
func (w *Leader) turn(ctx context.Context, wants []table.DesiredState) time.Duration {
	if !w.hold(ctx) {
		return tryAgain
	}
	w.missed = map[table.MoveID]missed{}
	group := pool.New().WithMaxGoroutines(atOnce)
	for _, want := range wants {
		group.Go(func() { w.serve(ctx, want) })
	}
	group.Wait()
	for id, n := range w.missed {
		if w.Stalled != nil && 2*n.late > n.all {
			w.Stalled(table.LoadTimedOut{Move: id, Reason: "most replicas of the new version were not loaded in time"})
		}
	}
	return pace
}

// hold takes or renews the lease and tells whether it is held.
func (w *Leader) hold(ctx context.Context) bool {
	now := w.Clock.Now()
	w.mu.Lock()
	l := w.lease
	w.mu.Unlock()
	var err error
	switch {
	case l.id != "" && !now.Before(l.until):
		l = lease{}
		w.Log.Warn("leader: lease ran out")
	case l.id == "" && (w.Eligible == nil || w.Eligible()):
		l, err = acquire(ctx, w.Store, w.Clock, w.Self)
		if err == nil {
			w.Log.Info("leader: lease taken", zap.Uint64("fence", uint64(l.fence)))
		}
	case l.id != "" && now.Sub(l.renewed) >= renewAfter:
		l, err = renew(ctx, w.Store, w.Clock, l)
	}
	if err != nil && !errors.Is(err, jaywind.ErrRevisionConflict) {
		w.Log.Warn("leader: lease not taken or renewed", zap.Error(err))
	}
	w.set(l)
	return l.id != ""
}

func (w *Leader) set(l lease) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lease = l
}

// serve reads an endpoint's state back and gives the order that it needs.
func (w *Leader) serve(ctx context.Context, want table.DesiredState) {
	report, err := w.read(ctx, want)
	loaded := err == nil && slices.Contains(report.Loaded, want.Version)
	w.noteDue(want, loaded)
	if err != nil || loaded == want.Loaded || !want.Loaded && report.Running > 0 || !w.due(want) {
		return
	}
	if want.Loaded && w.Weights != nil {
		if err := w.reserve(ctx, want); err != nil {
			return
		}
	}
	w.order(ctx, want)
}

func (w *Leader) read(ctx context.Context, want table.DesiredState) (jaywind.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadLimit)
	defer cancel()
	return w.Engine.Load(ctx, want.Address)
}

func (w *Leader) reserve(ctx context.Context, want table.DesiredState) error {
	w.mu.Lock()
	waits := w.Clock.Now().Before(w.busy)
	w.mu.Unlock()
	if waits {
		return jaywind.ErrBusy
	}
	ctx, cancel := context.WithTimeout(ctx, loadLimit)
	defer cancel()
	err := w.Weights.Reserve(ctx, want.Move.Model, want.Version)
	w.back(err)
	return err
}

// back doubles the pause before the weight store is asked again, or ends it.
func (w *Leader) back(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.pause = 0
		return
	}
	w.pause = min(max(2*w.pause, pace), longestPause)
	w.busy = w.Clock.Now().Add(w.pause)
}

func (w *Leader) noteDue(want table.DesiredState, loaded bool) {
	if want.LoadBy.IsZero() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.missed[want.Move]
	n.all++
	if !loaded && w.Clock.Now().After(want.LoadBy) {
		n.late++
	}
	w.missed[want.Move] = n
}

// due tells whether no order for the endpoint is waiting to come true.
func (w *Leader) due(want table.DesiredState) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	gave, given := w.gave[want.Endpoint]
	return !given || w.Clock.Now().Sub(gave) >= repeatTime
}

// order gives one order, if the lease outlasts it and no former holder's order can still be under way.
func (w *Leader) order(ctx context.Context, want table.DesiredState) {
	w.mu.Lock()
	l := w.lease
	now := w.Clock.Now()
	if !l.covers(now) || !want.Fenced && now.Before(l.unfenced) {
		w.mu.Unlock()
		return
	}
	w.gave[want.Endpoint] = now
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	o := jaywind.Order{Fence: l.fence, Model: want.Move.Model, Version: want.Version, Action: actionOf(want)}
	err := w.Engine.Order(ctx, want.Address, o)
	w.Log.Info("leader: order given", zap.String("endpoint", string(want.Endpoint)), zap.String("action", string(o.Action)),
		zap.String("version", string(o.Version)), zap.Uint64("fence", uint64(o.Fence)), zap.Error(err))
	if errors.Is(err, jaywind.ErrFenced) {
		w.set(lease{})
	}
}

func actionOf(want table.DesiredState) jaywind.Action {
	if want.Loaded {
		return jaywind.ActionLoad
	}
	return jaywind.ActionUnload
}
