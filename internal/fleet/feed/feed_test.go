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

// fakeSource answers with its fields, lists once it is free.
type fakeSource struct {
	items       []follow.Item
	err         error
	listStarted chan struct{} // is told of each list that is waiting
	release     chan struct{}
}

func (b *fakeSource) List(ctx context.Context, _ string, _ bool) ([]follow.Item, int64, error) {
	if b.release != nil {
		b.listStarted <- struct{}{}
		select {
		case <-b.release:
		case <-ctx.Done():
		}
	}
	return b.items, 7, b.err
}

func (b *fakeSource) Watch(context.Context, string, int64, time.Duration) ([]follow.Item, int64, error) {
	return b.items, 7, b.err
}

// newSource returns a source that speaks to a board over HTTP, and counts the bytes of the answers' bodies.
func newSource(t *testing.T, b *fakeSource) (s follow.Source, sent *atomic.Int64) {
	sent = &atomic.Int64{}
	_, h := Handler(b)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&countingWriter{w, sent}, r)
	}))
	server.Config.Protocols = cbor.Protocols()
	server.Start()
	t.Cleanup(server.Close)
	c := &Client{HTTP: cbor.NewHTTPClient("")}
	return c.Source(jaywind.Address(strings.TrimPrefix(server.URL, "http://"))), sent
}

type countingWriter struct {
	http.ResponseWriter
	sent *atomic.Int64
}

func (c *countingWriter) Write(b []byte) (int, error) {
	c.sent.Add(int64(len(b)))
	return c.ResponseWriter.Write(b)
}

// TestErrors fails when a follower can't tell why a router does not show what it knows.
func TestErrors(t *testing.T) {
	for _, want := range []error{follow.ErrStale, follow.ErrCompacted} {
		t.Run(want.Error(), func(t *testing.T) {
			is := is.New(t)
			s, _ := newSource(t, &fakeSource{err: want})
			_, _, err := s.List(context.Background(), "", true)
			is.True(errors.Is(err, want))
			_, _, err = s.Watch(context.Background(), "", 3, time.Millisecond)
			is.True(errors.Is(err, want))
		})
	}
	is := is.New(t)
	s, _ := newSource(t, &fakeSource{err: errors.New("away")})
	_, _, err := s.List(context.Background(), "", true)
	is.True(err != nil && !errors.Is(err, follow.ErrStale))
}

// TestListsShareTheLink fails when a router begins more lists than it can send in time, or refuses watches with them.
func TestListsShareTheLink(t *testing.T) {
	is := is.New(t)
	b := &fakeSource{listStarted: make(chan struct{}), release: make(chan struct{})}
	s, _ := newSource(t, b)
	var group conc.WaitGroup
	for range maxConcurrentLists {
		group.Go(func() { _, _, _ = s.List(context.Background(), "", false) })
		<-b.listStarted
	}
	_, _, err := s.List(context.Background(), "", false)
	is.True(errors.Is(err, follow.ErrLater))
	_, _, err = s.Watch(context.Background(), "", 3, time.Millisecond)
	is.NoErr(err)
	close(b.release)
	group.Wait()
	b.release = nil
	_, _, err = s.List(context.Background(), "", false)
	is.NoErr(err) // the places are free again
}

// TestLongListIsCompressed sends 1,000 entries that are much alike, as those of endpoints are.
func TestLongListIsCompressed(t *testing.T) {
	is := is.New(t)
	b := &fakeSource{}
	whole := 0
	for i := range 1000 {
		value := fmt.Sprintf(`{"id":"i-%08x","address":"10.1.%d.%d:8100","zone":"a","service":"pool","born":%d,"slots":12,"memory":55000}`, i*7919, i/250, i%250, 1764800000000+i)
		b.items = append(b.items, follow.Item{Key: fmt.Sprintf("endpoints/i-%08x", i*7919), Value: []byte(value), Revision: int64(i)})
		whole += len(value)
	}
	s, sent := newSource(t, b)
	items, revision, err := s.List(context.Background(), "", false)
	is.NoErr(err)
	is.Equal(revision, int64(7))
	is.Equal(items, b.items)
	is.True(int(sent.Load()) < whole/3)
}
