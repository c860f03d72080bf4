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
	// For all endpoints to say what they keep: reading a prompt anew takes a second, so it pays to wait this long.
	surveyLimit = 400 * time.Millisecond
	surveyFresh = 100 * time.Millisecond // within which callers share a survey: many come back at once when a router dies
	surveyCalls = 24                     // at a time
)

// survey is what the engines of a service kept at some time. Some engines take long to answer, or never do.
type survey struct {
	begun time.Time
	done  chan struct{} // closed when all have answered or the time is over

	mu      sync.Mutex
	where   map[jaywind.PromptPart]holder
	changed chan struct{} // closed, and replaced, with each answer
	asked   int
	heard   int
}

// find waits until some engine is known to keep most of a part of so many tokens, or the survey is done, and returns
// which keeps the most.
func (s *survey) find(part jaywind.PromptPart, tokens int) (holder, bool) {
	for {
		s.mu.Lock()
		h, found := s.where[part]
		changed := s.changed
		s.mu.Unlock()
		if found && 2*h.tokens >= tokens {
			return h, true
		}
		select {
		case <-s.done:
			s.mu.Lock()
			defer s.mu.Unlock()
			h, found = s.where[part]
			return h, found
		case <-changed:
		}
	}
}

// hear takes an engine's answer.
func (s *survey) hear(from jaywind.EndpointID, parts []jaywind.CachedPart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard++
	for _, h := range parts {
		if h.Tokens > s.where[h.Part].tokens {
			s.where[h.Part] = holder{id: from, tokens: h.Tokens}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// answered returns how many engines have answered, and how many were asked.
func (s *survey) answered() (heard, asked int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard, s.asked
}

// holder is the endpoint that keeps most of a part.
type holder struct {
	id     jaywind.EndpointID
	tokens int
}

// recall finds the endpoint that still keeps the prompt of a stream whose caller has come back after the loss
// of another router, and counts the call there. It returns nil when there is none.
func (r *Router) recall(ctx context.Context, f *flow) *endpoint.Endpoint {
	if !f.ask.Resumed || f.ask.Subject == "" || f.service.Engine == nil {
		return nil
	}
	s := r.survey(ctx, f, surveyFresh)
	h, found := s.find(f.ask.Subject, f.ask.Prompt)
	if !found && s.begun.Before(f.ask.Arrived) {
		s = r.survey(ctx, f, 0)
		h, found = s.find(f.ask.Subject, f.ask.Prompt)
	}
	heard, asked := s.answered()
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.table.Get(h.id)
	usable := found && e != nil && r.table.AcceptsWork(e, time.Now())
	r.Log.Info("stream: caller came back", f.fields(zap.Bool("prompt_kept", found), zap.String("holder", string(h.id)),
		zap.Int("tokens", h.tokens), zap.Bool("usable", usable), zap.Int("asked", asked), zap.Int("answered", heard), zap.Int64("survey_ms", time.Since(s.begun).Milliseconds()))...)
	if !usable {
		r.meter.recallMissed.Inc(1)
		return nil
	}
	r.meter.recalled.Inc(1)
	r.table.StartCall(e, f.need)
	f.last = e.ID
	return e
}

// survey asks all engines of a service what they keep, or joins a survey that began less than fresh ago.
func (r *Router) survey(ctx context.Context, f *flow, fresh time.Duration) *survey {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if s := r.surveys[f.service.Name]; s != nil && now.Sub(s.begun) < fresh {
		return s
	}
	targets := r.table.AcceptingWork(f.service, now)
	s := &survey{begun: now, done: make(chan struct{}), where: map[jaywind.PromptPart]holder{}, changed: make(chan struct{}), asked: len(targets)}
	r.surveys[f.service.Name] = s
	r.group.Go(func() { r.ask(context.WithoutCancel(ctx), s, targets) })
	return s
}

func (r *Router) ask(ctx context.Context, s *survey, targets []endpoint.Entry) {
	defer close(s.done)
	ctx, cancel := context.WithTimeout(ctx, surveyLimit)
	defer cancel()
	p := pool.New().WithMaxGoroutines(surveyCalls)
	for _, e := range targets {
		p.Go(func() {
			parts, err := r.Upstream.CachedParts(ctx, e.Address)
			if err != nil {
				r.Log.Debug("stream: endpoint does not say what it keeps", zap.String("endpoint", string(e.ID)), zap.Error(err))
				return
			}
			s.hear(e.ID, parts)
		})
	}
	p.Wait()
}
