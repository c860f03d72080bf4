package ledger

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"

	"jaywind"
	"jaywind/internal/fleet/cbor"
	"jaywind/internal/provider/claims"
	"jaywind/internal/standin/store"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func claimOf(key string, nonce jaywind.Nonce) jaywind.Claim {
	return jaywind.Claim{Organisation: "lagos", Service: "bind", Key: jaywind.IdempotencyKey(key), Nonce: nonce, State: jaywind.ClaimTaken}
}

// slowStore returns a store whose calls take so long.
func slowStore(latency time.Duration) *store.Store {
	s := &store.Store{}
	s.Set(store.Faults{Slow: latency})
	return s
}

// TestGroupCommit holds that the store's writes don't grow with the claims that arrive at once.
func TestGroupCommit(t *testing.T) {
	for _, count := range []int{1, 10, 100} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := slowStore(storeLatency)
				c := &Committer{Store: s}
				var group conc.WaitGroup
				for i := range count {
					group.Go(func() {
						_, err := c.Commit(context.Background(), claimOf(fmt.Sprint(i), 1))
						is.NoErr(err)
					})
				}
				group.Wait()
				c.Close()
				// A shard reads its head, commits what came first, and then the rest.
				is.True(s.Calls() <= 3*claims.Shards)
			})
		})
	}
}

// TestClaimantWhoLeftIsNotCommitted holds that a claim whose caller has given up in the queue is not written.
func TestClaimantWhoLeftIsNotCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := slowStore(100 * time.Millisecond)
		c := &Committer{Store: s}
		var group conc.WaitGroup
		group.Go(func() { _, _ = c.Commit(context.Background(), claimOf("k", 1)) })
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		_, err := c.Commit(ctx, jaywind.Claim{Organisation: "lagos", Service: "bind", Key: "k", Nonce: 2, State: jaywind.ClaimReleased})
		is.True(errors.Is(err, jaywind.ErrOutcomeUnknown))
		group.Wait()
		c.Close()
		is.Equal(s.Calls(), 2) // one read and one swap
	})
}

// TestClaimAfterTheEndIsRefused holds that a claim which reaches a router after its committer has
// ended is not written, as one does whose caller gave up while the router stopped.
func TestClaimAfterTheEndIsRefused(t *testing.T) {
	is := is.New(t)
	s := &store.Store{}
	c := &Committer{Store: s}
	c.Close()
	_, err := c.Commit(context.Background(), claimOf("k", 1))
	is.True(errors.Is(err, jaywind.ErrStoreUnavailable))
	is.Equal(s.Calls(), 0)
}

// TestLargeRepliesTogether holds that replies which don't fit one value of the store are recorded all the same.
func TestLargeRepliesTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := slowStore(storeLatency)
		c := &Committer{Store: s}
		var group conc.WaitGroup
		for i := range 40 * claims.Shards {
			group.Go(func() {
				claim := claimOf(fmt.Sprint(i), 1)
				claim.State = jaywind.ClaimAnswered
				claim.Reply = jaywind.Reply{Status: 200, Body: make([]byte, 32<<10)}
				_, err := c.Commit(context.Background(), claim)
				is.NoErr(err)
			})
		}
		group.Wait()
		c.Close()
		claim := claimOf("0", 1)
		claim.Reply.Body = make([]byte, jaywind.MaxValue)
		_, err := c.Commit(context.Background(), claim)
		is.True(errors.Is(err, jaywind.ErrValueTooLarge))
	})
}

