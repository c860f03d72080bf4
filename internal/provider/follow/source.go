package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"jaywind"
)

// Connections may go silent for good. A router asks again, over a new connection, before what it knows is older than maxAge, so that it is
// up to date within contactTime. The waits at the store follow from that age, whatever paused or failed before.
const (
	contactTime  = 3 * time.Second                       // for which a router whose connections are lost may be out of date
	maxAge       = contactTime - 200*time.Millisecond    // of what a router knows when it gives up a call of the store; the rest is for the next call
	readerMaxAge = cacheFreshTime - 100*time.Millisecond // the same for a reader, whose items are no longer served after cacheFreshTime
)

const (
	storeWait       = time.Second             // for a watch of a reader at the store
	minWait         = time.Millisecond        // for a watch that is to be answered at once
	peerWait        = 800 * time.Millisecond  // for a watch at a peer, which may become unreachable without notice
	peerMargin      = 300 * time.Millisecond  // for a peer's answer to arrive after the wait
	peerListTimeout = time.Second             // for a list from a peer
	peerRetryDelay  = 2 * time.Second         // during which a peer that failed is not asked
	storeRetryDelay = 2500 * time.Millisecond // between two calls of the store while the peers and the store fail
	maxFailedPeers  = 64                      // remembered
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
	storeAskedAt   time.Time            // when the last call of the store that failed began, minus a random time
	lastPeer       string               // peer that answered last; empty for the store
	lastFromStore  bool                 // the store answered last
	answeredAt     time.Time            // when a source answered last
	era            int64                // latest era of an answer
	reader         bool                 // this router was a reader when it called last
	hasPeers       bool                 // there were peers to follow then
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
	if !exact && p.Seeds != nil {
		return p.firstList(ctx, prefix)
	}
	list := func(ctx context.Context, s Source, _ time.Duration) ([]Item, jaywind.StorePosition, error) {
		return s.List(ctx, prefix, exact)
	}
	r, answered := p.askPeers(ctx, p.candidates(), peerListTimeout, list)
	if !answered {
		r = p.askStore(ctx, func(ctx context.Context) result { return timeCall(ctx, p.Store, 0, list) })
	}
	return r.items, r.position, r.err
}

// Watch watches the first source that answers. If the preferred peer is lost, the others are asked for an answer at once.
func (p *PeerSource) Watch(ctx context.Context, prefix string, after jaywind.StorePosition, wait time.Duration) ([]Item, jaywind.StorePosition, error) {
	watch := func(ctx context.Context, s Source, wait time.Duration) ([]Item, jaywind.StorePosition, error) {
		return s.Watch(ctx, prefix, after, wait)
	}
	peers := p.candidates()
	if len(peers) > 0 {
		r := p.watchPeer(ctx, peers[0], min(wait, peerWait), watch)
		if r.answered() || ctx.Err() != nil {
			return r.items, r.position, r.err
		}
		if r, answered := p.askPeers(ctx, peers[1:], peerMargin, watch); answered {
			return r.items, r.position, r.err
		}
	}
	r := p.askStore(ctx, func(ctx context.Context) result { return p.watchStore(ctx, wait, watch) })
	return r.items, r.position, r.err
}

// sourceCall is a list or a watch of a source; a list ignores the wait.
type sourceCall func(ctx context.Context, s Source, wait time.Duration) ([]Item, jaywind.StorePosition, error)

// result is the outcome of a call of the store, or of a peer.
type result struct {
	peer     string // empty for the store
	items    []Item
	position jaywind.StorePosition
	err      error
	took     time.Duration
}

// answered tells whether the source answered, if only that the prefix has to be listed again.
func (r result) answered() bool { return r.err == nil || needsList(r.err) }

// timeCall makes one call and measures how long it takes.
func timeCall(ctx context.Context, s Source, wait time.Duration, c sourceCall) (r result) {
	start := time.Now()
	r.items, r.position, r.err = c(ctx, s, wait)
	r.took = time.Since(start)
	return r
}

// candidates returns the peers that have not failed lately.
func (p *PeerSource) candidates() (peers []Peer) {
	all, reader := p.Peers()
	p.hasPeers, p.reader = len(all) > 0, reader
	for _, peer := range all {
		if time.Since(p.failedAt[peer.Name]) >= peerRetryDelay {
			peers = append(peers, peer)
		}
	}
	return peers
}

