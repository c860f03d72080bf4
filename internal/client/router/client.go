package router

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"

	"jaywind"
)

const (
	defaultIdleTimeout = time.Second // four heartbeat intervals of a router
	defaultMaxAttempts = 20
	initialBackoff     = 20 * time.Millisecond
	maxBackoff         = 2 * time.Second
)

// ErrGap wraps the error for a token that is missing or repeated in what a router sent.
var ErrGap = errors.New("token is missing or repeated")

// ErrDigest wraps the error for a digest that is not that of the tokens received.
var ErrDigest = errors.New("digest does not match")

// ErrWrongRequest wraps the error for an event that belongs to another request. The client reconnects after it.
var ErrWrongRequest = errors.New("event belongs to another request")

// Refusal is an error reply of a router.
type Refusal struct {
	Status     int
	Code       string
	Message    string
	MayHaveRun bool          // false only if the request certainly was not run
	RetryAfter time.Duration // delay before the next attempt; 0 if a retry is of no use
}

// Error returns the router's message.
func (r *Refusal) Error() string { return r.Code + ": " + r.Message }

// Request asks for one generation.
type Request struct {
	ID           jaywind.RequestID // defaults to a random id
	Organisation jaywind.Organisation
	Route        jaywind.Route
	Model        jaywind.Model
	Prompt       string
	MaxTokens    int // defaults to the number that the router sets
	Seed         *jaywind.Seed
}

// Answer holds the tokens of an answer and statistics about how they arrived.
type Answer struct {
	ID         jaywind.RequestID
	Tokens     []jaywind.Token
	Bookmark   jaywind.Bookmark
	Reconnects int           // connections after the first token
	MaxGap     time.Duration // longest time between two tokens
}

// Client sends generation requests to routers. Set its fields before calling Generate.
type Client struct {
	Entries     []jaywind.Address // used until a router has returned its list
	IdleTimeout time.Duration     // without any bytes, after which a connection is closed; defaults to 1 s
	MaxAttempts int               // maximum of consecutive connections without a new token; defaults to 20
	OnToken     func(jaywind.Token, jaywind.Bookmark)
	Transport   http.RoundTripper // nil dials a new connection for each request
}

// Generate returns the whole answer. On an error, the answer holds the tokens received so far if it is not nil, and the
// error is a *Refusal if a router refused the request for good.
func (c *Client) Generate(ctx context.Context, req Request) (*Answer, error) {
	if len(c.Entries) == 0 {
		return nil, errors.New("no entries configured")
	}
	if req.ID == "" {
		req.ID = jaywind.RequestID(strconv.FormatUint(rand.Uint64(), 36))
	}
	g := &generation{client: c, request: req, answer: &Answer{ID: req.ID}, backoff: newBackoff()}
	g.entries = append(g.entries, c.Entries...)
	for tries := 0; ; tries++ {
		before := len(g.answer.Tokens)
		err := g.connect(ctx)
		if err == nil {
			return g.answer, nil
		}
		var refusal *Refusal
		final := errors.As(err, &refusal) && refusal.RetryAfter == 0
		if ctx.Err() != nil || final || errors.Is(err, ErrGap) || errors.Is(err, ErrDigest) {
			return g.answer, err
		}
		if len(g.answer.Tokens) > before {
			tries = 0
			g.backoff.Reset()
		}
		if tries+1 >= c.maxAttempts() {
			return g.answer, fmt.Errorf("gave up after %d connections without a new token: %w", tries+1, err)
		}
		g.wait(ctx, refusal)
		g.rotate()
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialBackoff
	b.MaxInterval = maxBackoff
	return b
}

func (c *Client) maxAttempts() int {
	if c.MaxAttempts == 0 {
		return defaultMaxAttempts
	}
	return c.MaxAttempts
}

func (c *Client) idleTimeout() time.Duration {
	if c.IdleTimeout == 0 {
		return defaultIdleTimeout
	}
	return c.IdleTimeout
}

func (c *Client) transport() http.RoundTripper {
	if c.Transport == nil {
		return unpooled
	}
	return c.Transport
}
