package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	freshList    = 600 * time.Millisecond  // for a first list before seeds are asked beside it; it takes some ms as a rule
	seedList     = 250 * time.Millisecond  // for a seed's list
	peerPatience = 2500 * time.Millisecond // for a first list of the routers to follow, before the store is asked
	peerStart    = 700 * time.Millisecond  // for one of them to answer at all
	peerSlow     = 120 * time.Millisecond  // of an answer, after which another router is asked as well
	peerAgain    = 50 * time.Millisecond   // between two rounds of asking them, at least
)

// first reads a list for a router that has just started. In a large fleet others may hand theirs on; otherwise the store
// tells. While that is slow a seed may be faster, which perhaps does not hear from the store either: the router learns
// what the others believe.
func (p *Path) first(ctx context.Context, prefix string) ([]Item, int64, error) {
	if p.Others != nil {
		if items, revision, found := p.patient(ctx, prefix); found {
			return items, revision, nil
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group conc.WaitGroup
	defer group.Wait()
	own := make(chan listed, 1)
	group.Go(func() {
		items, revision, err := p.Direct.List(ctx, prefix, false) // routers to follow may have stopped with this one
		own <- listed{items: items, revision: revision, err: err}
	})
	timer := time.NewTimer(freshList)
	defer timer.Stop()
	var l listed
	select {
	case l = <-own:
		if l.err == nil {
			p.note("", true)
			return l.items, l.revision, nil
		}
		own <- l // for when no seed answers
	case <-timer.C: // the list goes on beside the seeds: when many routers start at once, it takes its time
	}
	if seeded := p.fromSeeds(ctx, prefix); seeded.err == nil {
		cancel()
		group.Wait()
		p.note(seeded.peer, false)
		return seeded.items, seeded.revision, nil
	}
	l = <-own
	p.direct = false
	if l.err == nil {
		p.note("", true)
	}
	return l.items, l.revision, l.err
}

// fromSeeds returns the list of the first seed that has one.
func (p *Path) fromSeeds(ctx context.Context, prefix string) listed {
	for _, seed := range p.Seeds() {
		limited, cancel := context.WithTimeout(ctx, seedList)
		items, revision, err := seed.Source.List(limited, prefix, false)
		cancel()
		if err == nil {
			return listed{seed.Name, items, revision, nil}
		}
	}
	return listed{err: ErrStale}
}

// patient reads a first list from the routers to follow, which perhaps have started at the same time and list
// themselves: if all routers of a large fleet asked the store, none would have its list soon. Each router sends a few
// lists at a time only, so that others that have theirs hand it on.
func (p *Path) patient(ctx context.Context, prefix string) (items []Item, revision int64, found bool) {
	if p.began.IsZero() {
		p.began = time.Now()
	}
	for time.Since(p.began) < peerPatience && ctx.Err() == nil {
		peers, _ := p.Peers()
		others := p.Others()
		if len(peers) == 0 || len(others) == 0 {
			return nil, 0, false
		}
		got, alive := race(ctx, prefix, slices.Concat(peers, others))
		if got.err == nil {
			p.note(got.peer, false)
			return got.items, got.revision, true
		}
		if !alive && time.Since(p.began) >= peerStart {
			return nil, 0, false
		}
		timer := time.NewTimer(peerAgain + time.Duration(rand.Int64N(int64(peerAgain))))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return nil, 0, false
}

// race asks peers for an old list one after the other, the next when the one before has refused or is slow to answer,
// and returns the first list; alive tells otherwise whether one of them may have it later.
func race(ctx context.Context, prefix string, peers []Peer) (first listed, alive bool) {
	ctx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	answers := make(chan listed, len(peers))
	asked, answered := 0, 0
	ask := func() {
		peer := peers[asked]
		asked++
		group.Go(func() {
			limited, cancel := context.WithTimeout(ctx, peerList)
			defer cancel()
			items, revision, err := peer.Source.List(limited, prefix, false)
			answers <- listed{peer.Name, items, revision, err}
		})
	}
	next := time.NewTicker(peerSlow)
	defer next.Stop()
	first.err = ErrStale
	for answered < len(peers) {
		if asked == answered {
			ask()
			next.Reset(peerSlow)
		}
		select {
		case a := <-answers:
			answered++
			if a.err == nil {
				return a, true
			}
			alive = alive || errors.Is(a.err, ErrStale) || errors.Is(a.err, ErrLater)
		case <-next.C:
			if asked < len(peers) {
				ask()
			}
		}
	}
	return first, alive
}

// listed is the outcome of a list.
type listed struct {
	peer     string
	items    []Item
	revision int64
	err      error
}
