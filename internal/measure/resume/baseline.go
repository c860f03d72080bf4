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

// requestDirect reads an answer from the engines without a router. After a failure it starts again at the next engine.
func requestDirect(ctx context.Context, f *fleet.Fleet, q router.Request, inject func(jaywind.Bookmark), r *result) {
	caller := &restartingCaller{fleet: f, request: q, inject: inject}
	for caller.attempts = 0; caller.attempts <= engineCount && ctx.Err() == nil; caller.attempts++ {
		if caller.try(ctx) {
			break
		}
	}
	var err error
	if len(caller.tokens) < q.MaxTokens {
		err = context.DeadlineExceeded
	}
	r.add(q, caller.tokens, err)
	if caller.attempts > 0 {
		r.latency.Add(caller.maxGap)
	}
}

// restartingCaller is a caller that can't resume: after a failure it reads the answer again from the first token, and
// skips the tokens that it has.
type restartingCaller struct {
	fleet       *fleet.Fleet
	request     router.Request
	inject      func(jaywind.Bookmark)
	attempts    int
	tokens      []jaywind.Token
	lastTokenAt time.Time     // when the last new token was read
	maxGap      time.Duration // longest time between two new tokens
}

func (c *restartingCaller) try(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n := c.fleet.EngineNodes[(int(*c.request.Seed)+c.attempts)%engineCount]
	watchdog := time.AfterFunc(generate.MaxSilence, cancel)
	defer watchdog.Stop()
	stream, err := (&backend.Client{}).Open(ctx, n.Address, jaywind.Call{
		Request:   jaywind.RequestID(c.request.Prompt),
		Attempt:   jaywind.Attempt(c.attempts + 1),
		Model:     fleet.Model,
		Version:   fleet.Version,
		Prompt:    c.request.Prompt,
		Seed:      *c.request.Seed,
		MaxTokens: c.request.MaxTokens,
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
		c.addToken(frame, jaywind.EndpointID(n.Name))
	}
}

// addToken appends a token unless it was read by an earlier attempt.
func (c *restartingCaller) addToken(frame jaywind.Frame, endpoint jaywind.EndpointID) {
	if int(frame.Position) < len(c.tokens) {
		return
	}
	now := time.Now()
	if len(c.tokens) > 0 {
		c.maxGap = max(c.maxGap, now.Sub(c.lastTokenAt))
	}
	c.lastTokenAt = now
	c.tokens = append(c.tokens, frame.Token)
	if len(c.tokens) == faultPosition {
		c.inject(jaywind.Bookmark{Endpoint: endpoint})
	}
}