// watchPeer watches one peer for at most wait.
func (p *PeerSource) watchPeer(ctx context.Context, peer Peer, wait time.Duration, c sourceCall) result {
	limited, cancel := context.WithTimeout(ctx, wait+peerMargin)
	defer cancel()
	r := timeCall(limited, peer.Source, wait, c)
	r.peer = peer.Name
	p.record(ctx, &r)
	return r
}

// askPeers asks peers for an answer at once, which each has to give within timeout, and returns the first one. The calls are hedged.
func (p *PeerSource) askPeers(ctx context.Context, peers []Peer, timeout time.Duration, c sourceCall) (first result, answered bool) {
	hedgeCalls(ctx, peers, timeout, c, func(r result) bool {
		p.record(ctx, &r)
		first, answered = r, r.answered()
		return answered
	})
	return first, answered
}

// askStore calls the store, unless it and the peers have failed a moment ago.
func (p *PeerSource) askStore(ctx context.Context, ask func(context.Context) result) result {
	switch {
	case ctx.Err() != nil:
		return result{err: ctx.Err()}
	case p.hasPeers && time.Since(p.storeAskedAt) < storeRetryDelay:
		return result{err: ErrStale}
	}
	r := ask(ctx)
	p.record(ctx, &r)
	return r
}

// watchStore watches the store. If the call runs into its time-out, as on a connection that has gone silent, it is repeated over a new one.
func (p *PeerSource) watchStore(ctx context.Context, wait time.Duration, c sourceCall) result {
	r, timedOut := p.watchStoreOnce(ctx, wait, c)
	if !timedOut {
		return r
	}
	p.reportFailure(r)
	r, _ = p.watchStoreOnce(ctx, wait, c)
	return r
}

func (p *PeerSource) watchStoreOnce(ctx context.Context, wait time.Duration, c sourceCall) (r result, timedOut bool) {
	limit := p.storeLimit(wait)
	limited, cancel := context.WithTimeout(ctx, limit+answerMargin)
	defer cancel()
	r = timeCall(limited, p.Store, limit, c)
	return r, !r.answered() && limited.Err() != nil && ctx.Err() == nil
}

// storeLimit returns how long the store may wait for a change: what the router knows must not become too old if there is no answer.
func (p *PeerSource) storeLimit(wait time.Duration) time.Duration {
	age := maxAge
	if p.reader {
		wait, age = min(wait, storeWait), readerMaxAge
	}
	return max(minWait, min(wait, age-answerMargin-time.Since(p.answeredAt)))
}

// record records the outcome of a call, which fails if it is from before the last restore of the store.
func (p *PeerSource) record(ctx context.Context, r *result) {
	if r.err == nil {
		r.err = p.recordEra(r.position)
	}
	switch {
	case r.answered():
		p.recordSource(r.peer, r.peer == "")
		return
	case ctx.Err() != nil:
		return
	}
	p.reportFailure(*r)
	if r.peer == "" {
		p.lastFromStore = false
		jitter := time.Duration(rand.Int64N(int64(storeRetryDelay / 2))) // so that routers do not all return to the store at once
		p.storeAskedAt = time.Now().Add(-r.took - jitter)                // a silent store may have come back while the call went on
		return
	}
	if p.failedAt == nil || len(p.failedAt) > maxFailedPeers {
		p.failedAt = map[string]time.Time{}
	}
	p.failedAt[r.peer] = time.Now()
}

// recordEra records the era of an answer, or returns ErrStale if it is from before the last restore of the store.
func (p *PeerSource) recordEra(position jaywind.StorePosition) error {
	if position.Era < p.era {
		return ErrStale
	}
	p.era = position.Era
	return nil
}

// reportFailure reports a call that failed.
func (p *PeerSource) reportFailure(r result) {
	if p.OnFailure == nil {
		return
	}
	f := Failure{Peer: r.peer, Took: r.took, Err: r.err}
	if !p.answeredAt.IsZero() {
		f.Age = time.Since(p.answeredAt)
	}
	p.OnFailure(f)
}

// recordSource records which source has answered, and reports a change of it.
func (p *PeerSource) recordSource(peer string, fromStore bool) {
	if p.OnSwitch != nil && (peer != p.lastPeer || fromStore != p.lastFromStore) {
		p.OnSwitch(peer)
	}
	p.lastPeer, p.lastFromStore, p.answeredAt = peer, fromStore, time.Now()
}
