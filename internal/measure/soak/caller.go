package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"jaywind/platform/standin"
)

const (
	thinkTime  = 80 * time.Millisecond // of a caller between two requests
	keepAnswer = 2 * time.Second       // that a caller keeps the directory's answer
	leaveShare = 0.05                  // of streams whose caller leaves in the middle
	comeBacks  = 2                     // tries of one caller
)

// attempt is one request with its own id, as its caller saw it.
type attempt struct {
	id       string
	prefix   string
	target   string
	body     string
	key      string
	at       *router
	sent     time.Time
	ended    time.Time
	left     time.Time // when the caller left; zero if it did not
	after    int       // events that the caller had before
	status   int       // 0 without an answer
	sealed   bool      // the answer is an endpoint's own
	whole    bool      // it ended as a complete answer does
	text     string
	got      int // events, up to the last whole one
	disorder string
	err      error
}

func (a *attempt) stream() bool { return a.prefix == "/stream/" }
func (a *attempt) unsafe() bool { return a.prefix == "/buy/" }

// caller sends one request after another, and keeps its connections open for as long as they work.
type caller struct {
	number int
	fleet  *fleet
	rules  *rules
	record *record
	random *rand.Rand

	transport *http.Transport
	known     []*router
	knownAt   time.Time
	count     int
}

// run sends requests until ctx ends; a request that is under way ends by itself.
func (c *caller) run(ctx context.Context) {
	c.transport = newTransport()
	defer c.transport.CloseIdleConnections()
	for ctx.Err() == nil {
		c.request()
		time.Sleep(time.Duration(c.random.Int64N(int64(2 * thinkTime))))
	}
}

// request takes one request to its end, with a second try where that is allowed.
func (c *caller) request() {
	prefix, key := c.draw()
	after := 0
	for try := range comeBacks {
		a := c.send(prefix, key, after)
		c.record.judge(a)
		switch {
		case a.whole && a.status != http.StatusServiceUnavailable, !a.left.IsZero():
			return
		case a.status == http.StatusServiceUnavailable: // it has not run
		case a.unsafe():
			return
		}
		after += a.got
		if try == 0 {
			time.Sleep(thinkTime)
		}
	}
}

// draw returns what is asked next: mostly of the first routes, at times of one that was just added or with another key.
func (c *caller) draw() (prefix, key string) {
	n := c.random.IntN(100)
	prefix, key = "/get/", "key"
	switch {
	case n < 35:
		prefix = "/stream/"
	case n < 65:
		prefix = "/buy/"
	case n < 72:
		if p, _, found := c.rules.newest(); found {
			prefix = p
		}
	}
	if c.random.IntN(10) == 0 {
		key = c.rules.extra(c.random.IntN(2) == 0)
	}
	return prefix, key
}

// router returns where to connect, by a directory's answer.
func (c *caller) router() *router {
	if time.Since(c.knownAt) > keepAnswer {
		for range 3 {
			if all := c.resolve(c.fleet.routers[c.random.IntN(len(c.fleet.routers))]); len(all) > 0 {
				c.known, c.knownAt = all, time.Now()
				break
			}
		}
	}
	if len(c.known) == 0 {
		return c.fleet.routers[c.random.IntN(len(c.fleet.routers))]
	}
	return c.known[c.random.IntN(len(c.known))]
}

func (c *caller) resolve(from *router) []*router {
	addresses, err := standin.Resolve(from.directory, host, "zone0")
	if err != nil {
		return nil
	}
	var all []*router
	for _, r := range c.fleet.routers {
		for _, at := range addresses {
			if at == r.caller {
				all = append(all, r)
			}
		}
	}
	return all
}

// send makes one attempt.
func (c *caller) send(prefix, key string, after int) *attempt {
	c.count++
	a := &attempt{id: fmt.Sprintf("q%d-%d-", c.number, c.count), prefix: prefix, key: key, after: after, at: c.router()}
	a.target = fmt.Sprintf("%sx%d?n=%d", prefix, c.number, c.count)
	a.body = strings.Repeat(a.id, 1+c.random.IntN(40))
	limit := plainTime
	if a.stream() {
		limit = streamTime
	}
	leaveAt := 0
	if a.stream() && c.random.Float64() < leaveShare {
		leaveAt = 1 + c.random.IntN(events-1)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit+patience)
	defer cancel()
	q := standin.Request{Attempt: a.id, At: a.at.caller, Host: host, Target: a.target, Body: a.body, Key: key, Within: limit, After: after}
	if a.stream() {
		q.Prompt, q.Tokens, q.Output = fmt.Sprintf("aa:200,%d:800", c.number), 1000, 300
	}
	a.sent = time.Now()
	answer, err := q.Send(ctx, c.transport)
	if err != nil {
		a.err, a.ended = err, time.Now()
		c.knownAt = time.Time{}
		return a
	}
	defer func() { _ = answer.Body.Close() }()
	a.status, a.sealed = answer.StatusCode, standin.Sealed(answer)
	if a.stream() && a.status == http.StatusOK {
		a.readEvents(answer.Body, leaveAt, cancel)
	} else {
		a.readText(answer.Body)
	}
	a.ended = time.Now()
	return a
}

func (a *attempt) readText(r io.Reader) {
	b, err := io.ReadAll(r)
	a.text, a.err, a.whole = string(b), err, err == nil
}

// readEvents reads events and checks each; it leaves after so many.
func (a *attempt) readEvents(r io.Reader, leaveAt int, leave func()) {
	lines := bufio.NewReader(r)
	event := ""
	for {
		line, err := lines.ReadString('\n')
		event += line
		if err != nil {
			a.err, a.whole = err, errors.Is(err, io.EOF)
			if a.whole && event != "" && a.disorder == "" {
				a.disorder = "it ends in the middle of an event"
			}
			return
		}
		if line != "\n" {
			continue
		}
		id := a.after + a.got + 1
		if want := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", id, id, a.id); event != want && a.disorder == "" {
			a.disorder = fmt.Sprintf("got %q, want %q", event, want)
		}
		a.got++
		event = ""
		if a.got == leaveAt {
			a.left = time.Now()
			leave()
			return
		}
	}
}

func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
}
