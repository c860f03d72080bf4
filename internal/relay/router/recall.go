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
	surveyLimit = 150 * time.Millisecond // for all endpoints to say what they keep
	surveyFresh = 100 * time.Millisecond // within which callers share a survey: many come back at once when a router dies
	surveyCalls = 24                     // at a time
)

// survey is what the engines of a service kept at some time.
type survey struct {
	begun time.Time
	done  chan struct{}
	where map[jaywind.PromptPart]holder // may be read once done is closed
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
	<-s.done
	if _, found := s.where[f.ask.Subject]; !found && s.begun.Before(f.ask.Arrived) {
		s = r.survey(ctx, f, 0)
		<-s.done
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	h, found := s.where[f.ask.Subject]
	e := r.table.Get(h.id)
	usable := found && e != nil && r.table.Open(e, time.Now())
	r.Log.Info("stream: caller came back", f.fields(zap.Bool("prompt_kept", found), zap.String("holder", string(h.id)),
		zap.Int("tokens", h.tokens), zap.Bool("usable", usable), zap.Int64("survey_ms", time.Since(s.begun).Milliseconds()))...)
	if !usable {
		r.meter.recallMissed.Inc(1)
		return nil
	}
	r.meter.recalled.Inc(1)
	r.table.Start(e, f.need)
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
	s := &survey{begun: now, done: make(chan struct{}), where: map[jaywind.PromptPart]holder{}}
	r.surveys[f.service.Name] = s
	targets := r.table.OpenAll(f.service, now)
	r.group.Go(func() { r.ask(context.WithoutCancel(ctx), s, targets) })
	return s
}

func (r *Router) ask(ctx context.Context, s *survey, targets []endpoint.Entry) {
	defer close(s.done)
	ctx, cancel := context.WithTimeout(ctx, surveyLimit)
	defer cancel()
	var mu sync.Mutex
	p := pool.New().WithMaxGoroutines(surveyCalls)
	for _, e := range targets {
		p.Go(func() {
			parts, err := r.Upstream.Held(ctx, e.Address)
			if err != nil {
				r.Log.Debug("stream: endpoint does not say what it keeps", zap.String("endpoint", string(e.ID)), zap.Error(err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, h := range parts {
				if h.Tokens > s.where[h.Part].tokens {
					s.where[h.Part] = holder{id: e.ID, tokens: h.Tokens}
				}
			}
		})
	}
	p.Wait()
}
