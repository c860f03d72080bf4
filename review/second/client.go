package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// isReady asks a machine whether it is ready.
func isReady(at string) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := c.Get("http://" + at + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// request is one attempt of a client.
type request struct {
	method, host, path, body string
	id                       string
	header                   map[string]string
	deadline                 time.Duration
}

func (q *request) bytes() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, q.host, q.id, q.deadline.Milliseconds())
	for name, value := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if q.method != "GET" || q.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	return []byte(b.String())
}

// answer is what a client has received.
type answer struct {
	status   int
	header   http.Header
	body     string
	complete bool
	err      error
}

// conn is a client's connection.
type conn struct {
	net.Conn
	reader *bufio.Reader
}

func dial(at string) (*conn, error) {
	c, err := net.DialTimeout("tcp", at, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{c, bufio.NewReader(c)}, nil
}

// ask sends a request and reads the answer.
func (c *conn) ask(q *request) answer {
	_ = c.SetDeadline(time.Now().Add(q.deadline + 2*time.Second))
	if _, err := c.Write(q.bytes()); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), complete: err == nil, err: err}
}

// stream sends a streaming request and calls onEvent with the id of each event. It returns a complete answer only if the
// stream has ended whole.
func stream(at string, q *request, onEvent func(id int)) answer {
	c, err := dial(at)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(q.deadline))
	if _, err := c.Write(q.bytes()); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: response.StatusCode, header: response.Header}
	lines := bufio.NewReader(response.Body)
	id := 0
	for {
		line, err := lines.ReadString('\n')
		if errors.Is(err, io.EOF) {
			a.complete = true
			return a
		}
		if err != nil {
			a.err = err
			return a
		}
		switch {
		case strings.HasPrefix(line, "id: "):
			_, _ = fmt.Sscanf(line, "id: %d", &id)
		case line == "\n" && id > 0:
			onEvent(id)
			id = 0
		}
	}
}
