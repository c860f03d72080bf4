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
	maxPeers  = 256 // addresses whose clients are kept

	maxConcurrentLists = 2        // that are sent at the same time; more would share the link, and all be late
	compressMinBytes   = 16 << 10 // of a list, from which it is compressed: entries are much alike
)

// feedRequest is a question for items; After and Wait are for changes only, and Old says that a list may be.
type feedRequest struct {
	Prefix     string `cbor:"1,keyasint"`
	After      int64  `cbor:"2,keyasint,omitempty"`
	Wait       int64  `cbor:"3,keyasint,omitempty"` // milliseconds
	AllowStale bool   `cbor:"4,keyasint,omitempty"`
}

// feedResponse is the answer.
type feedResponse struct {
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
	m.Handle(listPath, limitConcurrency(connect.NewUnaryHandler(listPath, func(ctx context.Context, q *connect.Request[feedRequest]) (*connect.Response[feedResponse], error) {
		return respond(s.List(ctx, q.Msg.Prefix, !q.Msg.AllowStale))
	}, append(cbor.HandlerOptions(), connect.WithCompressMinBytes(compressMinBytes), connect.WithCompression("gzip", newDecompressor, newCompressor))...)))
	m.Handle(watchPath, connect.NewUnaryHandler(watchPath, func(ctx context.Context, q *connect.Request[feedRequest]) (*connect.Response[feedResponse], error) {
		wait := min(time.Duration(q.Msg.Wait)*time.Millisecond, maxWait)
		return respond(s.Watch(ctx, q.Msg.Prefix, q.Msg.After, wait))
	}, cbor.HandlerOptions()...))
	return prefix, m
}

// limitConcurrency refuses lists beyond those that are being sent: whoever asks has others to ask.
func limitConcurrency(h http.Handler) http.Handler {
	places := make(chan struct{}, maxConcurrentLists)
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

func newDecompressor() connect.Decompressor { return &gzip.Reader{} }

// newCompressor returns a fast compressor: a VM has a fraction of a core.
func newCompressor() connect.Compressor {
	w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // the level is one that it knows
	return w
}

func respond(items []follow.Item, revision int64, err error) (*connect.Response[feedResponse], error) {
	switch {
	case errors.Is(err, follow.ErrCompacted):
		return nil, connect.NewError(connect.CodeOutOfRange, err)
	case errors.Is(err, follow.ErrStale):
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	case err != nil:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	t := feedResponse{Items: make([]item, len(items)), Revision: revision}
	for i, f := range items {
		t.Items[i] = item(f)
	}
	return connect.NewResponse(&t), nil
}

// Client makes sources of other routers; set its fields before use.
type Client struct {
	HTTP *http.Client

	mu    sync.Mutex
	peers map[jaywind.Address]*peerSource
}

// peerSource is one router that is followed.
type peerSource struct {
	list, watch *connect.Client[feedRequest, feedResponse]
}

// Source returns the router at an address.
func (c *Client) Source(at jaywind.Address) follow.Source {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.peers[at]; s != nil {
		return s
	}
	if c.peers == nil || len(c.peers) >= maxPeers {
		c.peers = map[jaywind.Address]*peerSource{}
	}
	s := &peerSource{
		list:  connect.NewClient[feedRequest, feedResponse](c.HTTP, "http://"+string(at)+listPath, cbor.ClientOptions()...),
		watch: connect.NewClient[feedRequest, feedResponse](c.HTTP, "http://"+string(at)+watchPath, cbor.ClientOptions()...),
	}
	c.peers[at] = s
	return s
}

// List asks for all items under prefix.
func (s *peerSource) List(ctx context.Context, prefix string, exact bool) ([]follow.Item, int64, error) {
	return call(ctx, s.list, feedRequest{Prefix: prefix, AllowStale: !exact})
}

// Watch asks for changes after a revision.
func (s *peerSource) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]follow.Item, int64, error) {
	return call(ctx, s.watch, feedRequest{Prefix: prefix, After: after, Wait: wait.Milliseconds()})
}

func call(ctx context.Context, c *connect.Client[feedRequest, feedResponse], q feedRequest) ([]follow.Item, int64, error) {
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
