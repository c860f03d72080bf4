package router

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/tmaxmax/go-sse"

	"jaywind"
	"jaywind/internal/backend/answer"
)

const (
	dialTimeout   = time.Second
	maxEventBytes = 1 << 16
	maxReplyBytes = 1 << 20 // of a reply that is not a stream
	maxHeadBytes  = 64 << 10
)

var unpooled = answer.Wrap(&http.Transport{
	DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
	DisableKeepAlives: true,

	MaxResponseHeaderBytes: maxHeadBytes,
})

// generation is the state of one request across its connections.
type generation struct {
	client       *Client
	request      Request
	answer       *Answer
	entries      []jaywind.Address // in the order in which they are tried
	entriesUntil time.Time         // when the list of entries expires
	digest       jaywind.Digest
	lastTokenAt  time.Time
	backoff      *backoff.ExponentialBackOff
	failedEntry  jaywind.Address // entry of the last connection that failed
	sentOnce     bool            // a router may have received the request
}

// rotate moves the first entry, whose connection failed, to the end of the list.
func (g *generation) rotate() {
	g.failedEntry = g.entries[0]
	g.entries = append(g.entries[1:], g.failedEntry)
}

func (g *generation) wait(ctx context.Context, refusal *Refusal) {
	d := g.backoff.NextBackOff()
	if refusal != nil {
		d = max(d, refusal.RetryAfter)
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// connect reads the answer over one connection. It returns nil once the answer is complete.
func (g *generation) connect(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := g.refreshEntries(ctx); err != nil && len(g.entries) > 1 {
		return err
	}
	watchdog := time.AfterFunc(g.client.idleTimeout(), cancel)
	defer watchdog.Stop()
	response, err := g.post(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return readRefusal(response)
	}
	body := &notifyingReader{reader: response.Body, onRead: func() { watchdog.Reset(g.client.idleTimeout()) }}
	return g.read(body)
}

// notifyingReader calls a function after each read that returns bytes, heartbeats included.
type notifyingReader struct {
	reader io.Reader
	onRead func()
}

func (t *notifyingReader) Read(p []byte) (int, error) {
	n, err := t.reader.Read(p)
	if n > 0 {
		t.onRead()
	}
	return n, err
}

func (g *generation) read(body io.Reader) error {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return err
		}
		whole, err := g.handleEvent(event)
		if whole || err != nil {
			return err
		}
	}
	return io.ErrUnexpectedEOF
}

// handleEvent processes one event and reports whether the answer is complete.
func (g *generation) handleEvent(event sse.Event) (bool, error) {
	var c chunk
	if err := json.Unmarshal([]byte(event.Data), &c); err != nil {
		return false, fmt.Errorf("decode event: %w", err)
	}
	if c.Error != nil {
		return false, c.Error.refusal(http.StatusOK)
	}
	if len(c.Choices) != 1 {
		return false, fmt.Errorf("event: %d choices, want 1", len(c.Choices))
	}
	bookmark, err := jaywind.ParseBookmark(event.LastEventID)
	if err != nil {
		return false, fmt.Errorf("event id: %w", err)
	}
	if bookmark.Request != g.request.ID {
		return false, fmt.Errorf("%w: %s", ErrWrongRequest, bookmark.Request)
	}
	if c.Choices[0].FinishReason != nil {
		return true, g.handleEnd(bookmark, c)
	}
	return false, g.handleToken(bookmark, c.token())
}

func (g *generation) handleToken(bookmark jaywind.Bookmark, t jaywind.Token) error {
	if want := len(g.answer.Tokens) + 1; int(bookmark.Position) != want {
		return fmt.Errorf("%w: position %d, want %d", ErrGap, bookmark.Position, want)
	}
	g.digest = g.digest.Add(t)
	if g.digest != bookmark.Digest {
		return fmt.Errorf("%w: at position %d", ErrDigest, bookmark.Position)
	}
	now := time.Now()
	if !g.lastTokenAt.IsZero() {
		g.answer.MaxGap = max(g.answer.MaxGap, now.Sub(g.lastTokenAt))
	}
	g.lastTokenAt = now
	g.answer.Tokens = append(g.answer.Tokens, t)
	g.answer.Bookmark = bookmark
	if g.client.OnToken != nil {
		g.client.OnToken(t, bookmark)
	}
	return nil
}

func (g *generation) handleEnd(bookmark jaywind.Bookmark, c chunk) error {
	if int(bookmark.Position) != len(g.answer.Tokens) {
		return fmt.Errorf("%w: end at position %d after %d tokens", ErrGap, bookmark.Position, len(g.answer.Tokens))
	}
	if c.Digest != strconv.FormatUint(uint64(g.digest), 16) {
		return fmt.Errorf("%w: at the end", ErrDigest)
	}
	return nil
}

func (g *generation) post(ctx context.Context) (*http.Response, error) {
	req := g.request
	body := completionRequest{Model: string(req.Model), Prompt: req.Prompt, MaxTokens: req.MaxTokens, Stream: true}
	if req.Seed != nil {
		seed := uint64(*req.Seed)
		body.Seed = &seed
	}
	for _, t := range g.answer.Tokens {
		body.Prefix = append(body.Prefix, wireTokenOf(t))
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, string(g.entries[0])+"/v1/completions", bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Id", string(req.ID))
	request.Header.Set("OpenAI-Organization", string(req.Organisation))
	if req.Route != "" {
		request.Header.Set("X-Route", string(req.Route))
	}
	request.Header.Set("X-Keeps-Tokens", "1")
	if g.sentOnce {
		request.Header.Set("X-Retry", "1")
	}
	g.sentOnce = true
	if len(g.answer.Tokens) > 0 {
		request.Header.Set("Last-Event-ID", g.answer.Bookmark.String())
		g.answer.Reconnects++
	}
	return g.client.transport().RoundTrip(request)
}

// refreshEntries gets a new list of entries from the first entry once the current list has expired. Entries that the new
// list lacks are kept at its end.
func (g *generation) refreshEntries(ctx context.Context) error {
	if time.Now().Before(g.entriesUntil) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	list, err := g.client.ListEntries(ctx, g.entries[0], g.request.Organisation)
	if err != nil || len(list.Entries) == 0 {
		return err
	}
	g.entriesUntil = time.Now().Add(list.TTL)
	updated := slices.Clone(list.Entries)
	for _, a := range g.entries {
		if !slices.Contains(updated, a) {
			updated = append(updated, a)
		}
	}
	g.entries = updated
	if g.entries[0] == g.failedEntry {
		g.rotate()
	}
	return nil
}
