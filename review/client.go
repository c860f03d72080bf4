package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var requests atomic.Int64

// client sends requests over connections that it keeps open.
type client struct {
	host, key string
	transport *http.Transport
	record    *record
}

func newClient(host, key string, r *record) *client {
	return &client{host: host, key: key, record: r, transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}
}

// send sends one attempt. It returns its id, the status of the answer or 0 without one, and after which time the client may try again.
func (c *client) send(at, method, target, body string, deadline time.Duration) (id string, status int, retryAfter time.Duration) {
	id, status, _, retryAfter = c.do(at, method, target, body, deadline, nil)
	return id, status, retryAfter
}

// stream sends one attempt of a stream. It returns its id, the status of the answer or 0 without a whole one, and the answer.
func (c *client) stream(at, target string, deadline time.Duration) (id string, status int, answer string) {
	id, status, answer, _ = c.do(at, "POST", target, "prompt", deadline, func(id string, h http.Header) {
		h.Set("X-Model", "m")
		h.Set("X-Token-Usage", fmt.Sprintf("%d,%d", promptTokens, 6*streamPieces))
		h.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:200,%s:%d", id, promptTokens-200))
	})
	return id, status, answer
}

func (c *client) do(at, method, target, body string, deadline time.Duration, more func(id string, h http.Header)) (id string, status int, answer string, retryAfter time.Duration) {
	id = fmt.Sprintf("%016x", 0xa000_0000_0000_0000|uint64(requests.Add(1)))
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+at+target, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.GetBody = nil // the transport must not send it again
	request.Host = c.host
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	if more != nil {
		more(id, request.Header)
	}
	c.record.line("client sends %s %s %s to %s", id, method, target, at)
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		c.record.line("client gets no answer to %s: %v", id, err)
		return id, 0, "", 0
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		c.record.line("client gets part of an answer to %s: %d, %v", id, response.StatusCode, err)
		return id, 0, "", 0
	}
	c.record.line("client gets %d to %s, signature %q, %q", response.StatusCode, id, response.Header.Get("X-Replica-Seal"), read[:min(len(read), 120)])
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return id, response.StatusCode, string(read), time.Duration(seconds * float64(time.Second))
}
