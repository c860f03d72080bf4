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
	rulesWatchers     = 2                      // routers per failure domain that watch the store
	membershipWait    = time.Second            // for peers to reply before the store is read
	roleCheckPeriod   = 500 * time.Millisecond // between checks whether this router is a watcher
	storeCheckPeriod  = 3 * time.Second        // between checks by a watcher that the store answers
	storeCheckTimeout = time.Second
	minRetryDelay     = 500 * time.Millisecond // after a failed read of the store; doubles each time, with jitter
	maxRetryDelay     = 2 * time.Second
	copyTimeout       = 1200 * time.Millisecond // for copying rules from a peer
	maxChunksBytes    = 2 << 20                 // chunks requested in one message
)

// SetRules puts rules in force if their version is higher than the current one.
// It returns false if the router has stopped.
func (r *Router) SetRules(version jaywind.RulesVersion, set *rule.Set) bool {
	r.init()
	return r.post(table.RulesReceived{Version: version, Set: set})
}

// rulesFollower keeps the rules up to date from the store and from peers.
type rulesFollower struct {
	router *Router
	parser rules.Parser

	mu          sync.Mutex
	current     jaywind.RulesHead
	chunks      map[jaywind.ChunkID]string // the text of current
	cancelWatch func()                     // ends the running watch
}

