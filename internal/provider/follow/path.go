package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	directWait  = time.Second             // of a router that others follow
	peerWait    = 800 * time.Millisecond  // of one that follows another, which may be cut off without notice
	peerSlack   = 300 * time.Millisecond  // for a peer's answer to come
	peerList    = time.Second             // for a peer's whole list
	peerPause   = 2 * time.Second         // in which a peer that failed is not asked
	directPause = 2500 * time.Millisecond // between two calls of the store while both peers and store fail
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

// List reads everything from the first source that answers; a list that need not be exact is a router's first one.
func (p *Path) List(ctx context.Context, prefix string, exact bool) ([]Item, int64, error) {
	if exact || p.Seeds == nil {
		return p.list(ctx, prefix, exact)
	}
	return p.first(ctx, prefix)
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
