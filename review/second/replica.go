package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at a replica.
type run struct {
	id      string // X-Attempt-Id
	replica *replica
	began   time.Time
	ended   time.Time
	header  http.Header
	last    string // Last-Event-Id
}

// replica is one replica of a service, registered in the store.
type replica struct {
	id, service, zone, version string
	engine                     bool
	slots                      int
	prefill, gap               time.Duration
	address                    string
	born                       int64

	// fails decides at the start of a run whether it ends with status 500 after failTime; running is the number of other runs.
	fails    func(running int) bool
	failTime time.Duration
	lose     func() bool // decides whether the answer of a plain run is lost
	onRun    func(*run)
	onFailed func(r *run)

	store  *store
	server *http.Server

	mu       sync.Mutex
	running  int
	waiting  int
	draining bool
	parts    map[string]int
	gone     chan struct{}
}

func (r *replica) start(s *store) {
	l, err := net.Listen("tcp", freePort())
	check(err)
	r.store, r.address, r.born = s, l.Addr().String(), time.Now().UnixMilli()
	r.parts, r.gone = map[string]int{}, make(chan struct{})
	r.server = &http.Server{Handler: r, IdleTimeout: 30 * time.Second}
	background.Go(func() { _ = r.server.Serve(l) })
	r.register("ready")
}

func (r *replica) register(state string) {
	entry := map[string]any{"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots,
		"state": state, "coldLeftMs": 0, "sequence": 1, "born": r.born}
	if r.engine {
		entry["stage"], entry["models"] = "combined", []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	}
	r.store.put("servers/"+r.id, entry)
}

// crash ends the replica without notice. It starts again under the same id and address, and knows nothing of before.
func (r *replica) crash(down time.Duration) {
	_ = r.server.Close()
	time.AfterFunc(down, func() {
		l, err := net.Listen("tcp", r.address)
		check(err)
		r.mu.Lock()
		r.parts, r.born = map[string]int{}, time.Now().UnixMilli()
		r.mu.Unlock()
		r.server = &http.Server{Handler: r, IdleTimeout: 30 * time.Second}
		background.Go(func() { _ = r.server.Serve(l) })
		r.register("ready")
	})
}

// drain reports draining; the replica goes on serving, and leaves after its runs.
func (r *replica) drain(stay time.Duration) {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.register("draining")
	time.AfterFunc(stay, func() {
		r.store.delete("servers/" + r.id)
		_ = r.server.Close()
	})
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.mu.Lock()
	running, waiting, draining := r.running, r.waiting, r.draining
	r.mu.Unlock()
	if draining {
		w.Header().Set("Server-Leaving", "1")
	}
	switch q.URL.Path {
	case "/api/report":
		reply(w, map[string]any{"born": r.born, "stage": "combined", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
			"busy": false, "sequence": 1, "waiting": waiting, "running": running, "kvUsed": 1000 * running, "kvTotal": 55000, "handles": 0})
		return
	case "/api/kv-list":
		r.mu.Lock()
		held := [][]any{}
		for id, n := range r.parts {
			held = append(held, []any{"", id, n, "m"})
		}
		r.mu.Unlock()
		reply(w, map[string]any{"epoch": 1, "next": 1, "held": held})
		return
	case "/healthz":
		w.Header().Set("X-Replica-Id", r.id)
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if strings.HasPrefix(q.URL.Path, "/api/") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if want := q.Header.Get("X-Expect-Replica"); want != "" && want != r.id {
		w.Header().Set("X-Replica-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := q.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if !r.takeSlot(q) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	n := &run{id: id, replica: r, began: time.Now(), header: q.Header, last: q.Header.Get("Last-Event-Id")}
	defer func() {
		r.mu.Lock()
		r.running--
		n.ended = time.Now()
		r.mu.Unlock()
	}()
	if r.onRun != nil {
		r.onRun(n)
	}
	if r.fails != nil && r.fails(running) {
		if !sleep(q, r.failTime) {
			return
		}
		w.WriteHeader(http.StatusInternalServerError)
		if r.onFailed != nil {
			r.onFailed(n)
		}
		return
	}
	if !r.engine {
		if !sleep(q, r.prefill) {
			return
		}
		if r.lose != nil && r.lose() {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("X-Replica-Seal", "seal-"+id)
		_, _ = fmt.Fprintf(w, "%s %s %s", q.Method, q.RequestURI, body)
		return
	}
	r.stream(w, q, n)
}

// takeSlot waits for a slot; the queue holds two requests a slot.
func (r *replica) takeSlot(q *http.Request) bool {
	r.mu.Lock()
	if r.waiting >= 2*r.slots {
		r.mu.Unlock()
		return false
	}
	r.waiting++
	r.mu.Unlock()
	for {
		r.mu.Lock()
		if r.running < r.slots {
			r.waiting--
			r.running++
			r.mu.Unlock()
			return true
		}
		r.mu.Unlock()
		if !sleep(q, 2*time.Millisecond) {
			r.mu.Lock()
			r.waiting--
			r.mu.Unlock()
			return false
		}
	}
}

// stream produces the events of a run. X-Token-Usage holds the number of tokens, of which each event has six.
func (r *replica) stream(w http.ResponseWriter, q *http.Request, n *run) {
	if !sleep(q, r.prefill) {
		return
	}
	prompt := q.Header.Get("X-Prompt-Prefix")
	r.mu.Lock()
	for part := range strings.SplitSeq(prompt, ",") {
		name, tokens, _ := strings.Cut(part, ":")
		r.parts[name], _ = strconv.Atoi(tokens)
	}
	r.mu.Unlock()
	_, tokens, _ := strings.Cut(q.Header.Get("X-Token-Usage"), ",")
	count, _ := strconv.Atoi(tokens)
	count /= 6
	first, _ := strconv.Atoi(n.last)
	w.Header().Set("X-Replica-Seal", "seal-"+n.id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for id := first + 1; id <= count; id++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", id, id, prompt)
		if control.Flush() != nil || !sleep(q, r.gap) {
			return
		}
	}
}

func sleep(q *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-q.Context().Done():
		return false
	}
}
