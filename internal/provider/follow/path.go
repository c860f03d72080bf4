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
	directWait   = time.Second             // of a router that others follow
	peerWait     = 800 * time.Millisecond  // of one that follows another, which may be cut off without notice
	peerSlack    = 300 * time.Millisecond  // for a peer's answer to come
	peerList     = time.Second             // for a peer's whole list
	freshList    = 600 * time.Millisecond  // for a first list before seeds are asked beside it; it takes some ms as a rule
	seedList     = 250 * time.Millisecond  // for a seed's list
	peerPatience = 2500 * time.Millisecond // for a first list of the routers to follow, before the store is asked
	peerStart    = 700 * time.Millisecond  // for one of them to answer at all
	peerSlow     = 120 * time.Millisecond  // of an answer, after which another router is asked as well
	peerAgain    = 50 * time.Millisecond   // between two rounds of asking them, at least
	peerPause    = 2 * time.Second         // in which a peer that failed is not asked
	directPause  = 2500 * time.Millisecond // between two calls of the store while both peers and store fail
)

// Peer is another router that may be followed.
type Peer struct {
	Name   string
	Source Source
}

// Path reads from other routers that follow the store, or from the store itself when there are none
// or none answers. Set its fields before use; its methods are called by one goroutine.
type Path struct {
	Direct Source
	Peers  func() (peers []Peer, reader bool) // in the order of preference; reader tells whether others follow this router
	Others func() []Peer                      // some drawn at random that may hand on a first list, none in a fleet that is not large; may be nil
	Seeds  func() []Peer                      // asked for an old list when nothing else answers; may be nil
	Used   func(peer string)                  // is told when the source changes; empty for the store; may be nil

	began  time.Time            // of the first list by way of peers; zero before
	failed map[string]time.Time // when a peer last failed
	tried  time.Time            // when the store last failed
	last   string               // the peer that answered last; empty for the store
	direct bool                 // the store answered last
}

// IsDirect tells whether the last answer was the store's own.
func (p *Path) IsDirect() bool { return p.direct }

// List reads everything from the first source that answers. A list that need not be exact may come from a seed, which
// perhaps does not hear from the store either: a router that has just started learns what the others believe.
func (p *Path) List(ctx context.Context, prefix string, exact bool) ([]Item, int64, error) {
	if exact || p.Seeds == nil {
		return p.list(ctx, prefix, exact)
	}
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
		items, revision, err := p.Direct.List(ctx, prefix, exact) // routers to follow may have stopped with this one
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
	for _, seed := range p.Seeds() {
		limited, cancelSeed := context.WithTimeout(ctx, seedList)
		items, revision, err := seed.Source.List(limited, prefix, false)
		cancelSeed()
		if err == nil {
			cancel()
			group.Wait()
			p.note(seed.Name, false)
			return items, revision, nil
		}
	}
	l = <-own
	p.direct = false
	if l.err == nil {
		p.note("", true)
	}
	return l.items, l.revision, l.err
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

func (p *Path) list(ctx context.Context, prefix string, exact bool) (items []Item, revision int64, err error) {
	err = p.each(ctx, func(ctx context.Context, s Source, peer, _ bool) error {
		if peer {
			limited, cancel := context.WithTimeout(ctx, peerList)
			defer cancel()
			ctx = limited
		}
		items, revision, err = s.List(ctx, prefix, exact)
		return err
	})
	return items, revision, err
}

// Watch waits at the first source that answers, for no longer than it may be silent unnoticed.
func (p *Path) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (items []Item, revision int64, err error) {
	err = p.each(ctx, func(ctx context.Context, s Source, peer, reader bool) error {
		limit := wait
		switch {
		case peer:
			limit = min(wait, peerWait)
			limited, cancel := context.WithTimeout(ctx, limit+peerSlack)
			defer cancel()
			ctx = limited
		case reader:
			limit = min(wait, directWait)
			limited, cancel := context.WithTimeout(ctx, limit+waitSlack)
			defer cancel()
			ctx = limited
		}
		items, revision, err = s.Watch(ctx, prefix, after, limit)
		return err
	})
	return items, revision, err
}

// each calls the sources in their order until one answers.
func (p *Path) each(ctx context.Context, call func(ctx context.Context, s Source, peer, reader bool) error) error {
	peers, reader := p.Peers()
	for _, peer := range peers {
		if time.Since(p.failed[peer.Name]) < peerPause {
			continue
		}
		err := call(ctx, peer.Source, true, false)
		if err == nil || errors.Is(err, ErrCompacted) {
			p.note(peer.Name, false)
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if p.failed == nil || len(p.failed) > len(peers)+16 {
			p.failed = map[string]time.Time{}
		}
		p.failed[peer.Name] = time.Now()
	}
	if len(peers) > 0 && time.Since(p.tried) < directPause {
		return ErrStale
	}
	err := call(ctx, p.Direct, false, reader)
	if err == nil || errors.Is(err, ErrCompacted) {
		p.note("", true)
		return err
	}
	p.direct = false
	p.tried = time.Now().Add(-time.Duration(rand.Int64N(int64(directPause / 2)))) // routers come back spread out
	return err
}

func (p *Path) note(peer string, direct bool) {
	if p.Used != nil && (peer != p.last || direct != p.direct) {
		p.Used(peer)
	}
	p.last, p.direct = peer, direct
}
