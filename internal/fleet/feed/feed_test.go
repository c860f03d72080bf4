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

	"connectrpc.com/connect"
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

func (f *fakeSource) List(ctx context.Context, _ string, _ bool) ([]follow.Item, jaywind.StorePosition, error) {
	if f.release != nil {
		f.listStarted <- struct{}{}
		select {
		case <-f.release:
		case <-ctx.Done():
		}
	}
	return f.items, jaywind.StorePosition{Revision: 7}, f.err
}

func (f *fakeSource) Watch(context.Context, string, jaywind.StorePosition, time.Duration) ([]follow.Item, jaywind.StorePosition, error) {
	return f.items, jaywind.StorePosition{Revision: 7}, f.err
}

// newSource returns a source that reads from the handler of source over HTTP, and a counter of the
// bytes of the response bodies.
func newSource(t *testing.T, source *fakeSource) (s follow.Source, sent *atomic.Int64) {
	sent = &atomic.Int64{}
	_, h := NewHandler(source, &fakePresence{})
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
			_, _, err = s.Watch(context.Background(), "", jaywind.StorePosition{Revision: 3}, time.Millisecond)
			is.True(errors.Is(err, want))
		})
	}
	is := is.New(t)
	s, _ := newSource(t, &fakeSource{err: errors.New("away")})
	_, _, err := s.List(context.Background(), "", true)
	is.True(err != nil && !errors.Is(err, follow.ErrStale))
}

// fakePresence records who asks, and says that one VM has stopped.
type fakePresence struct{ asked []jaywind.VM }

func (p *fakePresence) Record(vm jaywind.VM, _ time.Time) { p.asked = append(p.asked, vm) }
func (p *fakePresence) Silent(time.Time) []jaywind.VM     { return []jaywind.VM{"vm9"} }

// TestPresence checks that a router learns who asks it, also if it has no news for them, and that those hear who has stopped.
func TestPresence(t *testing.T) {
	is := is.New(t)
	presence := &fakePresence{}
	_, h := NewHandler(&fakeSource{}, presence)
	server := httptest.NewUnstartedServer(h)
	server.Config.Protocols = cbor.Protocols()
	server.Start()
	defer server.Close()
	var silent []jaywind.VM
	c := &Client{HTTP: cbor.NewHTTPClient(""), Self: "vm1", OnSilent: func(vms []jaywind.VM) { silent = vms }}
	s := c.Source(jaywind.Address(strings.TrimPrefix(server.URL, "http://")))
	_, _, err := s.List(context.Background(), "", false)
	is.NoErr(err)
	is.Equal(len(presence.asked)+len(silent), 0) // only watches follow each other regularly
	_, _, err = s.Watch(context.Background(), "", jaywind.StorePosition{}, time.Millisecond)
	is.NoErr(err)
	is.Equal(presence.asked, []jaywind.VM{"vm1"})
	is.Equal(silent, []jaywind.VM{"vm9"})
}

// eraSource records the position of each watch.
type eraSource struct {
	fakeSource
	after jaywind.StorePosition
}

func (s *eraSource) Watch(_ context.Context, _ string, after jaywind.StorePosition, _ time.Duration) ([]follow.Item, jaywind.StorePosition, error) {
	s.after = after
	item := follow.Item{Key: "k", Value: []byte("v"), Position: jaywind.StorePosition{Era: 3, Revision: 8}}
	return []follow.Item{item}, jaywind.StorePosition{Era: 3, Revision: 9}, nil
}

// TestEras checks that positions keep their era on the way between two routers, that a router without eras asks for changes
// of any, and that it reads the responses of one that has them.
func TestEras(t *testing.T) {
	is := is.New(t)
	source := &eraSource{}
	_, h := NewHandler(source, &fakePresence{})
	server := httptest.NewUnstartedServer(h)
	server.Config.Protocols = cbor.Protocols()
	server.Start()
	defer server.Close()
	c := &Client{HTTP: cbor.NewHTTPClient("")}
	s := c.Source(jaywind.Address(strings.TrimPrefix(server.URL, "http://")))
	for _, era := range []int64{0, 2} {
		after := jaywind.StorePosition{Era: era, Revision: 7}
		items, position, err := s.Watch(context.Background(), "", after, time.Millisecond)
		is.NoErr(err)
		is.Equal(source.after, after)
		is.Equal(position, jaywind.StorePosition{Era: 3, Revision: 9})
		is.Equal(items[0].Position, jaywind.StorePosition{Era: 3, Revision: 8})
	}
	type oldRequest struct {
		Prefix string `cbor:"1,keyasint"`
		After  int64  `cbor:"2,keyasint,omitempty"`
		Wait   int64  `cbor:"3,keyasint,omitempty"`
	}
	type oldResponse struct {
		Items []struct {
			Key      string `cbor:"1,keyasint"`
			Revision int64  `cbor:"3,keyasint"`
		} `cbor:"1,keyasint"`
		Revision int64 `cbor:"2,keyasint"`
	}
	old := connect.NewClient[oldRequest, oldResponse](c.HTTP, server.URL+watchPath, cbor.ClientOptions()...)
	response, err := old.CallUnary(context.Background(), connect.NewRequest(&oldRequest{After: 7}))
	is.NoErr(err)
	is.Equal(source.after, jaywind.StorePosition{Era: follow.AnyEra, Revision: 7})
	is.Equal(response.Msg.Revision, int64(9))
	is.Equal(response.Msg.Items[0].Revision, int64(8))
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
	_, _, err = s.Watch(context.Background(), "", jaywind.StorePosition{Revision: 3}, time.Millisecond)
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
		source.items = append(source.items, follow.Item{Key: fmt.Sprintf("endpoints/i-%08x", i*7919), Value: []byte(value), Position: jaywind.StorePosition{Revision: int64(i)}})
		whole += len(value)
	}
	s, sent := newSource(t, source)
	items, position, err := s.List(context.Background(), "", false)
	is.NoErr(err)
	is.Equal(position, jaywind.StorePosition{Revision: 7})
	is.Equal(items, source.items)
	is.True(int(sent.Load()) < whole/3)
}
