package router

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/endpoint"
)

const (
	// Computing a prompt again takes a second, so waiting this long for the endpoint that has it cached pays off.
	lookupTimeout   = 400 * time.Millisecond
	lookupShareTime = 100 * time.Millisecond // callers within it share a lookup, as many reconnect at once after the loss of a router
	maxLookupCalls  = 24                     // concurrent calls of one lookup
)

// cacheLookup collects which prompt parts the engines of a service have cached. Some engines answer late or never.
type cacheLookup struct {
	startedAt time.Time
	done      chan struct{} // closed when all engines have answered or lookupTimeout has passed

	mu       sync.Mutex
	best     map[jaywind.PromptPart]cacheHolder
	updated  chan struct{} // closed and replaced at each answer
	asked    int
	answered int
}

// find returns the engine that has cached the most tokens of a part. It waits until an engine has at least half of the given
// number of tokens, or until the lookup is done.
func (l *cacheLookup) find(part jaywind.PromptPart, tokens int) (cacheHolder, bool) {
	for {
		l.mu.Lock()
		h, found := l.best[part]
		updated := l.updated
		l.mu.Unlock()
		if found && 2*h.tokens >= tokens {
			return h, true
		}
		select {
		case <-l.done:
			l.mu.Lock()
			defer l.mu.Unlock()
			h, found = l.best[part]
			return h, found
		case <-updated:
		}
	}
}

// addAnswer adds an engine's answer.
func (l *cacheLookup) addAnswer(from jaywind.EndpointID, parts []jaywind.CachedPart) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered++
	for _, h := range parts {
		if h.Tokens > l.best[h.Part].tokens {
			l.best[h.Part] = cacheHolder{id: from, tokens: h.Tokens}
		}
	}
	close(l.updated)
	l.updated = make(chan struct{})
}

// counts returns how many engines have answered and how many were asked.
func (l *cacheLookup) counts() (answered, asked int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered, l.asked
}

// cacheHolder is the endpoint that has cached the most tokens of a prompt part.
type cacheHolder struct {
	id     jaywind.EndpointID
	tokens int
}

// findCached finds the endpoint that still has the prompt of a stream cached whose caller has reconnected after the loss
// of another router. It counts the call there and returns the endpoint, or nil if there is none.
func (r *Router) findCached(st *streamCall) *endpoint.Endpoint {
	if !st.request.Resumed || st.request.LastPart == "" || st.service.Engine == nil {
		return nil
	}
	l := r.lookUpCaches(st, lookupShareTime)
	h, found := l.find(st.request.LastPart, st.request.PromptTokens)
	if !found && l.startedAt.Before(st.request.Arrived) {
		l = r.lookUpCaches(st, 0)
		h, found = l.find(st.request.LastPart, st.request.PromptTokens)
	}
	answered, asked := l.counts()
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.table.Get(h.id)
	barred := e != nil && r.isBarred(e)
	usable := found && e != nil && !barred && r.table.AcceptsWork(e, time.Now())
	r.Log.Info("stream: caller reconnected", st.fields(zap.Bool("prompt_kept", found), zap.String("holder", string(h.id)),
		zap.Int("tokens", h.tokens), zap.Bool("usable", usable), zap.Bool("barred", barred), zap.Int("asked", asked), zap.Int("answered", answered), zap.Int64("survey_ms", time.Since(l.startedAt).Milliseconds()))...)
	if !usable {
		r.stats.cacheMissed.Inc(1)
		return nil
	}
	r.stats.cacheFound.Inc(1)
	r.table.StartCall(e, st.requirements)
	st.countStart(e)
	st.lastEndpoint = e.ID
	return e
}

// lookUpCaches starts a lookup at all engines of a service that accept work, or returns a lookup that started less than
// maxAge ago.
func (r *Router) lookUpCaches(st *streamCall, maxAge time.Duration) *cacheLookup {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if l := r.lookups[st.service.Name]; l != nil && now.Sub(l.startedAt) < maxAge {
		return l
	}
	targets := r.table.AcceptingWork(st.service, now)
	l := &cacheLookup{startedAt: now, done: make(chan struct{}), best: map[jaywind.PromptPart]cacheHolder{}, updated: make(chan struct{}), asked: len(targets)}
	r.lookups[st.service.Name] = l
	r.runInBackground(func(ctx context.Context) { r.queryCaches(ctx, l, targets) })
	return l
}

// queryCaches asks the engines and adds their answers to a lookup.
func (r *Router) queryCaches(ctx context.Context, l *cacheLookup, targets []endpoint.Entry) {
	defer close(l.done)
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	p := pool.New().WithMaxGoroutines(maxLookupCalls)
	for _, e := range targets {
		p.Go(func() {
			parts, err := r.Upstream.CachedParts(ctx, e.Ref())
			if err != nil {
				r.Log.Debug("stream: cache lookup failed", zap.String("endpoint", string(e.ID)), zap.Error(err))
				return
			}
			l.addAnswer(e.ID, parts)
		})
	}
	p.Wait()
}
