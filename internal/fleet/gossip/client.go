package gossip

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	"jaywind"
	"jaywind/internal/fleet/cbor"
)

const (
	exchangePath = "/fleet/gossip"
	headPath     = "/fleet/rules/head"
	chunksPath   = "/fleet/rules/chunks"
)

// Client implements jaywind.Gossiper and jaywind.RulesPeer by calls to other routers. A call
// ends with its context.
type Client struct {
	HTTP *http.Client // adds the shared secret to each request

	mu    sync.Mutex
	peers map[jaywind.Address]*peerClients
}

var (
	_ jaywind.Gossiper  = (*Client)(nil)
	_ jaywind.RulesPeer = (*Client)(nil)
)

// peerClients holds the connect clients for one address.
type peerClients struct {
	exchange *connect.Client[message, message]
	head     *connect.Client[headRequest, headResponse]
	chunks   *connect.Client[chunksRequest, chunksResponse]
}

// maxPeers limits the addresses whose clients are cached; beyond it the cache is cleared.
const maxPeers = 1024

func (c *Client) peerAt(at jaywind.Address) *peerClients {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[at]; p != nil {
		return p
	}
	if c.peers == nil || len(c.peers) >= maxPeers {
		c.peers = map[jaywind.Address]*peerClients{}
	}
	p := &peerClients{
		exchange: connect.NewClient[message, message](c.HTTP, string(at)+exchangePath, cbor.ClientOptions()...),
		head:     connect.NewClient[headRequest, headResponse](c.HTTP, string(at)+headPath, cbor.ClientOptions()...),
		chunks:   connect.NewClient[chunksRequest, chunksResponse](c.HTTP, string(at)+chunksPath, cbor.ClientOptions()...),
	}
	c.peers[at] = p
	return p
}

// Exchange sends a message to the router at an address and returns its reply.
func (c *Client) Exchange(ctx context.Context, at jaywind.Address, g jaywind.Gossip) (jaywind.Gossip, error) {
	w := messageOf(g)
	response, err := c.peerAt(at).exchange.CallUnary(ctx, connect.NewRequest(&w))
	if err != nil {
		return jaywind.Gossip{}, fmt.Errorf("gossip with %s: %w", at, err)
	}
	return response.Msg.gossip(), nil
}

// Head returns the version and the chunk IDs of the rules that a peer holds.
func (c *Client) Head(ctx context.Context, at jaywind.Address) (jaywind.RulesHead, error) {
	response, err := c.peerAt(at).head.CallUnary(ctx, connect.NewRequest(&headRequest{}))
	if err != nil {
		return jaywind.RulesHead{}, fmt.Errorf("rules of %s: %w", at, err)
	}
	h := jaywind.RulesHead{Version: jaywind.RulesVersion(response.Msg.Version)}
	for _, id := range response.Msg.Chunks {
		h.Chunks = append(h.Chunks, jaywind.ChunkID(id))
	}
	return h, nil
}

// Chunks returns the texts of chunks of the rules that a peer holds, in the order of ids.
func (c *Client) Chunks(ctx context.Context, at jaywind.Address, ids []jaywind.ChunkID) ([]string, error) {
	var request chunksRequest
	for _, id := range ids {
		request.Chunks = append(request.Chunks, string(id))
	}
	response, err := c.peerAt(at).chunks.CallUnary(ctx, connect.NewRequest(&request))
	if err != nil {
		return nil, fmt.Errorf("rules of %s: %w", at, err)
	}
	if len(response.Msg.Texts) != len(ids) {
		return nil, fmt.Errorf("rules of %s: %d chunks, want %d", at, len(response.Msg.Texts), len(ids))
	}
	return response.Msg.Texts, nil
}
