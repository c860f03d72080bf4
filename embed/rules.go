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
	rulesWatchers     = 2                      // routers of each failure domain that watch the store
	membershipWait    = time.Second            // for peers to answer before the store is asked
	roleCheckPeriod   = 500 * time.Millisecond // between looks at who watches
	storeCheckPeriod  = 3 * time.Second        // between a watcher's proofs that the store answers
	storeCheckTimeout = time.Second
	minRetryDelay     = 500 * time.Millisecond // after a failed read of the store; doubles with jitter
	maxRetryDelay     = 2 * time.Second
	copyTimeout       = 1200 * time.Millisecond // for rules to be copied from a peer
	maxChunksBytes    = 2 << 20                 // of chunks in one message
	storeCheckKey     = "rules-beat"
)

// SetRules puts rules in force if version is higher than the one in force.
func (r *Router) SetRules(version jaywind.RulesVersion, set *rule.Set) bool {
	r.init()
	return r.post(table.Ruled{Version: version, Set: set})
}

// rulesFollower follows the accepted rules, in the store or at other routers.
type rulesFollower struct {
	router *Router
	parser rules.Parser

	mu      sync.Mutex
	current jaywind.RulesHead
	chunks  map[jaywind.ChunkID]string // of held
}

func (p *rulesFollower) execute(ctx context.Context, c table.Command) bool {
	f, mine := c.(table.FetchRules)
	if !mine {
		return false
	}
	p.router.group.Go(func() {
		err := p.copy(ctx, f)
		if err != nil {
			p.router.Log.Warn("rules: not copied from a peer", zap.String("peer", string(f.At)), zap.Error(err))
		}
		p.router.post(table.RulesFetched{Err: err})
	})
	return true
}

// run watches the store while this router is one of the watchers of its failure domain.
func (p *rulesFollower) run(ctx context.Context) {
	r := p.router
	if r.Store == nil {
		return
	}
	if r.Gossiper != nil && len(r.Seeds) > 0 {
		sleep(ctx, membershipWait)
	}
	for ctx.Err() == nil {
		if !p.isWatcher() {
			p.readOccasionally(ctx)
			sleep(ctx, roleCheckPeriod)
			continue
		}
		p.watchWhileSelected(ctx)
	}
}

// readOccasionally reads the store once in a while when no watcher has reached it for long.
//
// All routers together make about one such read a second, whatever their number.
func (p *rulesFollower) readOccasionally(ctx context.Context) {
	r := p.router
	lost := r.Clock.Now().Sub(time.Unix(0, r.storeReachedAt.Load())) > member.FreshLimit
	share := roleCheckPeriod.Seconds() / float64(len(r.Members()))
	if !lost || rand.Float64() > share {
		return
	}
	book := rules.Book{Store: r.Store, Cache: p.cached, Parser: &p.parser}
	accepted, err := book.Read(ctx)
	if err == nil {
		r.post(table.StoreReached{})
		p.adopt(accepted.Version, accepted.Text, accepted.Set)
	}
}

// isWatcher tells whether this router is to watch the store.
func (p *rulesFollower) isWatcher() bool {
	r := p.router
	return selected("rules-watch", r.Members(), r.Self, r.Domain, rulesWatchers) // always while it is alone
}

// selected tells whether a router is among the n of its failure domain for a key.
func selected(key string, members []jaywind.Member, self jaywind.VM, domain jaywind.Domain, n int) bool {
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

func (p *rulesFollower) watchWhileSelected(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	group.Go(func() { p.checkStore(ctx) })
	group.Go(func() { p.watch(ctx) })
	for ctx.Err() == nil && p.isWatcher() {
		sleep(ctx, roleCheckPeriod)
	}
	cancel()
	group.Wait()
}

// watch posts each accepted set of rules.
func (p *rulesFollower) watch(ctx context.Context) {
	r := p.router
	book := rules.Book{Store: r.Store, Cache: p.cached, Parser: &p.parser}
	var last jaywind.Revision
	retry := minRetryDelay
	for ctx.Err() == nil {
		accepted, err := book.Watch(ctx, last)
		if err == nil && accepted.Version >= p.head().Version {
			last = accepted.Revision
			retry = minRetryDelay
			r.post(table.StoreReached{})
			p.adopt(accepted.Version, accepted.Text, accepted.Set)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			err = fmt.Errorf("%w: stale version %d", jaywind.ErrUnavailable, accepted.Version)
		}
		r.Log.Warn("rules: store not read", zap.Error(err))
		sleep(ctx, retry/2+rand.N(retry/2))
		retry = min(2*retry, maxRetryDelay)
	}
}

// checkStore proves from time to time that the store answers.
func (p *rulesFollower) checkStore(ctx context.Context) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, storeCheckTimeout)
		_, err := p.router.Store.Get(call, storeCheckKey)
		cancel()
		if err == nil || errors.Is(err, jaywind.ErrAbsent) {
			p.router.post(table.StoreReached{})
		}
		sleep(ctx, storeCheckPeriod)
	}
}

// copy takes newer rules from a peer, only the chunks that are not at hand.
func (p *rulesFollower) copy(ctx context.Context, f table.FetchRules) error {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	h, err := p.router.Copier.Head(ctx, f.At)
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
		n := min(len(missing), maxChunksBytes/rules.ChunkLimit)
		texts, err := p.router.Copier.Chunks(ctx, f.At, missing[:n])
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
	p.adopt(h.Version, text, set)
	return nil
}

// adopt keeps accepted rules for peers and puts them in force, unless newer ones are held.
func (p *rulesFollower) adopt(version jaywind.RulesVersion, text string, set *rule.Set) {
	chunks := rules.Split(text)
	ids := rules.IDsOf(chunks)
	p.mu.Lock()
	if version <= p.current.Version {
		p.mu.Unlock()
		return
	}
	p.current = jaywind.RulesHead{Version: version, Chunks: ids}
	p.chunks = map[jaywind.ChunkID]string{}
	for i, id := range ids {
		p.chunks[id] = chunks[i]
	}
	p.mu.Unlock()
	p.router.Log.Info("rules: put in force", zap.Uint64("version", uint64(version)))
	p.router.SetRules(version, set)
}

func (p *rulesFollower) head() jaywind.RulesHead {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

func (p *rulesFollower) cached(id jaywind.ChunkID) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, found := p.chunks[id]
	return c, found
}

// RulesHead returns the head of the rules that this router holds; its version is 0 for none.
func (r *Router) RulesHead() jaywind.RulesHead {
	r.init()
	return r.rules.head()
}

// RulesChunks returns chunks of the rules that this router holds, or an error that wraps jaywind.ErrAbsent.
func (r *Router) RulesChunks(ids []jaywind.ChunkID) ([]string, error) {
	r.init()
	var texts []string
	for _, id := range ids {
		c, found := r.rules.cached(id)
		if !found {
			return nil, fmt.Errorf("%w: chunk %s", jaywind.ErrAbsent, id)
		}
		texts = append(texts, c)
	}
	return texts, nil
}

// RulesText returns the rules that this router holds, with their version.
func (r *Router) RulesText() (jaywind.RulesVersion, string) {
	r.init()
	p := &r.rules
	p.mu.Lock()
	defer p.mu.Unlock()
	text, _ := rules.Join(p.current.Chunks, p.chunks)
	return p.current.Version, text
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
