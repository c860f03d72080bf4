package feed

import (
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"jaywind"
	"jaywind/internal/fleet/cbor"
	"jaywind/internal/provider/follow"
)

const (
	prefix    = "/fleet/feed/"
	listPath  = prefix + "list"
	watchPath = prefix + "watch"
	maxWait   = 5 * time.Second
	peerLimit = 256 // addresses whose clients are kept

	listsMost     = 2        // that are sent at the same time; more would share the link, and all be late
	compressBytes = 16 << 10 // of a list, from which it is compressed: entries are much alike
)

// ask is a question for items; After and Wait are for changes only, and Old says that a list may be.
type ask struct {
	Prefix string `cbor:"1,keyasint"`
	After  int64  `cbor:"2,keyasint,omitempty"`
	Wait   int64  `cbor:"3,keyasint,omitempty"` // milliseconds
	Old    bool   `cbor:"4,keyasint,omitempty"`
}

// told is the answer.
type told struct {
	Items    []item `cbor:"1,keyasint"`
	Revision int64  `cbor:"2,keyasint"`
}

type item struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint"`
	Deleted  bool   `cbor:"4,keyasint,omitempty"`
}

// Handler returns the handler for routers that follow this one, and the path below which it is mounted.
func Handler(s follow.Source) (path string, h http.Handler) {
	m := http.NewServeMux()
	m.Handle(listPath, limited(connect.NewUnaryHandler(listPath, func(ctx context.Context, q *connect.Request[ask]) (*connect.Response[told], error) {
		return answer(s.List(ctx, q.Msg.Prefix, !q.Msg.Old))
	}, append(cbor.HandlerOptions(), connect.WithCompressMinBytes(compressBytes), connect.WithCompression("gzip", newReader, newWriter))...)))
	m.Handle(watchPath, connect.NewUnaryHandler(watchPath, func(ctx context.Context, q *connect.Request[ask]) (*connect.Response[told], error) {
		wait := min(time.Duration(q.Msg.Wait)*time.Millisecond, maxWait)
		return answer(s.Watch(ctx, q.Msg.Prefix, q.Msg.After, wait))
	}, cbor.HandlerOptions()...))
	return prefix, m
}

// limited refuses lists beyond those that are being sent: whoever asks has others to ask.
func limited(h http.Handler) http.Handler {
	places := make(chan struct{}, listsMost)
	refuse := connect.NewErrorWriter(cbor.HandlerOptions()...)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case places <- struct{}{}:
			defer func() { <-places }()
			h.ServeHTTP(w, r)
		default:
			_ = refuse.Write(w, r, connect.NewError(connect.CodeResourceExhausted, follow.ErrLater)) // or the asker sees it broken off
		}
	})
}

func newReader() connect.Decompressor { return &gzip.Reader{} }

// newWriter returns a fast compressor: a VM has a fraction of a core.
func newWriter() connect.Compressor {
	w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // the level is one that it knows
	return w
}

func answer(items []follow.Item, revision int64, err error) (*connect.Response[told], error) {
	switch {
	case errors.Is(err, follow.ErrCompacted):
		return nil, connect.NewError(connect.CodeOutOfRange, err)
	case errors.Is(err, follow.ErrStale):
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	case err != nil:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	t := told{Items: make([]item, len(items)), Revision: revision}
	for i, f := range items {
		t.Items[i] = item(f)
	}
	return connect.NewResponse(&t), nil
}

// Client makes sources of other routers; set its fields before use.
type Client struct {
	HTTP *http.Client

	mu    sync.Mutex
	peers map[jaywind.Address]*source
}

// source is one router that is followed.
type source struct {
	list, watch *connect.Client[ask, told]
}

// Source returns the router at an address.
func (c *Client) Source(at jaywind.Address) follow.Source {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.peers[at]; s != nil {
		return s
	}
	if c.peers == nil || len(c.peers) >= peerLimit {
		c.peers = map[jaywind.Address]*source{}
	}
	s := &source{
		list:  connect.NewClient[ask, told](c.HTTP, "http://"+string(at)+listPath, cbor.ClientOptions()...),
		watch: connect.NewClient[ask, told](c.HTTP, "http://"+string(at)+watchPath, cbor.ClientOptions()...),
	}
	c.peers[at] = s
	return s
}

// List asks for all items under prefix.
func (s *source) List(ctx context.Context, prefix string, exact bool) ([]follow.Item, int64, error) {
	return call(ctx, s.list, ask{Prefix: prefix, Old: !exact})
}

// Watch asks for changes after a revision.
func (s *source) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]follow.Item, int64, error) {
	return call(ctx, s.watch, ask{Prefix: prefix, After: after, Wait: wait.Milliseconds()})
}

func call(ctx context.Context, c *connect.Client[ask, told], q ask) ([]follow.Item, int64, error) {
	a, err := c.CallUnary(ctx, connect.NewRequest(&q))
	switch connect.CodeOf(err) {
	case connect.CodeOutOfRange:
		return nil, 0, follow.ErrCompacted
	case connect.CodeFailedPrecondition:
		return nil, 0, follow.ErrStale
	case connect.CodeResourceExhausted:
		return nil, 0, follow.ErrLater
	}
	if err != nil {
		return nil, 0, fmt.Errorf("feed: %w", err)
	}
	items := make([]follow.Item, len(a.Msg.Items))
	for i, t := range a.Msg.Items {
		items[i] = follow.Item(t)
	}
	return items, a.Msg.Revision, nil
}
