package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"jaywind"
)

const (
	callLimit  = time.Second      // for a read or a write
	watchLimit = 20 * time.Second // for one long poll
	watchSlack = 2 * time.Second  // beyond the long poll's own time
)

var errSilent = errors.New("long poll is not answered")

// Client is the jaywind.Store that speaks to the service over HTTP.
type Client struct {
	URL       jaywind.Address
	Transport http.RoundTripper // the default one when nil
	Routers   func() int        // how many share the store, for the pace of trial calls in an outage; 1 when nil
	Metrics   metrics.Registry  // takes the counts of calls, failures and bytes; none when nil

	breaker breaker
	use     use
}

var _ jaywind.Store = (*Client)(nil)

// Get returns the entry of a key.
func (c *Client) Get(ctx context.Context, key string) (jaywind.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return c.read(ctx, key, nil)
}

// Watch polls until the key's revision is other than old.
func (c *Client) Watch(ctx context.Context, key string, old jaywind.Revision) (jaywind.Entry, error) {
	for {
		e, err := c.next(ctx, key, old)
		if errors.Is(err, jaywind.ErrKeyNotFound) && old == "" {
			continue
		}
		if err != nil || e.Revision != old {
			return e, err
		}
	}
}

// next reads once, by a short call while the breaker is open, so that no long poll stands for the trial.
func (c *Client) next(ctx context.Context, key string, old jaywind.Revision) (jaywind.Entry, error) {
	if c.breaker.open() {
		return c.Get(ctx, key)
	}
	return c.poll(ctx, key, old)
}

func (c *Client) poll(ctx context.Context, key string, old jaywind.Revision) (jaywind.Entry, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, watchLimit+watchSlack, errSilent)
	defer cancel()
	query := url.Values{}
	query.Set("after", string(old))
	query.Set("wait", watchLimit.String())
	return c.read(ctx, key, query)
}

func (c *Client) read(ctx context.Context, key string, query url.Values) (e jaywind.Entry, err error) {
	k := kindRead
	if query != nil {
		k = kindWatch
	}
	if err := c.admit(k); err != nil {
		return jaywind.Entry{}, err
	}
	defer func() { c.note(k, blame(ctx, query, err)) }()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.keyURL(key)+"?"+query.Encode(), nil)
	if err != nil {
		return jaywind.Entry{}, err
	}
	response, err := c.transport().RoundTrip(request)
	if err != nil {
		return jaywind.Entry{}, fmt.Errorf("%w: %w", jaywind.ErrStoreUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return jaywind.Entry{}, jaywind.ErrKeyNotFound
	default:
		return jaywind.Entry{}, fmt.Errorf("%w: status %d", jaywind.ErrStoreUnavailable, response.StatusCode)
	}
	value, err := io.ReadAll(io.LimitReader(response.Body, jaywind.MaxValue+1))
	if err != nil || len(value) > jaywind.MaxValue {
		return jaywind.Entry{}, fmt.Errorf("%w: body of %d bytes: %w", jaywind.ErrStoreUnavailable, len(value), err)
	}
	c.counts().in.Inc(int64(len(value)))
	return jaywind.Entry{Key: key, Value: value, Revision: jaywind.Revision(response.Header.Get("ETag"))}, nil
}

// Swap writes value if the key's revision is old.
func (c *Client) Swap(ctx context.Context, key string, value []byte, old jaywind.Revision) (jaywind.Revision, error) {
	return c.SwapLeased(ctx, key, value, old, "")
}

// SwapLeased is Swap for a value that is deleted when the lease lapses.
func (c *Client) SwapLeased(ctx context.Context, key string, value []byte, old jaywind.Revision, id jaywind.LeaseID) (jaywind.Revision, error) {
	if len(value) > jaywind.MaxValue {
		return "", jaywind.ErrValueTooLarge
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	target := c.keyURL(key)
	if id != "" {
		target += "?lease=" + url.QueryEscape(string(id))
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(value))
	if err != nil {
		return "", err
	}
	if old == "" {
		request.Header.Set("If-None-Match", "*")
	} else {
		request.Header.Set("If-Match", string(old))
	}
	response, err := c.write(kindWrite, request)
	if err != nil {
		return "", err
	}
	return jaywind.Revision(response.Header.Get("ETag")), nil
}

// Delete removes the key if its revision is old.
func (c *Client) Delete(ctx context.Context, key string, old jaywind.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.keyURL(key), nil)
	if err != nil {
		return err
	}
	request.Header.Set("If-Match", string(old))
	_, err = c.write(kindDelete, request)
	return err
}

// Grant opens a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (jaywind.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	target := string(c.URL) + "/leases?ttl=" + strconv.FormatInt(ttl.Milliseconds(), 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return "", err
	}
	response, err := c.write(kindLease, request)
	if err != nil {
		return "", err
	}
	return jaywind.LeaseID(response.Header.Get("Location")), nil
}

// Renew prolongs a lease.
func (c *Client) Renew(ctx context.Context, id jaywind.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	target := string(c.URL) + "/leases/" + url.PathEscape(string(id))
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, target, nil)
	if err != nil {
		return err
	}
	_, err = c.write(kindLease, request)
	return err
}

// write sends a call that changes the store and says what is known of its effect.
func (c *Client) write(k kind, request *http.Request) (response *http.Response, err error) {
	if err := c.admit(k); err != nil {
		return nil, err
	}
	defer func() { c.note(k, err) }()
	c.counts().out.Inc(max(request.ContentLength, 0))
	response, err = c.transport().RoundTrip(request)
	if err != nil {
		return nil, writeError(err)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, jaywind.MaxValue))
	_ = response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return response, nil
	case http.StatusNotFound:
		return nil, jaywind.ErrKeyNotFound
	case http.StatusPreconditionFailed:
		return nil, jaywind.ErrRevisionConflict
	case http.StatusGone:
		return nil, jaywind.ErrLeaseExpired
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return nil, fmt.Errorf("%w: status %d", jaywind.ErrStoreUnavailable, response.StatusCode)
	}
	return nil, fmt.Errorf("%w: status %d", jaywind.ErrOutcomeUnknown, response.StatusCode)
}

// blame returns what a read tells of the store: nothing, where the caller of a watch has ended it.
func blame(ctx context.Context, query url.Values, err error) error {
	if query != nil && ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent) {
		return context.Canceled
	}
	return err
}

// admit lets a call through or says why not, and counts which.
func (c *Client) admit(k kind) error {
	err := c.breaker.admit(time.Now())
	if err != nil {
		c.counts().refused.Inc(1)
		return err
	}
	c.counts().calls[k].Inc(1)
	return nil
}

func (c *Client) note(k kind, err error) {
	if failed(err) {
		c.counts().failed[k].Inc(1)
	}
	routers := 1
	if c.Routers != nil {
		routers = c.Routers()
	}
	c.breaker.note(time.Now(), err, routers)
}

// writeError tells a write that never left from one that may have taken effect.
func writeError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", jaywind.ErrStoreUnavailable, err)
	}
	return fmt.Errorf("%w: %w", jaywind.ErrOutcomeUnknown, err)
}

func (c *Client) keyURL(key string) string {
	return string(c.URL) + "/kv/" + url.PathEscape(key)
}

func (c *Client) transport() http.RoundTripper {
	if c.Transport != nil {
		return c.Transport
	}
	return http.DefaultTransport
}
