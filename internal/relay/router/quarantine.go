package router

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"syscall"
	"time"

	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/series"
	"jaywind/internal/core/suspect"
)

// beginTime is how long after its first event a run has survived its beginning.
const beginTime = 300 * time.Millisecond

// quarantineDelay is usually enough for a loss to be collected and a quarantine to be announced.
const quarantineDelay = 250 * time.Millisecond

// causeQuarantined is why a stream that has run is given up because of its prompt.
const causeQuarantined = "part of the prompt crashes engines"

// quarantineReturnSpread is the time over which callers return after a quarantine.
const quarantineReturnSpread = 10 * time.Second

// AddQuarantine keeps back the requests whose prompts have the parts of a group, and reports whether that is news.
func (r *Router) AddQuarantine(g suspect.Group) bool {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.quarantine.Add(g, time.Now()) {
		return false
	}
	r.stats.quarantined.Update(int64(r.quarantine.Count()))
	r.Log.Warn("quarantine: a part of prompts crashes engines", zap.String("service", string(g.Service)), zap.Any("parts", g.Parts))
	return true
}

// LiftQuarantine lets the requests of a group run again, and reports whether they were kept back.
func (r *Router) LiftQuarantine(g suspect.Group) bool {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.quarantine.Lift(g, time.Now()) {
		return false
	}
	r.stats.quarantined.Update(int64(r.quarantine.Count()))
	r.Log.Warn("quarantine: lifted, a run has survived", zap.String("service", string(g.Service)), zap.Any("parts", g.Parts))
	return true
}

// Quarantined returns the groups in force that a prompt with these shared parts has.
func (r *Router) Quarantined(s jaywind.ServiceName, shared []jaywind.PromptPart) []suspect.Group {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantine.Matching(s, shared, time.Now())
}

// AllowProbe lets one request of a quarantined group run after a delay. If it survives, the quarantine is lifted.
func (r *Router) AllowProbe(g suspect.Group, delay time.Duration) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantine.AllowProbe(g, time.Now().Add(delay))
}

// SoundParts returns those of a service's parts under which runs of this router have survived their beginning, and whether any run of
// the service has lately.
func (r *Router) SoundParts(s jaywind.ServiceName, parts []jaywind.PromptPart) (sound []jaywind.PromptPart, survived bool) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.survivors.Among(s, parts), r.survivors.Any(s, time.Now())
}

// isQuarantined reports whether a stream's prompt is kept back. It ends the stream if so.
func (r *Router) isQuarantined(st *streamCall) bool {
	if st.service.Engine == nil || len(st.request.SharedParts) == 0 {
		return false
	}
	r.mu.Lock()
	now := time.Now()
	left, held := r.quarantine.Holds(st.service.Name, st.request.SharedParts, now)
	if held && !st.mayHaveRun && r.quarantine.TakeProbe(st.service.Name, st.request.SharedParts, now) {
		held = false
		r.Log.Info("quarantine: a request is let through", st.fields(zap.Any("parts", st.request.SharedParts))...)
	}
	r.mu.Unlock()
	switch {
	case !held:
		return false
	case st.mayHaveRun:
		r.failStream(st, causeQuarantined)
	default:
		r.releaseStandby(st)
		r.writeRefusal(st.call, ReasonQuarantined, left+rand.N(quarantineReturnSpread))
	}
	return true
}

// recordSurvival records that the current run of a stream has survived its beginning, once.
func (r *Router) recordSurvival(st *streamCall) {
	if st.survived || len(st.request.SharedParts) == 0 {
		return
	}
	st.survived = true
	now := time.Now()
	r.mu.Lock()
	r.survivors.Add(st.service.Name, st.request.SharedParts, now)
	refuted := r.quarantine.Matching(st.service.Name, st.request.SharedParts, now)
	r.mu.Unlock()
	for _, g := range refuted {
		if r.LiftQuarantine(g) && r.OnLifted != nil {
			r.OnLifted(g)
		}
	}
}

// recordLoss reports the loss of a run at its beginning if the engine closed the connection, as one does that ends. It then waits for
// a quarantine that the loss may lead to.
func (r *Router) recordLoss(ctx context.Context, st *streamCall, at *endpoint.Endpoint, loss series.Failure, cause error) {
	if loss != series.FailureBroken || st.survived || !isConnectionEnd(cause) || st.service.Engine == nil || len(st.request.SharedParts) == 0 {
		return
	}
	r.stats.beginLosses.Inc(1)
	if r.OnLoss != nil {
		r.OnLoss(suspect.Loss{Service: st.service.Name, Engine: at.Ref(), Prompt: st.request.LastPart, Shared: st.request.SharedParts})
		pause(ctx, quarantineDelay)
	}
}

// isConnectionEnd reports whether an error says that the peer closed or reset the connection.
func isConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
