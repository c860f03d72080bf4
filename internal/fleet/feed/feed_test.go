package feed

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"jaywind"
	"jaywind/internal/fleet/cbor"
	"jaywind/internal/provider/follow"
)

// board answers with its fields, lists once it is free.
type board struct {
	items []follow.Item
	err   error
	busy  chan struct{} // is told of each list that is waiting
	free  chan struct{}
}

func (b *board) List(ctx context.Context, _ string, _ bool) ([]follow.Item, int64, error) {
	if b.free != nil {
		b.busy <- struct{}{}
		select {
		case <-b.free:
		case <-ctx.Done():
		}
	}
	return b.items, 7, b.err
}

func (b *board) Watch(context.Context, string, int64, time.Duration) ([]follow.Item, int64, error) {
	return b.items, 7, b.err
}

// serve returns a source that speaks to a board over HTTP, and counts the bytes of the answers' bodies.
func serve(t *testing.T, b *board) (s follow.Source, sent *atomic.Int64) {
	sent = &atomic.Int64{}
	_, h := Handler(b)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&counter{w, sent}, r)
	}))
	server.Config.Protocols = cbor.Protocols()
	server.Start()
	t.Cleanup(server.Close)
	c := &Client{HTTP: cbor.NewHTTPClient("")}
	return c.Source(jaywind.Address(strings.TrimPrefix(server.URL, "http://"))), sent
}

type counter struct {
	http.ResponseWriter
	sent *atomic.Int64
}

func (c *counter) Write(b []byte) (int, error) {
	c.sent.Add(int64(len(b)))
	return c.ResponseWriter.Write(b)
}

// TestErrors fails when a follower can't tell why a router does not show what it knows.
func TestErrors(t *testing.T) {
	for _, want := range []error{follow.ErrStale, follow.ErrCompacted} {
		t.Run(want.Error(), func(t *testing.T) {
			is := is.New(t)
			s, _ := serve(t, &board{err: want})
			_, _, err := s.List(context.Background(), "", true)
			is.True(errors.Is(err, want))
			_, _, err = s.Watch(context.Background(), "", 3, time.Millisecond)
			is.True(errors.Is(err, want))
		})
	}
	is := is.New(t)
	s, _ := serve(t, &board{err: errors.New("away")})
	_, _, err := s.List(context.Background(), "", true)
	is.True(err != nil && !errors.Is(err, follow.ErrStale))
}

// TestListsShareTheLink fails when a router begins more lists than it can send in time, or refuses watches with them.
func TestListsShareTheLink(t *testing.T) {
	is := is.New(t)
	b := &board{busy: make(chan struct{}), free: make(chan struct{})}
	s, _ := serve(t, b)
	var group conc.WaitGroup
	for range listsMost {
		group.Go(func() { _, _, _ = s.List(context.Background(), "", false) })
		<-b.busy
	}
	_, _, err := s.List(context.Background(), "", false)
	is.True(errors.Is(err, follow.ErrLater))
	_, _, err = s.Watch(context.Background(), "", 3, time.Millisecond)
	is.NoErr(err)
	close(b.free)
	group.Wait()
	b.free = nil
	_, _, err = s.List(context.Background(), "", false)
	is.NoErr(err) // the places are free again
}

// TestLongListIsCompressed sends 1,000 entries that are much alike, as those of endpoints are.
func TestLongListIsCompressed(t *testing.T) {
	is := is.New(t)
	b := &board{}
	whole := 0
	for i := range 1000 {
		value := fmt.Sprintf(`{"id":"i-%08x","address":"10.1.%d.%d:8100","zone":"a","service":"pool","born":%d,"slots":12,"memory":55000}`, i*7919, i/250, i%250, 1764800000000+i)
		b.items = append(b.items, follow.Item{Key: fmt.Sprintf("endpoints/i-%08x", i*7919), Value: []byte(value), Revision: int64(i)})
		whole += len(value)
	}
	s, sent := serve(t, b)
	items, revision, err := s.List(context.Background(), "", false)
	is.NoErr(err)
	is.Equal(revision, int64(7))
	is.Equal(items, b.items)
	is.True(int(sent.Load()) < whole/3)
}
