package follow_test

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/provider/follow"
)

// fakeReader is a router that watches a store and serves its items to others.
type fakeReader struct {
	source *fakeStore
	cache  follow.Cache
	down   atomic.Bool
	hangs  atomic.Bool
}

func newReader(ctx context.Context, group *conc.WaitGroup, truth *fakeStore) *fakeReader {
	r := &fakeReader{source: &fakeStore{}}
	r.source.copyFrom(truth)
	path := &follow.PeerSource{Store: r.source, Peers: func() ([]follow.Peer, bool) { return nil, true }}
	f := &follow.Follower{Source: path, Log: zap.NewNop(), OnChange: func(follow.Item) {}, Cache: &r.cache, FromStore: path.FromStore, ForOthers: path.IsReader}
	group.Go(func() { _ = f.Run(ctx) })
	return r
}

func (r *fakeReader) List(ctx context.Context, prefix string, exact bool) ([]follow.Item, jaywind.StorePosition, error) {
	if err := r.failure(ctx); err != nil {
		return nil, jaywind.StorePosition{}, err
	}
	return r.cache.List(ctx, prefix, exact)
}

func (r *fakeReader) Watch(ctx context.Context, prefix string, after jaywind.StorePosition, wait time.Duration) ([]follow.Item, jaywind.StorePosition, error) {
	if err := r.failure(ctx); err != nil {
		return nil, jaywind.StorePosition{}, err
	}
	return r.cache.Watch(ctx, prefix, after, wait)
}

func (r *fakeReader) failure(ctx context.Context) error {
	if r.down.Load() {
		return errUnavailable
	}
	if r.hangs.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}
