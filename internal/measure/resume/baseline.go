package resume

import (
	"context"
	"time"

	"jaywind"
	backend "jaywind/internal/backend/engine"
	"jaywind/internal/client/router"
	"jaywind/internal/core/generate"
	"jaywind/internal/standin/fleet"
)

// restart is a caller before the engines themselves; it spreads callers over them in turn.
func restart(ctx context.Context, f *fleet.Fleet, q router.Question, strike func(jaywind.Bookmark), r *result) {
	b := &restarter{fleet: f, question: q, strike: strike}
	for b.tries = 0; b.tries <= engineCount && ctx.Err() == nil; b.tries++ {
		if b.try(ctx) {
			break
		}
	}
	var err error
	if len(b.got) < q.Limit {
		err = context.DeadlineExceeded
	}
	r.add(q, b.got, err)
	if b.tries > 0 {
		r.latency.Add(b.longest)
	}
}

// restarter is a caller that knows how far it had read, but can only start again.
type restarter struct {
	fleet    *fleet.Fleet
	question router.Question
	strike   func(jaywind.Bookmark)
	tries    int
	got      []jaywind.Token
	furthest time.Time     // when the furthest token was read
	longest  time.Duration // longest wait for a new furthest token
}

func (b *restarter) try(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n := b.fleet.EngineNodes[(int(*b.question.Seed)+b.tries)%engineCount]
	watchdog := time.AfterFunc(generate.MaxSilence, cancel)
	defer watchdog.Stop()
	stream, err := (&backend.Client{}).Open(ctx, n.Address, jaywind.Call{
		Request:   jaywind.RequestID(b.question.Prompt),
		Attempt:   jaywind.Attempt(b.tries + 1),
		Model:     fleet.Model,
		Version:   fleet.Version,
		Prompt:    b.question.Prompt,
		Seed:      *b.question.Seed,
		MaxTokens: b.question.Limit,
	})
	if err != nil {
		return false
	}
	defer func() { _ = stream.Close() }()
	for {
		frame, err := stream.Next()
		if err != nil {
			return false
		}
		watchdog.Reset(generate.MaxSilence)
		if frame.End {
			return true
		}
		b.take(frame, jaywind.EndpointID(n.Name))
	}
}

// take keeps a token that goes beyond what was read before.
func (b *restarter) take(frame jaywind.Frame, at jaywind.EndpointID) {
	if int(frame.Position) < len(b.got) {
		return
	}
	now := time.Now()
	if len(b.got) > 0 {
		b.longest = max(b.longest, now.Sub(b.furthest))
	}
	b.furthest = now
	b.got = append(b.got, frame.Token)
	if len(b.got) == strikeAt {
		b.strike(jaywind.Bookmark{Endpoint: at})
	}
}
