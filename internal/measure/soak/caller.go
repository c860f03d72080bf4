package soak

import (
	"bufio"
	"cmp"
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
	thinkTime        = 80 * time.Millisecond // mean pause of a caller between two requests
	directoryTTL     = 2 * time.Second       // how long a caller caches the directory's answer
	leaveProbability = 0.05                  // that a caller disconnects in the middle of a stream
	maxTries         = 2                     // per request
	usualPrompt      = 1000                  // tokens
)

// attempt is one try of a request, with an id of its own, as its caller saw it.
type attempt struct {
	id           string
	prefix       string
	target       string
	body         string
	key          string
	part         string // that crashes engines; empty for none
	deadly       string // body of a request that crashes replicas; empty for any other
	prompt       int    // tokens of the prompt
	router       *router
	sentAt       time.Time
	endedAt      time.Time
	leftAt       time.Time // when the caller disconnected; zero if it did not
	after        int       // events received by earlier attempts
	status       int       // 0 without a response
	fromEndpoint bool      // the response is an endpoint's own, not one that a router made
	leaving      string    // id of the endpoint that says in the response that it is leaving; empty for none
	limited      string    // id of the endpoint that names a limit in the response; empty for none
	headAt       time.Time // when the head of the response came
	complete     bool      // it ended as a complete response does
	responseBody string
	received     int // complete events
	eventError   string
	err          error
}

func (a *attempt) isUnsafe() bool { return a.prefix == "/buy/" }

// caller sends one request after another and reuses its connections while they work.
type caller struct {
	number  int
	fleet   *fleet
	config  *operatorConfig
	checker *checker
	random  *rand.Rand
	part    string // that crashes engines, in all its prompts; empty for none
	deadly  string // body of its only request, which crashes replicas; empty for none
	once    bool   // with deadly: the request may not be repeated by a router
	only    string // path prefix of all its requests; empty for a mixture
	prompt  int    // tokens of its prompts; 0 for usualPrompt

	transport  *http.Transport
	routers    []*router
	resolvedAt time.Time
	requests   int
}

// run sends requests until ctx ends; the request in progress is finished.
func (c *caller) run(ctx context.Context) {
	c.transport = newTransport()
	defer c.transport.CloseIdleConnections()
	for ctx.Err() == nil {
		c.request()
		time.Sleep(time.Duration(c.random.Int64N(int64(2 * thinkTime))))
	}
}

// request sends one request and retries it where that is safe.
func (c *caller) request() {
	prefix, key := c.nextRequest()
	after := 0
	for try := range maxTries {
		a := c.send(prefix, key, after)
		c.checker.checkAttempt(a)
		switch {
		case a.complete && a.status != http.StatusServiceUnavailable, !a.leftAt.IsZero():
			return
		case a.status == http.StatusServiceUnavailable: // not run, so a retry is safe
		case a.isUnsafe(), c.part != "":
			return
		}
		after += a.received
		if try == 0 {
			time.Sleep(thinkTime)
		}
	}
}

// nextRequest draws a path prefix and an API key. Most requests use the initial routes and key; some use the route that was
// added last, or an extra key that may be revoked.
func (c *caller) nextRequest() (prefix, key string) {
	if c.only != "" {
		return c.only, "key"
	}
	if c.part != "" {
		return "/stream/", "key"
	}
	if c.deadly != "" && c.once {
		return "/buy/", "key"
	}
	if c.deadly != "" {
		return "/get/", "key"
	}
	n := c.random.IntN(100)
	prefix, key = "/get/", "key"
	switch {
	case n < 35:
		prefix = "/stream/"
	case n < 65:
		prefix = "/buy/"
	case n < 72:
		if p, _, found := c.config.newestRoute(); found {
			prefix = p
		}
	}
	if c.random.IntN(10) == 0 {
		key = c.config.extraKey(c.random.IntN(2) == 0)
	}
	return prefix, key
}

