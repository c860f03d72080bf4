package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const healthPath = "/healthz"

// run is a run of a request at a replica.
type run struct {
	id, replica, service, tenant, target string
	at                                   time.Time
}

// replica is a replica of a plain service.
type replica struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration
	store             *store
	record            *record
	// spoil says what to do with an answer to a request, or to a health check; nil for never.
	spoil func(health bool) spoiling

	address string
	born    int64
	slot    chan struct{}
	mu      sync.Mutex
	waiting int
}

// spoiling is what a faulty replica does with an answer.
type spoiling int

const (
	sound      spoiling = iota
	breakOff            // the connection closes in the middle of the answer
	secondCopy          // a second copy arrives late, when the next answer is due on the connection
)

func (r *replica) start(group *sync.WaitGroup) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.address, r.born, r.slot = l.Addr().String(), time.Now().UnixMilli(), make(chan struct{}, r.slots)
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			group.Go(func() { r.serve(c) })
		}
	})
	r.register("ready")
	group.Go(func() {
		for range time.Tick(time.Second) {
			r.register("ready")
		}
	})
	return nil
}

func (r *replica) register(state string) {
	r.store.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state, "coldLeftMs": 0,
		"sequence": 1, "born": r.born,
	}, 3600*time.Millisecond)
}

// serve serves one connection, a request at a time.
func (r *replica) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	var late []byte // second copy of the last answer
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if late != nil {
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer := r.answer(request, body)
		switch id := request.Header.Get("X-Attempt-Id"); r.spoilAnswer(request.URL.Path == healthPath) {
		case breakOff:
			r.record.line("%s breaks off the answer to %q", r.id, id)
			_, _ = c.Write(answer[:len(answer)/2])
			return
		case secondCopy:
			r.record.line("%s sends a second copy of the answer to %q (%s %s): %s", r.id, id, request.Method, request.URL.Path, bytes.SplitN(answer, []byte("\r\n"), 2)[0])
			late = answer
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

func (r *replica) spoilAnswer(health bool) spoiling {
	if r.spoil == nil {
		return sound
	}
	return r.spoil(health)
}

// answer runs a request, or turns it away.
func (r *replica) answer(request *http.Request, body []byte) []byte {
	id := request.Header.Get("X-Attempt-Id")
	headers := ""
	if id != "" {
		headers = "X-Attempt-Id: " + id + "\r\n"
	}
	health := request.URL.Path == healthPath
	switch {
	case request.URL.Path == "/api/report":
		return respond(200, "Content-Type: application/json\r\n", fmt.Sprintf(`{"born":%d,"models":[],"busy":false,"sequence":1,"waiting":0,"running":0}`, r.born))
	case id == "" && !health:
		return respond(400, "X-Not-Executed: 1\r\n", "")
	case !health && request.Header.Get("X-Expect-Replica") != "" && request.Header.Get("X-Expect-Replica") != r.id:
		return respond(421, headers+"X-Replica-Id: "+r.id+"\r\n", "")
	case !r.enter():
		if health {
			r.record.line("%s is full and rejects a health check", r.id)
		}
		return respond(503, headers+"X-Not-Executed: 1\r\n", "")
	}
	defer func() { <-r.slot }()
	if health {
		return respond(200, "X-Replica-Id: "+r.id+"\r\n", "")
	}
	r.record.ran(run{id: id, replica: r.id, service: r.service, tenant: request.Header.Get("X-Tenant"), target: request.URL.Path, at: time.Now()})
	time.Sleep(r.work)
	return respond(200, headers+"X-Replica-Seal: "+r.id+"\r\n", fmt.Sprintf("%s %s %s %s", id, request.Method, request.RequestURI, body))
}

// enter waits for a slot, or reports that there is no room.
func (r *replica) enter() bool {
	select {
	case r.slot <- struct{}{}:
		return true
	default:
	}
	r.mu.Lock()
	if r.waiting >= r.queue {
		r.mu.Unlock()
		return false
	}
	r.waiting++
	r.mu.Unlock()
	r.slot <- struct{}{}
	r.mu.Lock()
	r.waiting--
	r.mu.Unlock()
	return true
}

func respond(status int, headers, body string) []byte {
	return []byte("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n" + headers + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
}
