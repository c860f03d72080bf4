package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"jaywind"
	"jaywind/internal/backend/answer"
)

const (
	callTimeout   = 3 * time.Second
	dialTimeout   = time.Second
	maxReplyBytes = 16 << 20
	maxHeadBytes  = 64 << 10
)

// ErrUnexpectedStatus wraps a reply with a status other than 200.
var ErrUnexpectedStatus = errors.New("unexpected reply from the router")

var transport = answer.Wrap(&http.Transport{
	DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
	DisableKeepAlives: true,

	MaxResponseHeaderBytes: maxHeadBytes,
})

// Client sends requests to the operator port of one router.
type Client struct {
	URL    jaywind.Address
	Secret string
}

// Status is a router's view of the fleet.
type Status struct {
	VM          string        `json:"vm"`
	Rules       uint64        `json:"rules"`
	Known       int           `json:"known"` // routers that count towards the quorum
	Live        int           `json:"live"`
	Partitioned bool          `json:"cut"`        // on the smaller side of a network partition, without the store
	StoreAge    float64       `json:"store"`      // seconds since any known router last reached the store; negative if none has
	Era         int64         `json:"era"`        // how many times the store has been restored from an older copy
	Incomplete  bool          `json:"incomplete"` // claims may be missing since then
	Requests    int           `json:"requests"`
	Stopping    bool          `json:"stopping"`
	Endpoints   int           `json:"endpoints"`
	Leaving     []string      `json:"leaving"` // ids of endpoints that are leaving
	Routers     []RouterState `json:"routers"`
	Moves       []Move        `json:"moves"`
}

// RouterState is the state of one router in the member list.
type RouterState struct {
	VM      string `json:"vm"`
	Domain  string `json:"domain"`
	Entry   string `json:"entry"`
	State   string `json:"state"` // alive, suspect or dead
	Leaving bool   `json:"leaving"`
	Rules   uint64 `json:"rules"` // version in force at that router
}

// Move is the move of a model's traffic from one version to another.
type Move struct {
	Model    string    `json:"model"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	Deadline time.Time `json:"by"`
	State    string    `json:"state"` // going, done or taken back
	Reason   string    `json:"reason"`
	Share    float64   `json:"share"`
}

// Status returns the router's status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	body, err := c.get(ctx, "/v1/status")
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, fmt.Errorf("decode status: %w", err)
	}
	return s, nil
}

// Rules returns the rules in force, preceded by a comment line with their version.
func (c *Client) Rules(ctx context.Context) (string, error) {
	body, err := c.get(ctx, "/v1/rules")
	return string(body), err
}

func (c *Client) get(ctx context.Context, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, string(c.URL)+path, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Secret)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d: %.200s", ErrUnexpectedStatus, response.StatusCode, body)
	}
	return body, nil
}
