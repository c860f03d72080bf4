package embed

import (
	"context"
	"time"

	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/table"
)

const cancelLimit = time.Second

type streamKey struct {
	request jaywind.RequestID
	attempt jaywind.Attempt
}

// execute starts what a command asks for; it never blocks the loop.
func (r *Router) execute(ctx context.Context, c table.Command) {
	switch c := c.(type) {
	case table.Open:
		r.openStream(ctx, c)
	case table.Cancel:
		r.cancelStream(ctx, c)
	case table.Probe:
		r.group.Go(func() { r.probe(ctx, c) })
	case table.Deliver:
		r.answers.deliver(c)
	case table.Finish:
		r.Log.Info("router: request ended", zap.String("request", string(c.Request)),
			zap.Uint64("attempt", uint64(c.Mark.Attempt)), zap.String("reason", c.Reason))
		r.answers.finish(c)
	}
}

func (r *Router) openStream(ctx context.Context, c table.Open) {
	ctx, cancel := context.WithCancel(ctx)
	r.streams[streamKey{c.Call.Request, c.Call.Attempt}] = cancel
	r.Log.Info("router: attempt opens", zap.String("request", string(c.Call.Request)),
		zap.Uint64("attempt", uint64(c.Call.Attempt)), zap.String("endpoint", string(c.Endpoint)),
		zap.Int("from", int(c.Call.From)), zap.Bool("resume", c.Call.Resume))
	r.group.Go(func() {
		err := r.readStream(ctx, c)
		r.post(table.Lost{Request: c.Call.Request, Attempt: c.Call.Attempt, Err: err})
	})
}

// readStream posts the frames of a stream until it ends.
func (r *Router) readStream(ctx context.Context, c table.Open) error {
	stream, err := r.Engine.Open(ctx, c.At, c.Call)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for {
		f, err := stream.Next()
		if err != nil {
			return err
		}
		if !r.post(table.Framed{Request: c.Call.Request, Attempt: c.Call.Attempt, Frame: f}) {
			return ErrStopped
		}
	}
}

func (r *Router) cancelStream(ctx context.Context, c table.Cancel) {
	key := streamKey{c.Request, c.Attempt}
	if cancel, open := r.streams[key]; open {
		cancel()
		delete(r.streams, key)
	}
	if c.KeepWork || c.At == "" {
		return
	}
	r.group.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, cancelLimit)
		defer cancel()
		_ = r.Engine.Cancel(ctx, c.At, c.Request, c.Attempt)
	})
}

func (r *Router) probe(ctx context.Context, c table.Probe) {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	p, err := r.Engine.Probe(ctx, c.At, c.Request)
	r.post(table.Probed{Request: c.Request, Attempt: c.Attempt, Progress: p, Err: err})
}
