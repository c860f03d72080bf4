package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	streamPieces = 150
	pieceGap     = 80 * time.Millisecond
	promptTokens = 400
)

// engine is a model replica. Its copies of runs' memory know whose memory they are.
type engine struct {
	id, zone string
	store    *store
	record   *record
	all      map[string]*engine // by address
	spoiled  float64            // largest part of its answers, streams too, that a second copy follows late

	address  string
	mu       sync.Mutex
	born     int64
	up       bool
	listener net.Listener
	conns    map[net.Conn]bool
	runs     map[string]int    // pieces so far, by the ids of the requests
	copies   map[string]string // ids of the requests whose memory they are, by the names that Kv-From gives
	handles  int
	mixed    int // requests that went on from the memory of another one
	resumed  int // requests that went on from a copy
	answers  int // of all kinds
	copied   int // that a second copy follows
	random   *rand.Rand
}

// start starts the engine, or starts it again at its address and under its id after a crash.
func (e *engine) start() error {
	at := e.address
	if at == "" {
		at = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	first := e.address == ""
	e.mu.Lock()
	e.address, e.listener, e.up, e.born = l.Addr().String(), l, true, time.Now().UnixMilli()
	e.conns, e.runs, e.copies = map[net.Conn]bool{}, map[string]int{}, map[string]string{}
	e.mu.Unlock()
	background.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[c] = true
			e.mu.Unlock()
			background.Go(func() { e.serve(c) })
		}
	})
	e.register()
	if first {
		background.Go(func() {
			for range time.Tick(time.Second) {
				e.register()
			}
		})
	}
	return nil
}

func (e *engine) register() {
	e.mu.Lock()
	up, born := e.up, e.born
	e.mu.Unlock()
	if !up {
		return
	}
	e.store.put("servers/"+e.id, object{
		"service": "jaywind-pool", "address": e.address, "zone": e.zone, "version": "v1", "slots": 16, "state": "ready", "coldLeftMs": 0,
		"stage": "combined", "models": []object{{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": 1, "born": born,
	}, 3600*time.Millisecond)
}

// crash ends the engine and resets its connections.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.up = false
	_ = e.listener.Close()
	for c := range e.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	e.record.line("%s crashes, %d runs end", e.id, len(e.runs))
}

// serve serves one connection, a request at a time.
func (e *engine) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	var late []byte
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
			e.record.line("%s sends the second copy, as %s %s is asked for", e.id, request.Method, request.URL.Path)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer := e.answer(c, request, body)
		e.mu.Lock()
		e.answers++
		e.mu.Unlock()
		if answer == nil { // it was a stream
			return
		}
		if e.draw() {
			e.record.line("%s will send a second copy of its answer to %s %s %s", e.id, request.Method, request.URL.Path, body)
			late = answer
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// draw draws which answers a second copy follows: no streams, as their connections are not used again, and so more of the others.
func (e *engine) draw() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if float64(e.copied+1) > e.spoiled*float64(e.answers) || e.random.Float64() > 10*e.spoiled {
		return false
	}
	e.copied++
	return true
}

// answer returns the answer to a request, or nil if it has written a stream.
func (e *engine) answer(c net.Conn, request *http.Request, body []byte) []byte {
	const kind = "Content-Type: application/json\r\n"
	switch {
	case request.URL.Path == "/api/report":
		return e.report(kind)
	case request.URL.Path == "/api/kv-list":
		return respond(200, kind, `{"epoch":1,"next":1,"held":[]}`)
	case request.URL.Path == "/api/kv-move":
		return e.move(body, kind)
	case request.URL.Path == healthPath:
		return respond(200, "X-Replica-Id: "+e.id+"\r\n", "")
	}
	id := request.Header.Get("X-Attempt-Id")
	echo := "X-Attempt-Id: " + id + "\r\n"
	if request.Header.Get("X-Expect-Replica") != e.id {
		return respond(421, echo+"X-Replica-Id: "+e.id+"\r\n", "")
	}
	if from := request.Header.Get("Kv-From"); from != "" && !e.useCopy(id, from) {
		return respond(503, echo+"X-Not-Executed: 1\r\n", "")
	}
	e.stream(c, request, id, echo)
	return nil
}

func (e *engine) report(kind string) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	b, _ := json.Marshal(object{"born": e.born, "stage": "combined", "models": []object{{"name": "m", "version": 1}}, "busy": false, "sequence": 1, "waiting": 0,
		"running": len(e.runs), "kvUsed": len(e.runs) * promptTokens, "kvTotal": 55000, "handles": len(e.copies)})
	return respond(200, kind, string(b))
}

// move copies the memory of a run to another engine.
func (e *engine) move(body []byte, kind string) []byte {
	var m struct{ ID, Target string }
	if json.Unmarshal(body, &m) != nil {
		return respond(400, "", "")
	}
	e.mu.Lock()
	pieces, running := e.runs[m.ID]
	e.handles++
	handle := fmt.Sprintf("h-%s-%d", e.id, e.handles)
	e.mu.Unlock()
	target := e.all[m.Target]
	switch {
	case !running:
		return respond(404, "", "")
	case target == nil || !target.hold(e.address+"/"+handle, m.ID):
		return respond(503, "", "")
	}
	e.record.line("%s has copied the memory of %s to %s as %s", e.id, m.ID, target.id, handle)
	return respond(200, kind, fmt.Sprintf(`{"handle":%q,"created":%d}`, handle, pieces))
}

// hold keeps a copy of the memory of a run.
func (e *engine) hold(name, run string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return false
	}
	e.copies[name] = run
	return true
}

// useCopy takes a copy for a request that goes on, if there is one. A copy can be used once.
func (e *engine) useCopy(id, from string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	owner, found := e.copies[from]
	if !found {
		e.record.line("%s has no copy %s for %s", e.id, from, id)
		return false
	}
	delete(e.copies, from)
	e.resumed++
	if owner != id {
		e.mixed++
		e.record.line("MIXED: %s goes on at %s from the memory of %s (Kv-From: %s)", id, e.id, owner, from)
		return true
	}
	e.record.line("%s goes on at %s from its own memory (Kv-From: %s)", id, e.id, from)
	return true
}

// stream runs a request.
func (e *engine) stream(c net.Conn, request *http.Request, id, echo string) {
	last := 0
	_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &last)
	e.mu.Lock()
	e.runs[id] = last
	mine := e.runs
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(mine, id)
		e.mu.Unlock()
	}()
	e.record.ran(run{id: id, replica: e.id, service: "jaywind-pool", tenant: request.Header.Get("X-Tenant"), target: request.URL.Path, at: time.Now()})
	time.Sleep(pieceGap)
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sX-Replica-Seal: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", echo, e.id); err != nil {
		return
	}
	backup := e.all[request.Header.Get("X-Kv-Backup")]
	for i := last + 1; i <= streamPieces; i++ {
		piece := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, id)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece); err != nil {
			return
		}
		e.mu.Lock()
		if mine[id] = i; !e.up {
			e.mu.Unlock()
			return
		}
		e.mu.Unlock()
		if backup != nil && i%5 == 1 {
			backup.hold(backup.address+"/"+id, id)
		}
		time.Sleep(pieceGap)
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
}

// isWhole reports whether a stream has each of its pieces once.
func isWhole(id, answer string) bool {
	want := strings.Builder{}
	for i := 1; i <= streamPieces; i++ {
		_, _ = fmt.Fprintf(&want, "id: %d\ndata: piece %d of %s\n\n", i, i, id)
	}
	return answer == want.String()
}
