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
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/backend/answer"
)

const (
	callTimeout = time.Second      // for a read or a write
	watchWait   = 20 * time.Second // time that the service may hold one long poll
	watchMargin = 2 * time.Second  // added to watchWait before a long poll counts as failed
)

// headerEra is in each answer of the service; see jaywind.Era.
const headerEra = "Era"

var errPollTimeout = errors.New("long poll was not answered in time")

// Client implements jaywind.Store over HTTP.
type Client struct {
	URL         jaywind.Address
	Transport   http.RoundTripper // one like http.DefaultTransport when nil
	RouterCount func() int        // number of routers that share the store, by which trial calls in an outage are spaced out; 1 when nil
	Metrics     metrics.Registry  // registry for the counters of calls, failures and bytes; none when nil

	Log *zap.Logger // optional

	breaker  breaker
	counters counters
	era      atomic.Int64 // highest that an answer has named
	misnamed sync.Once    // logs the first answer whose era is invalid
}

var _ jaywind.Store = (*Client)(nil)

// Get returns the entry of a key.
func (c *Client) Get(ctx context.Context, key string) (jaywind.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.read(ctx, key, nil)
}

// Watch polls until the key's revision differs from old.
func (c *Client) Watch(ctx context.Context, key string, old jaywind.Revision) (jaywind.Entry, error) {
	for {
		e, err := c.readOrPoll(ctx, key, old)
		if errors.Is(err, jaywind.ErrKeyNotFound) && old == "" {
			continue
		}
		if err != nil || e.Revision != old {
			return e, err
		}
	}
}

// readOrPoll reads once by a long poll, or by a plain read while the breaker is open, so that the trial call returns soon.
func (c *Client) readOrPoll(ctx context.Context, key string, old jaywind.Revision) (jaywind.Entry, error) {
	if c.breaker.open() {
		return c.Get(ctx, key)
	}
	return c.poll(ctx, key, old)
}

func (c *Client) poll(ctx context.Context, key string, old jaywind.Revision) (jaywind.Entry, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, watchWait+watchMargin, errPollTimeout)
	defer cancel()
	query := url.Values{}
	query.Set("after", string(old))
	query.Set("wait", watchWait.String())
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
	defer func() { c.recordResult(k, readFailure(ctx, query, err)) }()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.keyURL(key)+"?"+query.Encode(), nil)
	if err != nil {
		return jaywind.Entry{}, err
	}
	response, err := c.transport().RoundTrip(request)
	if err != nil {
		return jaywind.Entry{}, fmt.Errorf("%w: %w", jaywind.ErrStoreUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := c.recordEra(response.Header.Get(headerEra)); err != nil {
		return jaywind.Entry{}, fmt.Errorf("%w: %w", jaywind.ErrStoreUnavailable, err)
	}
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

// SwapLeased is Swap for a value that is deleted when the lease expires.
func (c *Client) SwapLeased(ctx context.Context, key string, value []byte, old jaywind.Revision, id jaywind.LeaseID) (jaywind.Revision, error) {
	if len(value) > jaywind.MaxValue {
		return "", jaywind.ErrValueTooLarge
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.keyURL(key), nil)
	if err != nil {
		return err
	}
	request.Header.Set("If-Match", string(old))
	_, err = c.write(kindDelete, request)
	return err
}

// Grant creates a lease and returns its id.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (jaywind.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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

// Renew restarts the TTL of a lease.
func (c *Client) Renew(ctx context.Context, id jaywind.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	target := string(c.URL) + "/leases/" + url.PathEscape(string(id))
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, target, nil)
	if err != nil {
		return err
	}
	_, err = c.write(kindLease, request)
	return err
}

// write sends a call that changes the store. Its error tells whether the call may have taken effect.
func (c *Client) write(k callKind, request *http.Request) (response *http.Response, err error) {
	if err := c.admit(k); err != nil {
		return nil, err
	}
	defer func() { c.recordResult(k, err) }()
	c.counts().out.Inc(max(request.ContentLength, 0))
	response, err = c.transport().RoundTrip(request)
	if err != nil {
		return nil, writeError(err)
	}
	_, cut := io.Copy(io.Discard, io.LimitReader(response.Body, jaywind.MaxValue))
	_ = response.Body.Close()
	if err := c.recordEra(response.Header.Get(headerEra)); err != nil {
		return nil, fmt.Errorf("%w: %w", jaywind.ErrOutcomeUnknown, err)
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		if cut != nil { // the service may not have received the value
			return nil, fmt.Errorf("%w: %w", jaywind.ErrOutcomeUnknown, cut)
		}
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

// Era returns the highest era that an answer has named.
func (c *Client) Era() jaywind.Era { return jaywind.Era(c.era.Load()) }

// recordEra records the era of an answer; a service that names none is in era 0. An answer of an earlier era than another one is not used,
// as it says nothing about the present contents.
func (c *Client) recordEra(text string) (err error) {
	var era int64
	if text != "" {
		if era, err = strconv.ParseInt(text, 10, 64); err != nil || era < 0 {
			c.logMisnamed(text)
			return fmt.Errorf("era %q is not a number", text)
		}
	}
	for {
		known := c.era.Load()
		switch {
		case era < known:
			c.logMisnamed(text)
			return fmt.Errorf("era %d after era %d", era, known)
		case era == known || c.era.CompareAndSwap(known, era):
			return nil
		}
	}
}

// logMisnamed logs the first era that is not a number, or earlier than another.
func (c *Client) logMisnamed(text string) {
	c.misnamed.Do(func() {
		if c.Log != nil {
			c.Log.Warn("store: answer with an invalid era is not used", zap.String("era", text), zap.Int64("known", c.era.Load()))
		}
	})
}

// readFailure returns the error that a read reports to the breaker. It is context.Canceled if the caller has
// ended a watch, which is no failure of the store.
func readFailure(ctx context.Context, query url.Values, err error) error {
	if query != nil && ctx.Err() != nil && !errors.Is(context.Cause(ctx), errPollTimeout) {
		return context.Canceled
	}
	return err
}

// admit asks the breaker whether a call may be made, and counts admitted and refused calls.
func (c *Client) admit(k callKind) error {
	err := c.breaker.admit(time.Now())
	if err != nil {
		c.counts().refused.Inc(1)
		return err
	}
	c.counts().calls[k].Inc(1)
	return nil
}

func (c *Client) recordResult(k callKind, err error) {
	if isFailure(err) {
		c.counts().failed[k].Inc(1)
	}
	routers := 1
	if c.RouterCount != nil {
		routers = c.RouterCount()
	}
	c.breaker.record(time.Now(), err, routers)
}

// writeError distinguishes a write that was never sent from one that may have taken effect.
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

var defaultTransport = answer.Default()

func (c *Client) transport() http.RoundTripper {
	if c.Transport != nil {
		return c.Transport
	}
	return defaultTransport
}
