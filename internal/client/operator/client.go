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
)

const (
	callLimit = 3 * time.Second
	dialLimit = time.Second
	bodyLimit = 16 << 20 // bytes of a reply
)

// ErrStatus wraps a reply that is not the one asked for.
var ErrStatus = errors.New("the router did not answer as asked")

var transport = &http.Transport{
	DialContext:       (&net.Dialer{Timeout: dialLimit}).DialContext,
	DisableKeepAlives: true,
}

// Client asks one router.
type Client struct {
	URL    jaywind.Address
	Secret string
}

// Status is what a router knows of the fleet.
type Status struct {
	VM        string   `json:"vm"`
	Rules     uint64   `json:"rules"`
	Known     int      `json:"known"` // routers that count for a majority
	Live      int      `json:"live"`
	Cut       bool     `json:"cut"`   // on the smaller side of a cut, without the store
	Store     float64  `json:"store"` // seconds since a known router reached the store; negative for never
	Requests  int      `json:"requests"`
	Stopping  bool     `json:"stopping"`
	Endpoints int      `json:"endpoints"`
	Leaving   []string `json:"leaving"` // endpoints
	Routers   []Router `json:"routers"`
	Moves     []Move   `json:"moves"`
}

// Router is one row of the member list.
type Router struct {
	VM      string `json:"vm"`
	Domain  string `json:"domain"`
	Entry   string `json:"entry"`
	State   string `json:"state"` // alive, suspect or dead
	Leaving bool   `json:"leaving"`
	Rules   uint64 `json:"rules"` // in force there
}

// Move is one move between versions.
type Move struct {
	Model  string    `json:"model"`
	From   string    `json:"from"`
	To     string    `json:"to"`
	By     time.Time `json:"by"`
	State  string    `json:"state"` // going, done or taken back
	Reason string    `json:"reason"`
	Share  float64   `json:"share"`
}

// Status asks for the router's status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	body, err := c.get(ctx, "/v1/status")
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, fmt.Errorf("status: %w", err)
	}
	return s, nil
}

// Rules asks for the rules in force, with their version in the first line.
func (c *Client) Rules(ctx context.Context) (string, error) {
	body, err := c.get(ctx, "/v1/rules")
	return string(body), err
}

func (c *Client) get(ctx context.Context, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
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
	body, err := io.ReadAll(io.LimitReader(response.Body, bodyLimit))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d: %.200s", ErrStatus, response.StatusCode, body)
	}
	return body, nil
}
