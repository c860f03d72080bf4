package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"jaywind"
)

const (
	storeWait       = time.Second             // for a watch of a reader at the store
	peerWait        = 800 * time.Millisecond  // for a watch at a peer, which may become unreachable without notice
	peerMargin      = 300 * time.Millisecond  // for a peer's answer to arrive after the wait
	peerListTimeout = time.Second             // for a list from a peer
	peerRetryDelay  = 2 * time.Second         // during which a peer that failed is not asked
	storeRetryDelay = 2500 * time.Millisecond // between two calls of the store while the peers and the store fail
)

// Peer is another router that serves its items.
type Peer struct {
	Name   string
	Source Source
}

// PeerSource reads from other routers that watch the store, or from the store itself if there are none
// or none answers. Set its fields before use; its methods are not safe for concurrent use.
type PeerSource struct {
	Store          Source
	Peers          func() (peers []Peer, reader bool) // in the order of preference; reader tells whether this router is a reader
	FirstListPeers func() []Peer                      // routers drawn at random that may pass on a first list, none in a small fleet; may be nil
	Seeds          func() []Peer                      // asked for a first list while the store does not answer; may be nil
	OnSwitch       func(peer string)                  // is called when the source changes; peer is empty for the store; may be nil
	OnFailure      func(Failure)                      // is called after each call that failed; may be nil

	firstListStart time.Time            // when a first list was requested from peers; zero before
	failedAt       map[string]time.Time // when a peer last failed
	storeFailedAt  time.Time            // when the store last failed, minus a random time
	lastPeer       string               // peer that answered last; empty for the store
	lastFromStore  bool                 // the store answered last
	answeredAt     time.Time            // when a source answered last
	era            int64                // latest era of an answer
	reader         bool                 // this router was a reader when it called last
}

// Failure is a call of a source that failed.
type Failure struct {
	Peer string        // empty for the store
	Took time.Duration // until the call failed
	Age  time.Duration // of what the router knows: since any source answered last
	Err  error
}

// IsReader tells whether this router was a reader when it called last.
func (p *PeerSource) IsReader() bool { return p.reader }

// FromStore tells whether the last answer came from the store.
func (p *PeerSource) FromStore() bool { return p.lastFromStore }

// List lists from the first source that answers. A list that need not be exact is the first one of a router.
func (p *PeerSource) List(ctx context.Context, prefix string, exact bool) ([]Item, jaywind.StorePosition, error) {
	if exact || p.Seeds == nil {
		return p.list(ctx, prefix, exact)
	}
	return p.firstList(ctx, prefix)
}

func (p *PeerSource) list(ctx context.Context, prefix string, exact bool) (items []Item, position jaywind.StorePosition, err error) {
	err = p.tryEach(ctx, func(ctx context.Context, s Source, peer, _ bool) error {
		if peer {
			limited, cancel := context.WithTimeout(ctx, peerListTimeout)
			defer cancel()
			ctx = limited
		}
		if items, position, err = s.List(ctx, prefix, exact); err == nil {
			err = p.recordEra(position)
		}
		return err
	})
	return items, position, err
}

// recordEra records the era of an answer, or returns ErrStale if it is from before the last restore of the store.
func (p *PeerSource) recordEra(position jaywind.StorePosition) error {
	if position.Era < p.era {
		return ErrStale
	}
	p.era = position.Era
	return nil
}

// Watch watches the first source that answers. The wait is limited by how long an unreachable source may go unnoticed.
func (p *PeerSource) Watch(ctx context.Context, prefix string, after jaywind.StorePosition, wait time.Duration) (items []Item, position jaywind.StorePosition, err error) {
	err = p.tryEach(ctx, func(ctx context.Context, s Source, peer, reader bool) error {
		limit := wait
		switch {
		case peer:
			limit = min(wait, peerWait)
			limited, cancel := context.WithTimeout(ctx, limit+peerMargin)
			defer cancel()
			ctx = limited
		case reader:
			limit = min(wait, storeWait)
			limited, cancel := context.WithTimeout(ctx, limit+answerMargin)
			defer cancel()
			ctx = limited
		}
		if items, position, err = s.Watch(ctx, prefix, after, limit); err == nil {
			err = p.recordEra(position)
		}
		return err
	})
	return items, position, err
}

// tryEach calls the peers and then the store until one answers.
func (p *PeerSource) tryEach(ctx context.Context, call func(ctx context.Context, s Source, peer, reader bool) error) error {
	peers, reader := p.Peers()
	p.reader = reader
	for _, peer := range peers {
		if time.Since(p.failedAt[peer.Name]) < peerRetryDelay {
			continue
		}
		start := time.Now()
		err := call(ctx, peer.Source, true, false)
		if err == nil || needsList(err) {
			p.recordSource(peer.Name, false)
			return err
		}
		p.reportFailure(peer.Name, start, err)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if p.failedAt == nil || len(p.failedAt) > len(peers)+16 {
			p.failedAt = map[string]time.Time{}
		}
		p.failedAt[peer.Name] = time.Now()
	}
	if len(peers) > 0 && time.Since(p.storeFailedAt) < storeRetryDelay {
		return ErrStale
	}
	start := time.Now()
	err := call(ctx, p.Store, false, reader)
	if err == nil || needsList(err) {
		p.recordSource("", true)
		return err
	}
	p.reportFailure("", start, err)
	p.lastFromStore = false
	p.storeFailedAt = time.Now().Add(-time.Duration(rand.Int64N(int64(storeRetryDelay / 2)))) // so that routers do not all return to the store at once
	return err
}

// reportFailure reports a call that began at start and failed.
func (p *PeerSource) reportFailure(peer string, start time.Time, err error) {
	if p.OnFailure != nil && !errors.Is(err, context.Canceled) {
		now := time.Now()
		f := Failure{Peer: peer, Took: now.Sub(start), Err: err}
		if !p.answeredAt.IsZero() {
			f.Age = now.Sub(p.answeredAt)
		}
		p.OnFailure(f)
	}
}

// recordSource records which source has answered, and reports a change of it.
func (p *PeerSource) recordSource(peer string, fromStore bool) {
	if p.OnSwitch != nil && (peer != p.lastPeer || fromStore != p.lastFromStore) {
		p.OnSwitch(peer)
	}
	p.lastPeer, p.lastFromStore, p.answeredAt = peer, fromStore, time.Now()
}
