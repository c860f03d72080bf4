package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/endpoint"
)

const (
	copyLimit  = 1500 * time.Millisecond // for a copy to be made, behind others on the same links
	copyPause  = 400 * time.Millisecond  // after a copy that failed
	copyMargin = 1200 * time.Millisecond // before a copy that was made lapses
)

// guard replaces the copy of a run whose standby was lost while the run goes on.
type guard struct {
	busy   bool
	made   bool      // the copy was made by a guard, and lapses
	at     time.Time // when it was made, or when the last try failed
	result chan duplicate
}

// duplicate is what came of a copy.
type duplicate struct {
	to   *endpoint.Endpoint
	copy jaywind.MemoryCopy
	err  error
}

// keepGuard has another copy made when the standby is lost, and renews the copies that lapse. It never waits.
func (r *Router) keepGuard(ctx context.Context, f *flow, n run) {
	g := &f.guard
	if g.busy {
		select {
		case d := <-g.result:
			r.takeCopy(f, d)
		default:
		}
		return
	}
	engine := f.service.Engine
	if engine == nil || !engine.CopiesStarted {
		return
	}
	now := time.Now()
	to := r.nextStandby(f, n, now)
	if to == nil {
		return
	}
	g.busy = true
	g.result = make(chan duplicate, 1)
	run, result := f.ask.ID, g.result
	r.group.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, copyLimit)
		defer cancel()
		c, err := r.Upstream.CopyMemory(ctx, n.at.Address, run, to.Address)
		result <- duplicate{to: to, copy: c, err: err}
	})
}

// nextStandby returns where a copy should be made now, or nil; a standby that is lost is let go.
func (r *Router) nextStandby(f *flow, n run, now time.Time) *endpoint.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := &f.guard
	if f.standby != nil && !r.table.CopyLost(f.standby, now) {
		if g.made && now.Sub(g.at) > f.service.Engine.CopyTTL-copyMargin {
			return f.standby
		}
		return nil
	}
	if f.standby != nil {
		r.table.RemoveCopy(f.standby, f.need)
		f.standby = nil
	}
	if now.Sub(g.at) < copyPause {
		return nil
	}
	return r.table.ChooseStandby(f.service, n.at, f.need, now)
}

// takeCopy notes what came of a copy.
func (r *Router) takeCopy(f *flow, d duplicate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := &f.guard
	g.busy = false
	g.at = time.Now()
	if d.err != nil {
		r.meter.copyFailed.Inc(1)
		r.Log.Info("stream: copy failed", f.fields(zap.String("standby", string(d.to.ID)), zap.Error(d.err))...)
		return
	}
	if f.standby != d.to {
		r.meter.copyMade.Inc(1)
		r.table.AddCopy(d.to, f.need)
		f.standby = d.to
	}
	g.made = true
	f.copy = d.copy
}