// TestRouters commits the same key through two routers whose preferred one is well, away, silent or without a store.
func TestRouters(t *testing.T) {
	tests := map[string]struct {
		strike func(preferred *httptest.Server, s *store.Store)
		remote store.Faults // of the preferred router's store
		secret string       // of the callers; the right one when empty
	}{
		"well":                   {},
		"away":                   {strike: func(p *httptest.Server, _ *store.Store) { p.Close() }},
		"wrong secret":           {secret: "fedcba9876543210"},
		"without a store":        {remote: store.Faults{Down: true}},
		"its store is too slow":  {remote: store.Faults{Slow: 2 * time.Second}},
		"its store loses writes": {remote: store.Faults{Drop: 100}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			shared := &store.Store{}
			far := &Committer{Store: &faultyStore{Store: shared, faults: c.remote}}
			m := http.NewServeMux()
			m.Handle(Path, NewHandler(far))
			server := httptest.NewUnstartedServer(cbor.Guard("0123456789abcdef", m))
			server.Config.Protocols = cbor.Protocols()
			server.Start()
			defer server.Close()
			if c.strike != nil {
				c.strike(server, shared)
			}
			secret := "0123456789abcdef"
			if c.secret != "" {
				secret = c.secret
			}
			client := cbor.NewHTTPClient(secret)
			defer client.CloseIdleConnections()
			members := func() []jaywind.Member {
				return []jaywind.Member{{VM: "far", Fleet: jaywind.Address(server.URL)}}
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			for i, vm := range []jaywind.VM{"vm1", "vm2"} {
				local := &Committer{Store: shared}
				defer local.Close()
				r := &Router{Self: vm, Local: local, Remote: &Client{HTTP: client}, Members: members}
				got, err := r.Commit(ctx, claimOf("k", jaywind.Nonce(i+1)))
				is.NoErr(err)
				is.Equal(got, claimOf("k", 1)) // the first claimant has it, whoever asks
			}
			far.Close()
		})
	}
}

// faultyStore is a router's own way to a store that others reach well.
type faultyStore struct {
	*store.Store
	faults store.Faults
}

// Get fails or waits as the faults say.
func (s *faultyStore) Get(ctx context.Context, key string) (jaywind.Entry, error) {
	if s.faults.Down {
		return jaywind.Entry{}, jaywind.ErrStoreUnavailable
	}
	select {
	case <-time.After(s.faults.Slow):
		return s.Store.Get(ctx, key)
	case <-ctx.Done():
		return jaywind.Entry{}, jaywind.ErrStoreUnavailable
	}
}

// Swap writes unless the call is lost.
func (s *faultyStore) Swap(ctx context.Context, key string, value []byte, old jaywind.Revision) (jaywind.Revision, error) {
	if s.faults.Drop > 0 {
		return "", jaywind.ErrOutcomeUnknown
	}
	return s.Store.Swap(ctx, key, value, old)
}

func TestBadClaimIsRefused(t *testing.T) {
	tests := map[string]jaywind.Claim{
		"no key":        {State: jaywind.ClaimTaken},
		"no state":      {Key: "k"},
		"unknown state": {Key: "k", State: 9},
	}
	s := &store.Store{}
	committer := &Committer{Store: s}
	server := httptest.NewServer(NewHandler(committer))
	defer server.Close()
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := (&Client{HTTP: server.Client()}).Commit(context.Background(), jaywind.Address(server.URL), c)
			is.True(err != nil)
			is.Equal(s.Calls(), 0)
		})
	}
}

// TestRoutersAlone holds that routers which can't reach each other get their claims committed all the same.
func TestRoutersAlone(t *testing.T) {
	for _, alone := range []int{3, 9, 30} {
		t.Run(fmt.Sprint(alone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := slowStore(storeLatency)
				var group conc.WaitGroup
				var failed atomic.Int64
				const each = 20
				for i := range alone {
					c := &Committer{Store: s}
					group.Go(func() {
						for j := range each {
							ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second) // as a call waits for its claim
							if _, err := c.Commit(ctx, claimOf(fmt.Sprint(i, " ", j), 1)); err != nil {
								failed.Add(1)
							}
							cancel()
						}
						c.Close()
					})
				}
				group.Wait()
				t.Logf("%d of %d claims failed, %d calls of the store", failed.Load(), alone*each, s.Calls())
				is.Equal(failed.Load(), int64(0))
			})
		})
	}
}
