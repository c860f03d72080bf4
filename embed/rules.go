package embed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/member"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
	"jaywind/internal/fleet/rendezvous"
	"jaywind/internal/provider/rules"
)

const (
	rulesWatchers = 2                      // routers of each failure domain that watch the store
	joinWait      = time.Second            // for peers to answer before the store is asked
	rolePeriod    = 500 * time.Millisecond // between looks at who watches
	beatPeriod    = 3 * time.Second        // between a watcher's proofs that the store answers
	beatLimit     = time.Second
	firstRetry    = 500 * time.Millisecond // after a failed read of the store; doubles with jitter
	lastRetry     = 2 * time.Second
	copyLimit     = 1200 * time.Millisecond // for rules to be copied from a peer
	copyBytes     = 2 << 20                 // of chunks in one message
	beatKey       = "rules-beat"
)

// SetRules puts rules in force if version is higher than the one in force.
func (r *Router) SetRules(version jaywind.RulesVersion, set *rule.Set) bool {
	r.init()
	return r.post(table.RulesReceived{Version: version, Set: set})
}

// rulebook follows the accepted rules, in the store or at other routers.
type rulebook struct {
	router *Router
	parser rules.Parser

	mu     sync.Mutex
	held   jaywind.RulesHead
	chunks map[jaywind.ChunkID]string // of held
}

func (p *rulebook) execute(ctx context.Context, c table.Command) bool {
	f, mine := c.(table.FetchRules)
	if !mine {
		return false
	}
	p.router.group.Go(func() {
		err := p.copy(ctx, f)
		if err != nil {
			p.router.Log.Warn("rules: not copied from a peer", zap.String("peer", string(f.Address)), zap.Error(err))
		}
		p.router.post(table.RulesFetched{Err: err})
	})
	return true
}

// run watches the store while this router is one of the watchers of its failure domain.
func (p *rulebook) run(ctx context.Context) {
	r := p.router
	if r.Store == nil {
		return
	}
	if r.Gossiper != nil && len(r.Seeds) > 0 {
		pause(ctx, joinWait)
	}
	for ctx.Err() == nil {
		if !p.watches() {
			p.standIn(ctx)
			pause(ctx, rolePeriod)
			continue
		}
		p.watchWhileChosen(ctx)
	}
}

// standIn reads the store once in a while when no watcher has reached it for long.
//
// All routers together make about one such read a second, whatever their number.
func (p *rulebook) standIn(ctx context.Context) {
	r := p.router
	lost := r.Clock.Now().Sub(time.Unix(0, r.storeAt.Load())) > member.StoreStaleAfter
	share := rolePeriod.Seconds() / float64(len(r.Members()))
	if !lost || rand.Float64() > share {
		return
	}
	book := rules.Book{Store: r.Store, Cache: p.cached, Parser: &p.parser}
	accepted, err := book.Read(ctx)
	if err == nil {
		r.post(table.StoreReached{})
		p.hold(accepted.Version, accepted.Text, accepted.Set)
	}
}

// watches tells whether this router is to watch the store.
func (p *rulebook) watches() bool {
	r := p.router
	return chosen("rules-watch", r.Members(), r.Self, r.Domain, rulesWatchers) // always while it is alone
}

// chosen tells whether a router is among the n of its failure domain for a key.
func chosen(key string, members []jaywind.Member, self jaywind.VM, domain jaywind.Domain, n int) bool {
	var near []jaywind.Member
	for _, m := range members {
		if m.Domain == domain && m.Liveness == jaywind.LivenessAlive && !m.Leaving {
			near = append(near, m)
		}
	}
	for _, m := range rendezvous.Pick(key, near, n, "") {
		if m.VM == self {
			return true
		}
	}
	return false
}

func (p *rulebook) watchWhileChosen(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	group.Go(func() { p.beat(ctx) })
	group.Go(func() { p.watch(ctx) })
	for ctx.Err() == nil && p.watches() {
		pause(ctx, rolePeriod)
	}
	cancel()
	group.Wait()
}

