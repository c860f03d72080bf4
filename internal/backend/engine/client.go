package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"jaywind"
	"jaywind/internal/backend/answer"
)

const (
	dialTimeout   = time.Second
	maxReplyBytes = 1 << 20 // of a reply that is not a stream
	maxEventBytes = 1 << 16
	maxHeadBytes  = 64 << 10  // of a response
	maxFrameBytes = 256 << 10 // of an event, with all that is skipped before it
)

// Client implements jaywind.Engine over HTTP.
type Client struct {
	// Transport sends the requests; nil dials a new connection for each.
	Transport http.RoundTripper
}

var _ jaywind.Engine = (*Client)(nil)

var unpooled = answer.Wrap(&http.Transport{
	DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
	DisableKeepAlives: true,

	MaxResponseHeaderBytes: maxHeadBytes,
})

// Open starts or resumes a stream.
func (c *Client) Open(ctx context.Context, at jaywind.Address, call jaywind.Call) (jaywind.Stream, error) {
	request, err := openRequest(ctx, at, call)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", jaywind.ErrNotSent, err)
	}
	request.Header.Set("Accept", "text/event-stream")
	response, err := c.send(request)
	if err != nil {
		return nil, err
	}
	return newStream(response.Body, call), nil
}

func openRequest(ctx context.Context, at jaywind.Address, call jaywind.Call) (*http.Request, error) {
	if call.Resume {
		query := url.Values{}
		query.Set("from", strconv.Itoa(int(call.Position)))
		query.Set("attempt", strconv.FormatUint(uint64(call.Attempt), 10))
		target := streamURL(at, call.Work()) + "?" + query.Encode()
		return http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	}
	return newJSONRequest(ctx, string(at)+"/v1/completions", completionOf(call))
}

// Probe returns the position that some work has reached.
func (c *Client) Probe(ctx context.Context, at jaywind.Address, w jaywind.Work) (jaywind.Progress, error) {
	var p progress
	if err := c.getJSON(ctx, streamURL(at, w)+"/progress", &p); err != nil {
		return jaywind.Progress{}, err
	}
	return jaywind.Progress{Position: jaywind.Position(p.Position), Done: p.Done}, nil
}

// Cancel ends work, unless an attempt later than a has resumed it.
func (c *Client) Cancel(ctx context.Context, at jaywind.Address, w jaywind.Work, a jaywind.Attempt) error {
	target := streamURL(at, w) + "?attempt=" + strconv.FormatUint(uint64(a), 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, target, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", jaywind.ErrNotSent, err)
	}
	response, err := c.send(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Load reads the engine's load report.
func (c *Client) Load(ctx context.Context, at jaywind.Address) (jaywind.Load, error) {
	var l load
	if err := c.getJSON(ctx, string(at)+"/v1/load", &l); err != nil {
		return jaywind.Load{}, err
	}
	out := jaywind.Load{Running: l.Running, Queued: l.Queued, MeasuredAt: l.MeasuredAt, Leaving: l.Leaving, Version: jaywind.Version(l.Version)}
	for _, v := range l.Loaded {
		out.Loaded = append(out.Loaded, jaywind.Version(v))
	}
	return out, nil
}

// Order sends an order to the engine.
func (c *Client) Order(ctx context.Context, at jaywind.Address, o jaywind.Order) error {
	w := order{Fence: uint64(o.Fence), Model: string(o.Model), Version: string(o.Version), Action: string(o.Action)}
	request, err := newJSONRequest(ctx, string(at)+"/v1/orders", w)
	if err != nil {
		return fmt.Errorf("%w: %w", jaywind.ErrNotSent, err)
	}
	response, err := c.send(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func streamURL(at jaywind.Address, w jaywind.Work) string {
	return string(at) + "/v1/streams/" + url.PathEscape(workName(w))
}

func newJSONRequest(ctx context.Context, target string, body any) (*http.Request, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// getJSON sends a GET request and decodes the JSON reply.
func (c *Client) getJSON(ctx context.Context, target string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", jaywind.ErrNotSent, err)
	}
	response, err := c.send(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(into); err != nil {
		return fmt.Errorf("decode reply of %s: %w", target, err)
	}
	return nil
}

// send returns a response with a status below 300. Other errors wrap ErrNotSent, ErrNoStream, ErrFenced or ErrBusy if it
// is known which of them applies.
func (c *Client) send(request *http.Request) (*http.Response, error) {
	transport := c.Transport
	if transport == nil {
		transport = unpooled
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, dialError(err)
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return response, nil
	}
	note, _ := io.ReadAll(io.LimitReader(response.Body, 200))
	_ = response.Body.Close()
	return nil, statusError(response.StatusCode, string(note))
}

// dialError wraps a failure to connect in ErrNotSent, since nothing can have been sent before.
func dialError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", jaywind.ErrNotSent, err)
	}
	return err
}

func statusError(status int, note string) error {
	switch status {
	case http.StatusNotFound:
		return fmt.Errorf("%w: %s", jaywind.ErrNoStream, note)
	case http.StatusConflict:
		return fmt.Errorf("%w: %s", jaywind.ErrFenced, note)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fmt.Errorf("%w: %d %s", jaywind.ErrBusy, status, note)
	}
	return fmt.Errorf("engine returned status %d: %s", status, note)
}