// pickRouter returns a router from the directory's answer, or any router if there is none.
func (c *caller) pickRouter() *router {
	if time.Since(c.resolvedAt) > directoryTTL {
		for range 3 {
			if all := c.resolve(c.fleet.routers[c.random.IntN(len(c.fleet.routers))]); len(all) > 0 {
				c.routers, c.resolvedAt = all, time.Now()
				break
			}
		}
	}
	if len(c.routers) == 0 {
		return c.fleet.routers[c.random.IntN(len(c.fleet.routers))]
	}
	return c.routers[c.random.IntN(len(c.routers))]
}

func (c *caller) resolve(from *router) []*router {
	addresses, err := standin.Resolve(from.directoryAddress, host, "zone0")
	if err != nil {
		return nil
	}
	var all []*router
	for _, r := range c.fleet.routers {
		for _, at := range addresses {
			if at == r.callerAddress {
				all = append(all, r)
			}
		}
	}
	return all
}

// send makes one attempt to a picked router.
func (c *caller) send(prefix, key string, after int) *attempt {
	c.requests++
	a := &attempt{id: fmt.Sprintf("q%d-%d-", c.number, c.requests), prefix: prefix, key: key, part: c.part, deadly: c.deadly, after: after, router: c.pickRouter()}
	a.target = fmt.Sprintf("%sx%d?n=%d", prefix, c.number, c.requests)
	a.body = strings.Repeat(a.id, 1+c.random.IntN(40))
	if c.deadly != "" {
		a.target, a.body = prefix+c.deadly, c.deadly
	}
	timeout := plainTimeout
	if a.isStream() {
		timeout = streamTimeout
	}
	leaveAt := 0
	if a.isStream() && c.random.Float64() < leaveProbability {
		leaveAt = 1 + c.random.IntN(streamEvents-1)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout+callerMargin)
	defer cancel()
	q := standin.Request{AttemptID: a.id, Address: a.router.callerAddress, Host: host, Target: a.target, Body: a.body, Key: key, Timeout: timeout, LastEventID: after}
	if a.isStream() {
		a.prompt = cmp.Or(c.prompt, usualPrompt)
		q.PromptParts, q.PromptTokens, q.MaxTokens = fmt.Sprintf("aa:200,%d:%d", c.number, a.prompt-200), a.prompt, 300
		if a.part != "" {
			q.PromptParts = fmt.Sprintf("aa:200,%s:90,%d%04d:710", a.part, c.number, c.requests) // no two prompts are alike
		}
	}
	a.sentAt = time.Now()
	response, err := q.Send(ctx, c.transport)
	if err != nil {
		a.err, a.endedAt = err, time.Now()
		c.resolvedAt = time.Time{}
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.fromEndpoint, a.headAt = response.StatusCode, standin.Sealed(response), time.Now()
	a.leaving, a.limited = standin.Leaving(response), standin.Limited(response)
	if a.isStream() && a.status == http.StatusOK {
		a.readEvents(response.Body, leaveAt, cancel)
	} else {
		a.readText(response.Body)
	}
	a.endedAt = time.Now()
	return a
}

func (a *attempt) readText(r io.Reader) {
	b, err := io.ReadAll(r)
	a.responseBody, a.err, a.complete = string(b), err, err == nil
}

// readEvents reads and checks the events of a stream. It calls leave and returns after leaveAt events, unless that is 0.
func (a *attempt) readEvents(r io.Reader, leaveAt int, leave func()) {
	lines := bufio.NewReader(r)
	event := ""
	for {
		line, err := lines.ReadString('\n')
		event += line
		if err != nil {
			a.err, a.complete = err, errors.Is(err, io.EOF)
			if a.complete && event != "" && a.eventError == "" {
				a.eventError = "stream ends in the middle of an event"
			}
			return
		}
		if line != "\n" {
			continue
		}
		id := a.after + a.received + 1
		if want := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", id, id, a.id); event != want && a.eventError == "" {
			a.eventError = fmt.Sprintf("got %q, want %q", event, want)
		}
		a.received++
		event = ""
		if a.received == leaveAt {
			a.leftAt = time.Now()
			leave()
			return
		}
	}
}

func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
}