// watch posts each accepted set of rules.
func (p *rulebook) watch(ctx context.Context) {
	r := p.router
	book := rules.Book{Store: r.Store, Cache: p.cached, Parser: &p.parser}
	var last jaywind.Revision
	retry := firstRetry
	for ctx.Err() == nil {
		accepted, err := book.Watch(ctx, last)
		if err == nil && accepted.Version >= p.head().Version {
			last = accepted.Revision
			retry = firstRetry
			r.post(table.StoreReached{})
			p.hold(accepted.Version, accepted.Text, accepted.Set)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			err = fmt.Errorf("%w: stale version %d", jaywind.ErrStoreUnavailable, accepted.Version)
		}
		r.Log.Warn("rules: store not read", zap.Error(err))
		pause(ctx, retry/2+rand.N(retry/2))
		retry = min(2*retry, lastRetry)
	}
}

// beat proves from time to time that the store answers.
func (p *rulebook) beat(ctx context.Context) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, beatLimit)
		_, err := p.router.Store.Get(call, beatKey)
		cancel()
		if err == nil || errors.Is(err, jaywind.ErrKeyNotFound) {
			p.router.post(table.StoreReached{})
		}
		pause(ctx, beatPeriod)
	}
}

// copy takes newer rules from a peer, only the chunks that are not at hand.
func (p *rulebook) copy(ctx context.Context, f table.FetchRules) error {
	ctx, cancel := context.WithTimeout(ctx, copyLimit)
	defer cancel()
	h, err := p.router.Copier.Head(ctx, f.Address)
	if err != nil || h.Version <= p.head().Version {
		return err
	}
	chunks := map[jaywind.ChunkID]string{}
	var missing []jaywind.ChunkID
	for _, id := range h.Chunks {
		if c, found := p.cached(id); found {
			chunks[id] = c
		} else {
			missing = append(missing, id)
		}
	}
	for len(missing) > 0 {
		n := min(len(missing), copyBytes/rules.ChunkLimit)
		texts, err := p.router.Copier.Chunks(ctx, f.Address, missing[:n])
		if err != nil {
			return err
		}
		for i, t := range texts {
			chunks[missing[i]] = t
		}
		missing = missing[n:]
	}
	text, err := rules.Join(h.Chunks, chunks)
	if err != nil {
		return err
	}
	set, findings := p.parser.Parse("rules", text)
	if len(findings) > 0 {
		return fmt.Errorf("%w: %s", rules.ErrFindings, findings[0])
	}
	p.hold(h.Version, text, set)
	return nil
}

// hold keeps accepted rules for peers and puts them in force, unless newer ones are held.
func (p *rulebook) hold(version jaywind.RulesVersion, text string, set *rule.Set) {
	chunks := rules.Split(text)
	ids := rules.IDsOf(chunks)
	p.mu.Lock()
	if version <= p.held.Version {
		p.mu.Unlock()
		return
	}
	p.held = jaywind.RulesHead{Version: version, Chunks: ids}
	p.chunks = map[jaywind.ChunkID]string{}
	for i, id := range ids {
		p.chunks[id] = chunks[i]
	}
	p.mu.Unlock()
	p.router.Log.Info("rules: put in force", zap.Uint64("version", uint64(version)))
	p.router.SetRules(version, set)
}

func (p *rulebook) head() jaywind.RulesHead {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

func (p *rulebook) cached(id jaywind.ChunkID) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, found := p.chunks[id]
	return c, found
}

// RulesHead returns the head of the rules that this router holds; its version is 0 for none.
func (r *Router) RulesHead() jaywind.RulesHead {
	r.init()
	return r.rulebook.head()
}

// RulesChunks returns chunks of the rules that this router holds, or an error that wraps jaywind.ErrAbsent.
func (r *Router) RulesChunks(ids []jaywind.ChunkID) ([]string, error) {
	r.init()
	var texts []string
	for _, id := range ids {
		c, found := r.rulebook.cached(id)
		if !found {
			return nil, fmt.Errorf("%w: chunk %s", jaywind.ErrKeyNotFound, id)
		}
		texts = append(texts, c)
	}
	return texts, nil
}

// RulesText returns the rules that this router holds, with their version.
func (r *Router) RulesText() (jaywind.RulesVersion, string) {
	r.init()
	p := &r.rulebook
	p.mu.Lock()
	defer p.mu.Unlock()
	text, _ := rules.Join(p.held.Chunks, p.chunks)
	return p.held.Version, text
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
