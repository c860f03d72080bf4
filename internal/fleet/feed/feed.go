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
	maxPeers  = 256 // addresses whose clients are cached

	maxConcurrentLists = 2        // further lists would share the link and delay all of them
	compressMinBytes   = 16 << 10 // smaller responses are not compressed; entries are similar, so long lists compress well
)

// feedRequest asks for a list of items or for changes. After and Wait apply to changes only,
// AllowStale to lists only.
type feedRequest struct {
	Prefix     string `cbor:"1,keyasint"`
	After      int64  `cbor:"2,keyasint,omitempty"`
	Wait       int64  `cbor:"3,keyasint,omitempty"` // in milliseconds
	AllowStale bool   `cbor:"4,keyasint,omitempty"`
	Era        *int64 `cbor:"5,keyasint,omitempty"` // of After; a router that knows no eras sends none
	From       string `cbor:"6,keyasint,omitempty"` // VM that asks
}

// after returns the position after which changes are requested.
func (r *feedRequest) after() jaywind.StorePosition {
	if r.Era == nil {
		return jaywind.StorePosition{Era: follow.AnyEra, Revision: r.After}
	}
	return jaywind.StorePosition{Era: *r.Era, Revision: r.After}
}

// feedResponse holds the items as of a revision of the store. Era is that of all revisions in it.
type feedResponse struct {
	Items    []item `cbor:"1,keyasint"`
	Revision int64  `cbor:"2,keyasint"`
	Era      int64  `cbor:"3,keyasint,omitempty"`

	Silent []string `cbor:"4,keyasint,omitempty"` // VMs that have stopped asking the one that responds
}

type item struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint"`
	Deleted  bool   `cbor:"4,keyasint,omitempty"`
}

// presence is what a router knows of those that ask it.
type presence interface {
	Record(vm jaywind.VM, now time.Time)
	Silent(now time.Time) []jaywind.VM
}

// NewHandler returns the handler that serves s to other routers, and the path prefix to mount it at. It records in p who
// asks, and tells all who have stopped.
func NewHandler(s follow.Source, p presence) (path string, h http.Handler) {
	m := http.NewServeMux()
	m.Handle(listPath, limitConcurrency(connect.NewUnaryHandler(listPath, func(ctx context.Context, req *connect.Request[feedRequest]) (*connect.Response[feedResponse], error) {
		return respond(s.List(ctx, req.Msg.Prefix, !req.Msg.AllowStale))
	}, append(cbor.HandlerOptions(), connect.WithCompressMinBytes(compressMinBytes), connect.WithCompression("gzip", newDecompressor, newCompressor))...)))
	m.Handle(watchPath, connect.NewUnaryHandler(watchPath, func(ctx context.Context, req *connect.Request[feedRequest]) (*connect.Response[feedResponse], error) {
		wait := min(time.Duration(req.Msg.Wait)*time.Millisecond, maxWait)
		if req.Msg.From != "" {
			p.Record(jaywind.VM(req.Msg.From), time.Now())
		}
		response, err := respond(s.Watch(ctx, req.Msg.Prefix, req.Msg.after(), wait))
		if err == nil {
			for _, vm := range p.Silent(time.Now()) {
				response.Msg.Silent = append(response.Msg.Silent, string(vm))
			}
		}
		return response, err
	}, cbor.HandlerOptions()...))
	return prefix, m
}

// limitConcurrency refuses a list while maxConcurrentLists others are being sent. The client can ask
// another router.
func limitConcurrency(h http.Handler) http.Handler {
	slots := make(chan struct{}, maxConcurrentLists)
	errorWriter := connect.NewErrorWriter(cbor.HandlerOptions()...)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			h.ServeHTTP(w, r)
		default:
			_ = errorWriter.Write(w, r, connect.NewError(connect.CodeResourceExhausted, follow.ErrTooManyLists)) // if the write fails, the client sees a broken response
		}
	})
}

