package embed

import (
	"context"
	"time"

	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/table"
)

const cancelTimeout = time.Second

// engines runs the attempts of generations on engines.
type engines struct {
	router  *Router
	streams map[streamKey]context.CancelFunc // accessed only by the loop
}

type streamKey struct {
	request jaywind.RequestID
	attempt jaywind.Attempt
}

func (p *engines) run(context.Context) {}

func (p *engines) execute(ctx context.Context, c table.Command) bool {
	switch c := c.(type) {
	case table.OpenStream:
		p.open(ctx, c)
	case table.CancelAttempt:
		p.cancel(ctx, c)
	case table.ProbeProgress:
		p.router.group.Go(func() { p.probe(ctx, c) })
	default:
		return false
	}
	return true
}

func (p *engines) open(ctx context.Context, c table.OpenStream) {
	ctx, cancel := context.WithCancel(ctx)
	p.streams[streamKey{c.Call.Request, c.Call.Attempt}] = cancel
	p.router.Log.Info("router: attempt started", zap.String("request", string(c.Call.Request)),
		zap.Uint64("attempt", uint64(c.Call.Attempt)), zap.String("endpoint", string(c.Endpoint)),
		zap.Int("from", int(c.Call.Position)), zap.Bool("resume", c.Call.Resume))
	p.router.group.Go(func() {
		err := p.readStream(ctx, c)
		p.router.post(table.StreamLost{Request: c.Call.Request, Attempt: c.Call.Attempt, Err: err})
	})
}

// readStream opens a stream and posts its frames until it ends.
func (p *engines) readStream(ctx context.Context, c table.OpenStream) error {
	stream, err := p.router.Engine.Open(ctx, c.Address, c.Call)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for {
		f, err := stream.Next()
		if err != nil {
			return err
		}
		if !p.router.post(table.FrameReceived{Request: c.Call.Request, Attempt: c.Call.Attempt, Frame: f}) {
			return ErrStopped
		}
	}
}

func (p *engines) cancel(ctx context.Context, c table.CancelAttempt) {
	key := streamKey{c.Request, c.Attempt}
	if cancel, open := p.streams[key]; open {
		cancel()
		delete(p.streams, key)
	}
	if c.KeepWork || c.Address == "" {
		return
	}
	p.router.group.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		_ = p.router.Engine.Cancel(ctx, c.Address, jaywind.Work{Request: c.Request, Run: c.Run}, c.Attempt)
	})
}

func (p *engines) probe(ctx context.Context, c table.ProbeProgress) {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	progress, err := p.router.Engine.Probe(ctx, c.Address, jaywind.Work{Request: c.Request, Run: c.Run})
	p.router.post(table.ProbeAnswered{Request: c.Request, Attempt: c.Attempt, Progress: progress, Err: err})
}
