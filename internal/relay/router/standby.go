package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/endpoint"
)

const (
	copyTimeout     = 1500 * time.Millisecond // for one copy, which shares its network links with others
	copyRetryDelay  = 400 * time.Millisecond  // after a failed copy
	copyRenewMargin = 1200 * time.Millisecond // before a copy expires
)

// copyState is the state of the copies that are made of a run in progress, when the standby that it started with is lost.
type copyState struct {
	inProgress bool
	expires    bool      // the present copy was made during the run, so it expires after CopyTTL
	lastDone   time.Time // when the last copy was completed or failed
	result     chan copyResult
}

// copyResult is the outcome of one copy.
type copyResult struct {
	target *endpoint.Endpoint
	copy   jaywind.MemoryCopy
	err    error
}

// maintainCopy starts another copy when the standby is lost, and renews a copy that is about to expire. It never blocks.
func (r *Router) maintainCopy(ctx context.Context, st *streamCall, a attempt) {
	cs := &st.copyState
	if cs.inProgress {
		select {
		case res := <-cs.result:
			r.applyCopyResult(st, res)
		default:
		}
		return
	}
	engine := st.service.Engine
	if engine == nil || !engine.CopiesStarted {
		return
	}
	now := time.Now()
	target := r.copyTarget(st, a, now)
	if target == nil {
		return
	}
	cs.inProgress = true
	cs.result = make(chan copyResult, 1)
	run, result := st.request.ID, cs.result
	r.runInBackground(func(background context.Context) {
		ctx, cancel := context.WithTimeout(ctx, copyTimeout)
		defer cancel()
		defer context.AfterFunc(background, cancel)()
		c, err := r.Upstream.CopyMemory(ctx, a.endpoint.Ref(), run, target.Address)
		result <- copyResult{target: target, copy: c, err: err}
	})
}

// copyTarget returns the endpoint to copy to now, or nil for none. It releases a standby that is lost.
func (r *Router) copyTarget(st *streamCall, a attempt, now time.Time) *endpoint.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	cs := &st.copyState
	if st.standby != nil && !r.table.CopyLost(st.standby, now) {
		if cs.expires && now.Sub(cs.lastDone) > st.service.Engine.CopyTTL-copyRenewMargin && !a.endpoint.IsPaused(now) {
			return st.standby
		}
		return nil
	}
	if st.standby != nil {
		r.table.RemoveCopy(st.standby, st.requirements)
		st.standby = nil
	}
	if now.Sub(cs.lastDone) < copyRetryDelay || a.endpoint.IsPaused(now) {
		return nil
	}
	return r.table.ChooseStandby(st.service, a.endpoint, st.requirements, now)
}

// applyCopyResult records the outcome of a copy.
func (r *Router) applyCopyResult(st *streamCall, res copyResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cs := &st.copyState
	cs.inProgress = false
	cs.lastDone = time.Now()
	if res.err != nil {
		r.stats.copyFailed.Inc(1)
		r.Log.Info("stream: copy failed", st.fields(zap.String("standby", string(res.target.ID)), zap.Error(res.err))...)
		return
	}
	if st.standby != res.target {
		r.stats.copyMade.Inc(1)
		r.table.AddCopy(res.target, st.requirements)
		st.standby = res.target
	}
	cs.expires = true
	st.copy = res.copy
}
