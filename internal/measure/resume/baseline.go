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
func requestDirect(ctx context.Context, f *fleet.Fleet, q router.Question, inject func(jaywind.Bookmark), r *result) {
	caller := &restartingCaller{fleet: f, request: q, inject: inject}
	for caller.attempts = 0; caller.attempts <= engineCount && ctx.Err() == nil; caller.attempts++ {
		if caller.try(ctx) {
			break
		}
	}
	var err error
	if len(caller.tokens) < q.Limit {
		err = context.DeadlineExceeded
	}
	r.add(q, caller.tokens, err)
	if caller.attempts > 0 {
		r.latency.Add(caller.maxGap)
	}
}

// restarter is a caller that knows how far it had read, but can only start again.
type restartingCaller struct {
	fleet       *fleet.Fleet
	request     router.Question
	inject      func(jaywind.Bookmark)
	attempts    int
	tokens      []jaywind.Token
	lastTokenAt time.Time     // when the furthest token was read
	maxGap      time.Duration // longest wait for a new furthest token
}

func (b *restartingCaller) try(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n := b.fleet.EngineNodes[(int(*b.request.Seed)+b.attempts)%engineCount]
	watchdog := time.AfterFunc(generate.SilenceCap, cancel)
	defer watchdog.Stop()
	stream, err := (&backend.Client{}).Open(ctx, n.Address, jaywind.Call{
		Request: jaywind.RequestID(b.request.Prompt),
		Attempt: jaywind.Attempt(b.attempts + 1),
		Model:   fleet.Model,
		Version: fleet.Version,
		Prompt:  b.request.Prompt,
		Seed:    *b.request.Seed,
		Limit:   b.request.Limit,
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
		watchdog.Reset(generate.SilenceCap)
		if frame.End {
			return true
		}
		b.addToken(frame, jaywind.EndpointID(n.Name))
	}
}

// take keeps a token that goes beyond what was read before.
func (b *restartingCaller) addToken(frame jaywind.Frame, endpoint jaywind.EndpointID) {
	if int(frame.Position) < len(b.tokens) {
		return
	}
	now := time.Now()
	if len(b.tokens) > 0 {
		b.maxGap = max(b.maxGap, now.Sub(b.lastTokenAt))
	}
	b.lastTokenAt = now
	b.tokens = append(b.tokens, frame.Token)
	if len(b.tokens) == faultPosition {
		b.inject(jaywind.Bookmark{Endpoint: endpoint})
	}
}
