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
)

const (
	dialLimit  = time.Second
	eventLimit = 1 << 16 // bytes of one event
	bodyLimit  = 1 << 20 // bytes of a reply that is not a stream
)

var fresh = &http.Transport{
	DialContext:       (&net.Dialer{Timeout: dialLimit}).DialContext,
	DisableKeepAlives: true,
}

// exchange is one question on its way over any number of connections.
type exchange struct {
	client   *Client
	question Question
	answer   *Answer
	entries  []jaywind.Address // the next to try first
	listed   time.Time         // until when the list of entries holds
	digest   jaywind.Digest
	last     time.Time // of the last token
	pauses   *backoff.ExponentialBackOff
	failed   jaywind.Address // the entry of the last connection that broke
	posted   bool            // a router may know the question
}

// rotate puts the entry that was just tried last.
func (e *exchange) rotate() {
	e.failed = e.entries[0]
	e.entries = append(e.entries[1:], e.failed)
}

func (e *exchange) wait(ctx context.Context, refusal *Refusal) {
	d := e.pauses.NextBackOff()
	if refusal != nil {
		d = max(d, refusal.Retry)
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// connect reads the answer over one connection and returns nil once it is whole.
func (e *exchange) connect(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := e.refreshEntries(ctx); err != nil && len(e.entries) > 1 {
		return err
	}
	watchdog := time.AfterFunc(e.client.silence(), cancel)
	defer watchdog.Stop()
	response, err := e.post(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return readRefusal(response)
	}
	body := &touchReader{reader: response.Body, touch: func() { watchdog.Reset(e.client.silence()) }}
	return e.read(body)
}

// touchReader reports each read, heartbeats included.
type touchReader struct {
	reader io.Reader
	touch  func()
}

func (t *touchReader) Read(p []byte) (int, error) {
	n, err := t.reader.Read(p)
	if n > 0 {
		t.touch()
	}
	return n, err
}

func (e *exchange) read(body io.Reader) error {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: eventLimit}) {
		if err != nil {
			return err
		}
		whole, err := e.take(event)
		if whole || err != nil {
			return err
		}
	}
	return io.ErrUnexpectedEOF
}

// take handles one event and returns whether the answer is whole.
func (e *exchange) take(event sse.Event) (bool, error) {
	var c chunk
	if err := json.Unmarshal([]byte(event.Data), &c); err != nil {
		return false, fmt.Errorf("event: %w", err)
	}
	if c.Error != nil {
		return false, c.Error.refusal(http.StatusOK)
	}
	if len(c.Choices) != 1 {
		return false, fmt.Errorf("event: %d choices, want 1", len(c.Choices))
	}
	mark, err := jaywind.ParseBookmark(event.LastEventID)
	if err != nil {
		return false, fmt.Errorf("event id: %w", err)
	}
	if mark.Request != e.question.ID {
		return false, fmt.Errorf("%w: %s", ErrCrossed, mark.Request)
	}
	if c.Choices[0].Finish != nil {
		return true, e.takeEnd(mark, c)
	}
	return false, e.takeToken(mark, c.token())
}

func (e *exchange) takeToken(mark jaywind.Bookmark, t jaywind.Token) error {
	if want := len(e.answer.Tokens) + 1; int(mark.Position) != want {
		return fmt.Errorf("%w: position %d, want %d", ErrGap, mark.Position, want)
	}
	e.digest = e.digest.Add(t)
	if e.digest != mark.Digest {
		return fmt.Errorf("%w: at position %d", ErrDigest, mark.Position)
	}
	now := time.Now()
	if !e.last.IsZero() {
		e.answer.Longest = max(e.answer.Longest, now.Sub(e.last))
	}
	e.last = now
	e.answer.Tokens = append(e.answer.Tokens, t)
	e.answer.Mark = mark
	if e.client.OnToken != nil {
		e.client.OnToken(t, mark)
	}
	return nil
}

func (e *exchange) takeEnd(mark jaywind.Bookmark, c chunk) error {
	if int(mark.Position) != len(e.answer.Tokens) {
		return fmt.Errorf("%w: end at %d of %d tokens", ErrGap, mark.Position, len(e.answer.Tokens))
	}
	if c.Digest != strconv.FormatUint(uint64(e.digest), 16) {
		return fmt.Errorf("%w: at the end", ErrDigest)
	}
	return nil
}

func (e *exchange) post(ctx context.Context) (*http.Response, error) {
	q := e.question
	body := completion{Model: string(q.Model), Prompt: q.Prompt, Limit: q.Limit, Stream: true}
	if q.Seed != nil {
		seed := uint64(*q.Seed)
		body.Seed = &seed
	}
	for _, t := range e.answer.Tokens {
		body.Prefix = append(body.Prefix, pieceOf(t))
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, string(e.entries[0])+"/v1/completions", bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Id", string(q.ID))
	request.Header.Set("OpenAI-Organization", string(q.Organisation))
	if q.Route != "" {
		request.Header.Set("X-Route", string(q.Route))
	}
	request.Header.Set("X-Keeps-Tokens", "1")
	if e.posted {
		request.Header.Set("X-Retry", "1")
	}
	e.posted = true
	if len(e.answer.Tokens) > 0 {
		request.Header.Set("Last-Event-ID", e.answer.Mark.String())
		e.answer.Resumed++
	}
	return e.client.transport().RoundTrip(request)
}

// refreshEntries asks the entry at hand which ones to use, once the list at hand is old.
func (e *exchange) refreshEntries(ctx context.Context) error {
	if time.Now().Before(e.listed) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	list, err := e.client.List(ctx, e.entries[0], e.question.Organisation)
	if err != nil || len(list.Entries) == 0 {
		return err
	}
	e.listed = time.Now().Add(list.Keep)
	fresh := slices.Clone(list.Entries)
	for _, a := range e.entries {
		if !slices.Contains(fresh, a) {
			fresh = append(fresh, a)
		}
	}
	e.entries = fresh
	if e.entries[0] == e.failed {
		e.rotate()
	}
	return nil
}
