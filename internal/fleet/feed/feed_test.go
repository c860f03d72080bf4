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

// fakeSource returns its fields. If release is set, List reports to listStarted and waits for
// release to be closed.
type fakeSource struct {
	items       []follow.Item
	err         error
	listStarted chan struct{}
	release     chan struct{}
}

func (f *fakeSource) List(ctx context.Context, _ string, _ bool) ([]follow.Item, int64, error) {
	if f.release != nil {
		f.listStarted <- struct{}{}
		select {
		case <-f.release:
		case <-ctx.Done():
		}
	}
	return f.items, 7, f.err
}

func (f *fakeSource) Watch(context.Context, string, int64, time.Duration) ([]follow.Item, int64, error) {
	return f.items, 7, f.err
}

// newSource returns a source that reads from the handler of source over HTTP, and a counter of the
// bytes of the response bodies.
func newSource(t *testing.T, source *fakeSource) (s follow.Source, sent *atomic.Int64) {
	sent = &atomic.Int64{}
	_, h := NewHandler(source)
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

func (c *countingWriter) Write(data []byte) (int, error) {
	c.sent.Add(int64(len(data)))
	return c.ResponseWriter.Write(data)
}

// TestErrors checks that a client can tell apart the errors of the source behind the handler.
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

// TestListsShareTheLink checks that a router refuses lists beyond maxConcurrentLists, and that
// watches are not refused with them.
func TestListsShareTheLink(t *testing.T) {
	is := is.New(t)
	source := &fakeSource{listStarted: make(chan struct{}), release: make(chan struct{})}
	s, _ := newSource(t, source)
	var group conc.WaitGroup
	for range maxConcurrentLists {
		group.Go(func() { _, _, _ = s.List(context.Background(), "", false) })
		<-source.listStarted
	}
	_, _, err := s.List(context.Background(), "", false)
	is.True(errors.Is(err, follow.ErrTooManyLists))
	_, _, err = s.Watch(context.Background(), "", 3, time.Millisecond)
	is.NoErr(err)
	close(source.release)
	group.Wait()
	source.release = nil
	_, _, err = s.List(context.Background(), "", false)
	is.NoErr(err) // lists are accepted again
}

// TestLongListIsCompressed lists 1,000 similar entries, as those of endpoints are, and checks that
// less than a third of their bytes is sent.
func TestLongListIsCompressed(t *testing.T) {
	is := is.New(t)
	source := &fakeSource{}
	whole := 0
	for i := range 1000 {
		value := fmt.Sprintf(`{"id":"i-%08x","address":"10.1.%d.%d:8100","zone":"a","service":"pool","born":%d,"slots":12,"memory":55000}`, i*7919, i/250, i%250, 1764800000000+i)
		source.items = append(source.items, follow.Item{Key: fmt.Sprintf("endpoints/i-%08x", i*7919), Value: []byte(value), Revision: int64(i)})
		whole += len(value)
	}
	s, sent := newSource(t, source)
	items, revision, err := s.List(context.Background(), "", false)
	is.NoErr(err)
	is.Equal(revision, int64(7))
	is.Equal(items, source.items)
	is.True(int(sent.Load()) < whole/3)
}
