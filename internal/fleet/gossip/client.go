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

// Client speaks to other routers; calls end with their context.
type Client struct {
	HTTP *http.Client // carries the shared secret

	mu    sync.Mutex
	peers map[jaywind.Address]*peer
}

var (
	_ jaywind.Gossiper  = (*Client)(nil)
	_ jaywind.RulesPeer = (*Client)(nil)
)

// peer holds the connect clients of one address.
type peer struct {
	exchange *connect.Client[message, message]
	head     *connect.Client[headAsk, head]
	chunks   *connect.Client[chunkAsk, chunkList]
}

// peerLimit bounds the addresses whose clients are kept.
const peerLimit = 1024

func (c *Client) peer(at jaywind.Address) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[at]; p != nil {
		return p
	}
	if c.peers == nil || len(c.peers) >= peerLimit {
		c.peers = map[jaywind.Address]*peer{}
	}
	p := &peer{
		exchange: connect.NewClient[message, message](c.HTTP, string(at)+exchangePath, cbor.ClientOptions()...),
		head:     connect.NewClient[headAsk, head](c.HTTP, string(at)+headPath, cbor.ClientOptions()...),
		chunks:   connect.NewClient[chunkAsk, chunkList](c.HTTP, string(at)+chunksPath, cbor.ClientOptions()...),
	}
	c.peers[at] = p
	return p
}

// Exchange sends a message and returns the other's.
func (c *Client) Exchange(ctx context.Context, at jaywind.Address, g jaywind.Gossip) (jaywind.Gossip, error) {
	w := messageOf(g)
	answer, err := c.peer(at).exchange.CallUnary(ctx, connect.NewRequest(&w))
	if err != nil {
		return jaywind.Gossip{}, fmt.Errorf("gossip with %s: %w", at, err)
	}
	return answer.Msg.gossip(), nil
}

// Head returns the head of the rules that a peer holds.
func (c *Client) Head(ctx context.Context, at jaywind.Address) (jaywind.RulesHead, error) {
	answer, err := c.peer(at).head.CallUnary(ctx, connect.NewRequest(&headAsk{}))
	if err != nil {
		return jaywind.RulesHead{}, fmt.Errorf("rules of %s: %w", at, err)
	}
	h := jaywind.RulesHead{Version: jaywind.RulesVersion(answer.Msg.Version)}
	for _, id := range answer.Msg.Chunks {
		h.Chunks = append(h.Chunks, jaywind.ChunkID(id))
	}
	return h, nil
}

// Chunks returns chunks of the rules that a peer holds.
func (c *Client) Chunks(ctx context.Context, at jaywind.Address, ids []jaywind.ChunkID) ([]string, error) {
	var ask chunkAsk
	for _, id := range ids {
		ask.Chunks = append(ask.Chunks, string(id))
	}
	answer, err := c.peer(at).chunks.CallUnary(ctx, connect.NewRequest(&ask))
	if err != nil {
		return nil, fmt.Errorf("rules of %s: %w", at, err)
	}
	if len(answer.Msg.Texts) != len(ids) {
		return nil, fmt.Errorf("rules of %s: %d chunks, want %d", at, len(answer.Msg.Texts), len(ids))
	}
	return answer.Msg.Texts, nil
}
