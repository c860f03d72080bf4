package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"jaywind"
)

const (
	seedDelay        = 600 * time.Millisecond  // for the first list from the store, before seeds are asked as well; it usually takes some ms
	seedTimeout      = 250 * time.Millisecond  // for the list of one seed
	firstListTimeout = 2500 * time.Millisecond // for a first list from other routers, before the store is asked
	peerStartTime    = 700 * time.Millisecond  // for any of them to become reachable, as they may have started at the same time
	hedgeDelay       = 120 * time.Millisecond  // without an answer, after which the next router is asked as well
	roundDelay       = 50 * time.Millisecond   // least pause between two rounds of asking them
)

// firstList reads a list for a router that has just started. In a large fleet other routers may pass theirs on; otherwise
// the store is asked. If the store is slow or fails, seeds are asked as well. A seed's list may be old, as the seed may
// have lost the store too, but it shows what the other routers use.
func (p *PeerSource) firstList(ctx context.Context, prefix string) ([]Item, jaywind.StorePosition, error) {
	if p.FirstListPeers != nil {
		if l, found := p.listFromPeers(ctx, prefix); found {
			return l.items, l.position, nil
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group conc.WaitGroup
	defer group.Wait()
	own := make(chan result, 1)
	group.Go(func() {
		items, position, err := p.Store.List(ctx, prefix, false) // not from the readers, which may have stopped together with this router
		own <- result{items: items, position: position, err: err}
	})
	timer := time.NewTimer(seedDelay)
	defer timer.Stop()
	var l result
	select {
	case l = <-own:
		if p.isCurrent(&l) {
			p.recordSource("", true)
			return l.items, l.position, nil
		}
		own <- l // returned below if no seed answers
	case <-timer.C: // the list from the store continues in parallel: it is slow when many routers start at once
	}
	if seeded := p.fromSeeds(ctx, prefix); p.isCurrent(&seeded) {
		cancel()
		group.Wait()
		p.recordSource(seeded.peer, false)
		return seeded.items, seeded.position, nil
	}
	l = <-own
	p.lastFromStore = false
	if p.isCurrent(&l) {
		p.recordSource("", true)
	}
	return l.items, l.position, l.err
}

// isCurrent reports whether there is a list and it is not from before the last restore of the store; its error is set if it
// is.
func (p *PeerSource) isCurrent(l *result) bool {
	if l.err == nil {
		l.err = p.recordEra(l.position)
	}
	return l.err == nil
}

// fromSeeds returns the list of the first seed that answers, or ErrStale.
func (p *PeerSource) fromSeeds(ctx context.Context, prefix string) result {
	for _, seed := range p.Seeds() {
		limited, cancel := context.WithTimeout(ctx, seedTimeout)
		items, position, err := seed.Source.List(limited, prefix, false)
		cancel()
		if err == nil {
			return result{peer: seed.Name, items: items, position: position}
		}
	}
	return result{err: ErrStale}
}

// listFromPeers reads a first list from the readers, or from other routers that have one by now. If all routers of a large
// fleet listed from the store at once, none would have its list soon. The readers may have started at the same time and
// still be listing, and each router sends only a few lists at a time, so rounds of asking are repeated until a timeout.
func (p *PeerSource) listFromPeers(ctx context.Context, prefix string) (l result, found bool) {
	if p.firstListStart.IsZero() {
		p.firstListStart = time.Now()
	}
	for time.Since(p.firstListStart) < firstListTimeout && ctx.Err() == nil {
		peers, _ := p.Peers()
		others := p.FirstListPeers()
		if len(peers) == 0 || len(others) == 0 {
			return result{}, false
		}
		got, alive := hedgedList(ctx, prefix, slices.Concat(peers, others))
		if p.isCurrent(&got) {
			p.recordSource(got.peer, false)
			return got, true
		}
		if !alive && time.Since(p.firstListStart) >= peerStartTime {
			return result{}, false
		}
		timer := time.NewTimer(roundDelay + time.Duration(rand.Int64N(int64(roundDelay))))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return result{}, false
}

// hedgedList asks peers for a list that need not be exact, and returns the first one. Without a list, alive tells whether a peer may have one
// later.
func hedgedList(ctx context.Context, prefix string, peers []Peer) (first result, alive bool) {
	first.err = ErrStale
	list := func(ctx context.Context, s Source, _ time.Duration) ([]Item, jaywind.StorePosition, error) {
		return s.List(ctx, prefix, false)
	}
	hedgeCalls(ctx, peers, peerListTimeout, list, func(r result) bool {
		if r.err == nil {
			first = r
		}
		alive = alive || r.err == nil || errors.Is(r.err, ErrStale) || errors.Is(r.err, ErrTooManyLists)
		return r.err == nil
	})
	return first, alive
}

// hedgeCalls calls peers until accept returns true for an answer. The next peer is asked when the one before has failed or has not answered within
// hedgeDelay.
func hedgeCalls(ctx context.Context, peers []Peer, timeout time.Duration, c sourceCall, accept func(result) bool) {
	ctx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	answers := make(chan result, len(peers))
	asked, answered := 0, 0
	ask := func() {
		peer := peers[asked]
		asked++
		group.Go(func() {
			limited, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			r := timeCall(limited, peer.Source, 0, c)
			r.peer = peer.Name
			answers <- r
		})
	}
	next := time.NewTicker(hedgeDelay)
	defer next.Stop()
	for answered < len(peers) {
		if asked == answered {
			ask()
			next.Reset(hedgeDelay)
		}
		select {
		case r := <-answers:
			answered++
			if accept(r) {
				return
			}
		case <-next.C:
			if asked < len(peers) {
				ask()
			}
		}
	}
}