func newDecompressor() connect.Decompressor { return &gzip.Reader{} }

// newCompressor returns a fast compressor, since a VM has only a fraction of a core.
func newCompressor() connect.Compressor {
	w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // BestSpeed is a valid level
	return w
}

func respond(items []follow.Item, position jaywind.StorePosition, err error) (*connect.Response[feedResponse], error) {
	switch {
	case errors.Is(err, follow.ErrCompacted), errors.Is(err, follow.ErrRestored):
		return nil, connect.NewError(connect.CodeOutOfRange, err)
	case errors.Is(err, follow.ErrStale):
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	case err != nil:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	t := feedResponse{Items: make([]item, len(items)), Revision: position.Revision, Era: position.Era}
	for i, f := range items {
		t.Items[i] = item{Key: f.Key, Value: f.Value, Revision: f.Position.Revision, Deleted: f.Deleted}
	}
	return connect.NewResponse(&t), nil
}

// Client returns sources that read from other routers. Set its fields before use.
type Client struct {
	HTTP     *http.Client
	Self     jaywind.VM
	OnSilent func([]jaywind.VM) // is called with each answer to a watch, with the VMs that have stopped asking; may be nil

	mu    sync.Mutex
	peers map[jaywind.Address]*peerSource
}

// peerSource is a follow.Source that reads from another router.
type peerSource struct {
	client      *Client
	list, watch *connect.Client[feedRequest, feedResponse]
}

// Source returns the source for the router at an address.
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
		client: c,
		list:   connect.NewClient[feedRequest, feedResponse](c.HTTP, "http://"+string(at)+listPath, cbor.ClientOptions()...),
		watch:  connect.NewClient[feedRequest, feedResponse](c.HTTP, "http://"+string(at)+watchPath, cbor.ClientOptions()...),
	}
	c.peers[at] = s
	return s
}

// List returns all items under prefix. If exact is false, they may be stale.
func (s *peerSource) List(ctx context.Context, prefix string, exact bool) ([]follow.Item, jaywind.StorePosition, error) {
	items, position, _, err := call(ctx, s.list, feedRequest{Prefix: prefix, AllowStale: !exact})
	return items, position, err
}

// Watch waits for changes after a position and returns them.
func (s *peerSource) Watch(ctx context.Context, prefix string, after jaywind.StorePosition, wait time.Duration) ([]follow.Item, jaywind.StorePosition, error) {
	request := feedRequest{Prefix: prefix, After: after.Revision, Era: &after.Era, Wait: wait.Milliseconds(), From: string(s.client.Self)}
	items, position, silent, err := call(ctx, s.watch, request)
	if err == nil && s.client.OnSilent != nil {
		s.client.OnSilent(silent)
	}
	return items, position, err
}

func call(ctx context.Context, c *connect.Client[feedRequest, feedResponse], req feedRequest) (items []follow.Item, position jaywind.StorePosition, silent []jaywind.VM, err error) {
	response, err := c.CallUnary(ctx, connect.NewRequest(&req))
	switch connect.CodeOf(err) {
	case connect.CodeOutOfRange:
		return nil, position, nil, follow.ErrCompacted
	case connect.CodeFailedPrecondition:
		return nil, position, nil, follow.ErrStale
	case connect.CodeResourceExhausted:
		return nil, position, nil, follow.ErrTooManyLists
	}
	if err != nil {
		return nil, position, nil, fmt.Errorf("feed: %w", err)
	}
	items = make([]follow.Item, len(response.Msg.Items))
	for i, t := range response.Msg.Items {
		items[i] = follow.Item{Key: t.Key, Value: t.Value, Position: jaywind.StorePosition{Era: response.Msg.Era, Revision: t.Revision}, Deleted: t.Deleted}
	}
	for _, vm := range response.Msg.Silent {
		silent = append(silent, jaywind.VM(vm))
	}
	return items, jaywind.StorePosition{Era: response.Msg.Era, Revision: response.Msg.Revision}, silent, nil
}
