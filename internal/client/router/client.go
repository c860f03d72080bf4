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
	defaultSilence = time.Second // as long as four heartbeats of a router
	defaultTries   = 20
	firstPause     = 20 * time.Millisecond
	longestPause   = 2 * time.Second
)

// ErrGap is returned when a token is missing or repeated in what a router sent.
var ErrGap = errors.New("answer is not contiguous")

// ErrDigest is returned when the end's digest is not that of the tokens read.
var ErrDigest = errors.New("digest does not match")

// ErrCrossed wraps the loss of a connection on which a router sent an event of an answer to another request.
var ErrCrossed = errors.New("event belongs to another request")

// Refusal is a router's final answer that is not an answer to the question.
type Refusal struct {
	Status  int
	Code    string
	Message string
	Run     bool          // whether the request may have been run
	Retry   time.Duration // when to come back; 0 for never
}

// Error returns the router's message.
func (r *Refusal) Error() string { return r.Code + ": " + r.Message }

// Question is what a caller asks.
type Question struct {
	ID           jaywind.RequestID // a random one when empty
	Organisation jaywind.Organisation
	Route        jaywind.Route
	Model        jaywind.Model
	Prompt       string
	Limit        int // tokens; the router's default when zero
	Seed         *jaywind.Seed
}

// Answer is a whole answer with what it took to get it.
type Answer struct {
	ID      jaywind.RequestID
	Tokens  []jaywind.Token
	Mark    jaywind.Bookmark
	Resumed int           // reconnects
	Longest time.Duration // longest wait between two tokens
}

// Client asks routers; set its fields before Ask.
type Client struct {
	Entries   []jaywind.Address // to begin with
	Silence   time.Duration     // after which a connection is given up; 1 s when zero
	Tries     int               // connections in a row without a new token; 20 when zero
	OnToken   func(jaywind.Token, jaywind.Bookmark)
	Transport http.RoundTripper // one that dials afresh when nil
}

// Ask returns the whole answer, or a *Refusal when a router gave a final one.
func (c *Client) Ask(ctx context.Context, q Question) (*Answer, error) {
	if len(c.Entries) == 0 {
		return nil, errors.New("no entries to ask")
	}
	if q.ID == "" {
		q.ID = jaywind.RequestID(strconv.FormatUint(rand.Uint64(), 36))
	}
	e := &exchange{client: c, question: q, answer: &Answer{ID: q.ID}, pauses: newPauses()}
	e.entries = append(e.entries, c.Entries...)
	for tries := 0; ; tries++ {
		before := len(e.answer.Tokens)
		err := e.connect(ctx)
		if err == nil {
			return e.answer, nil
		}
		var refusal *Refusal
		final := errors.As(err, &refusal) && refusal.Retry == 0
		if ctx.Err() != nil || final || errors.Is(err, ErrGap) || errors.Is(err, ErrDigest) {
			return e.answer, err
		}
		if len(e.answer.Tokens) > before {
			tries = 0
			e.pauses.Reset()
		}
		if tries+1 >= c.tries() {
			return e.answer, fmt.Errorf("given up after %d connections: %w", tries+1, err)
		}
		e.wait(ctx, refusal)
		e.rotate()
	}
}

func newPauses() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstPause
	b.MaxInterval = longestPause
	return b
}

func (c *Client) tries() int {
	if c.Tries == 0 {
		return defaultTries
	}
	return c.Tries
}

func (c *Client) silence() time.Duration {
	if c.Silence == 0 {
		return defaultSilence
	}
	return c.Silence
}

func (c *Client) transport() http.RoundTripper {
	if c.Transport == nil {
		return fresh
	}
	return c.Transport
}