func (p *rulesFollower) execute(ctx context.Context, c table.Command) bool {
	f, ok := c.(table.FetchRules)
	if !ok {
		return false
	}
	p.router.group.Go(func() {
		err := p.copy(ctx, f)
		if err != nil {
			p.router.Log.Warn("rules: failed to copy rules from a peer", zap.String("peer", string(f.Address)), zap.Error(err))
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

// readOccasionally reads the store at random times if no watcher has reached it for member.StoreStaleAfter.
//
// The probability is chosen so that all routers together read about once a second, whatever their number.
func (p *rulesFollower) readOccasionally(ctx context.Context) {
	r := p.router
	stale := r.Clock.Now().Sub(time.Unix(0, r.storeReachedAt.Load())) > member.StoreStaleAfter
	probability := roleCheckPeriod.Seconds() / float64(len(r.Members()))
	if !stale || rand.Float64() > probability {
		return
	}
	repository := rules.Repository{Store: r.Store, Cache: p.cached, Parser: &p.parser}
	accepted, err := repository.Read(ctx)
	if err == nil {
		r.post(table.StoreReached{})
		p.adopt(accepted.Version, accepted.Text, accepted.Set)
	}
}

// isWatcher reports whether this router should watch the store.
func (p *rulesFollower) isWatcher() bool {
	r := p.router
	return selected("rules-watch", r.Members(), r.Self, r.Domain, rulesWatchers) // true if it is the only member
}

// selected reports whether self is among the n routers of its failure domain that rendezvous hashing picks for a key.
//
// Only members that are alive and not leaving are candidates.
func selected(key string, members []jaywind.Member, self jaywind.VM, domain jaywind.Domain, n int) bool {
	var candidates []jaywind.Member
	for _, m := range members {
		if m.Domain == domain && m.Liveness == jaywind.LivenessAlive && !m.Leaving {
			candidates = append(candidates, m)
		}
	}
	for _, m := range rendezvous.Pick(key, candidates, n, "") {
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

// watch adopts each version of the rules that is accepted into the store.
func (p *rulesFollower) watch(ctx context.Context) {
	r := p.router
	repository := rules.Repository{Store: r.Store, Cache: p.cached, Parser: &p.parser}
	var last jaywind.Revision
	delay := minRetryDelay
	for ctx.Err() == nil {
		accepted, err := p.watchOnce(ctx, repository, last)
		if err == nil && accepted.Version >= p.head().Version {
			last = accepted.Revision
			delay = minRetryDelay
			r.post(table.StoreReached{})
			p.adopt(accepted.Version, accepted.Text, accepted.Set)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errWatchEnded) {
			continue
		}
		if err == nil {
			err = fmt.Errorf("%w: store returned stale rules, version %d", jaywind.ErrStoreUnavailable, accepted.Version)
		}
		r.Log.Warn("rules: failed to read the store", zap.Error(err))
		sleep(ctx, delay/2+rand.N(delay/2))
		delay = min(2*delay, maxRetryDelay)
	}
}

// watchOnce waits for the next version. It ends early if another call of the store has shown that there is one.
func (p *rulesFollower) watchOnce(ctx context.Context, repository rules.Repository, last jaywind.Revision) (rules.Accepted, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p.mu.Lock()
	p.cancelWatch = func() { cancel(errWatchEnded) }
	p.mu.Unlock()
	accepted, err := repository.Watch(ctx, last)
	if err != nil && errors.Is(context.Cause(ctx), errWatchEnded) {
		return accepted, errWatchEnded
	}
	return accepted, err
}

// errWatchEnded is returned for a watch that endWatch has ended.
var errWatchEnded = errors.New("the watch was ended")

// endWatch ends the running watch, whose connection may have gone silent.
func (p *rulesFollower) endWatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancelWatch != nil {
		p.cancelWatch()
	}
}

// checkStore checks every storeCheckPeriod whether the store answers, and whether the watch has missed a version.
func (p *rulesFollower) checkStore(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, storeCheckTimeout)
		newest, err := rules.Repository{Store: p.router.Store}.Announced(callCtx)
		cancel()
		if err == nil {
			p.router.post(table.StoreReached{})
		}
		if err == nil && newest > p.head().Version {
			p.router.Log.Info("rules: the watch is late; watching again", zap.Uint64("newest", uint64(newest)))
			p.endWatch()
		}
		sleep(ctx, storeCheckPeriod)
	}
}

// copy adopts the rules of a peer if they are newer. It requests only the chunks that are not cached.
func (p *rulesFollower) copy(ctx context.Context, f table.FetchRules) error {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	h, err := p.router.RulesPeer.Head(ctx, f.Address)
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
		texts, err := p.router.RulesPeer.Chunks(ctx, f.Address, missing[:n])
		if err != nil {
			return err
		}
		for i, t := range texts {
			chunks[missing[i]] = t
		}
		missing = missing[n:]
	}
	text, err := rules.JoinChunks(h.Chunks, chunks)
	if err != nil {
		return err
	}
	set, findings := p.parser.Parse("rules", text)
	if len(findings) > 0 {
		return fmt.Errorf("%w: %s", rules.ErrInvalid, findings[0])
	}
	p.adopt(h.Version, text, set)
	return nil
}

// adopt stores accepted rules for peers and puts them in force, unless the current version is the same or higher.
func (p *rulesFollower) adopt(version jaywind.RulesVersion, text string, set *rule.Set) {
	chunks := rules.SplitChunks(text)
	ids := rules.ChunkIDsOf(chunks)
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

// RulesHead returns the version and chunk ids of the current rules. The version is 0 if there are none.
func (r *Router) RulesHead() jaywind.RulesHead {
	r.init()
	return r.rules.head()
}

// RulesChunks returns chunks of the current rules, or an error that wraps jaywind.ErrKeyNotFound if one is missing.
func (r *Router) RulesChunks(ids []jaywind.ChunkID) ([]string, error) {
	r.init()
	var texts []string
	for _, id := range ids {
		c, found := r.rules.cached(id)
		if !found {
			return nil, fmt.Errorf("%w: chunk %s", jaywind.ErrKeyNotFound, id)
		}
		texts = append(texts, c)
	}
	return texts, nil
}

// RulesText returns the version and text of the current rules.
func (r *Router) RulesText() (jaywind.RulesVersion, string) {
	r.init()
	p := &r.rules
	p.mu.Lock()
	defer p.mu.Unlock()
	text, _ := rules.JoinChunks(p.current.Chunks, p.chunks)
	return p.current.Version, text
}

// sleep waits for d, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
