package follow_test

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"jaywind/internal/provider/follow"
)

// reader is a router that follows a store and shows it to others.
type reader struct {
	source *store
	board  follow.Board
	dead   atomic.Bool
	hangs  atomic.Bool
}

func newReader(ctx context.Context, group *conc.WaitGroup, truth *store) *reader {
	r := &reader{source: &store{}}
	r.source.copyOf(truth)
	path := &follow.Path{Direct: r.source, Peers: func() ([]follow.Peer, bool) { return nil, true }}
	f := &follow.Follower{Source: path, Log: zap.NewNop(), Changed: func(follow.Item) {}, Board: &r.board, Direct: path.IsDirect}
	group.Go(func() { _ = f.Run(ctx) })
	return r
}

func (r *reader) List(ctx context.Context, prefix string, exact bool) ([]follow.Item, int64, error) {
	if err := r.fails(ctx); err != nil {
		return nil, 0, err
	}
	return r.board.List(ctx, prefix, exact)
}

func (r *reader) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]follow.Item, int64, error) {
	if err := r.fails(ctx); err != nil {
		return nil, 0, err
	}
	return r.board.Watch(ctx, prefix, after, wait)
}

func (r *reader) fails(ctx context.Context) error {
	if r.dead.Load() {
		return errAway
	}
	if r.hangs.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}
