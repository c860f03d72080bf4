package embed

import (
	"context"
	"time"

	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/table"
)

const cancelLimit = time.Second

// engines carries the attempts of generations.
type engines struct {
	router  *Router
	streams map[streamKey]context.CancelFunc // used by the loop only
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
	p.router.Log.Info("router: attempt opens", zap.String("request", string(c.Call.Request)),
		zap.Uint64("attempt", uint64(c.Call.Attempt)), zap.String("endpoint", string(c.Endpoint)),
		zap.Int("from", int(c.Call.Position)), zap.Bool("resume", c.Call.Resume))
	p.router.group.Go(func() {
		err := p.read(ctx, c)
		p.router.post(table.StreamLost{Request: c.Call.Request, Attempt: c.Call.Attempt, Err: err})
	})
}

// read posts the frames of a stream until it ends.
func (p *engines) read(ctx context.Context, c table.OpenStream) error {
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
		ctx, cancel := context.WithTimeout(ctx, cancelLimit)
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
