package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// storeState is what a restore of the store brings back.
type storeState struct {
	items    map[string]item
	history  []item
	revision int64
	leases   map[int64]lease
}

func (s *storeState) clone() storeState {
	c := storeState{items: map[string]item{}, history: slices.Clone(s.history), revision: s.revision, leases: map[int64]lease{}}
	for k, v := range s.items {
		c.items[k] = v
	}
	for k, v := range s.leases {
		c.leases[k] = v
	}
	return c
}

// store is the platform's metadata store, in memory.
type store struct {
	address string

	mu      sync.Mutex
	state   storeState
	era     int64
	changed chan struct{}
	onWrite func(key string, value []byte, at time.Time) // writes by the system
	away    bool
	copies  []storeCopy // taken twice a second
}

// storeCopy is the state of the store at a time.
type storeCopy struct {
	at    time.Time
	state storeState
}

// keepCopies begins to take copies.
func (s *store) keepCopies() {
	background.Go(func() {
		for range time.Tick(500 * time.Millisecond) {
			s.mu.Lock()
			if !s.away {
				s.copies = append(s.copies, storeCopy{time.Now(), s.state.clone()})
			}
			s.mu.Unlock()
		}
	})
}

// leave makes the store unreachable.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// restore brings the store back from the newest copy that is at least so old, and begins a new era. Before it answers, change
// writes again what the operator and the replicas have written since.
func (s *store) restore(age time.Duration, change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.copies {
		if time.Since(c.at) >= age {
			s.state = c.state.clone()
		}
	}
	s.era++
	change()
	s.away = false
	s.wake()
}

func newStore() *store {
	s := &store{changed: make(chan struct{})}
	s.state = storeState{items: map[string]item{}, revision: 100, leases: map[int64]lease{}}
	l, err := net.Listen("tcp", freePort())
	check(err)
	s.address = l.Addr().String()
	background.Go(func() { _ = (&http.Server{Handler: s}).Serve(l) })
	background.Go(func() {
		for range time.Tick(50 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	})
	return s
}

// put writes a key as the operator or a replica does.
func (s *store) put(key string, value any) {
	b, err := json.Marshal(value)
	check(err)
	s.putRaw(key, b)
}

func (s *store) putRaw(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, value, 0)
}

func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.items[key].Value
}

// set, remove, wake and expire are called with mu held.
func (s *store) set(key string, value []byte, leaseID int64) {
	s.state.revision++
	i := item{Key: key, Value: value, Revision: s.state.revision, Created: s.state.revision, Lease: leaseID}
	if old, found := s.state.items[key]; found {
		i.Created = old.Created
	}
	s.state.items[key] = i
	s.state.history = append(s.state.history, i)
	s.wake()
}

func (s *store) remove(key string) {
	if _, found := s.state.items[key]; !found {
		return
	}
	s.state.revision++
	delete(s.state.items, key)
	s.state.history = append(s.state.history, item{Key: key, Revision: s.state.revision, Deleted: true})
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	now := time.Now()
	for id, l := range s.state.leases {
		if now.Before(l.end) {
			continue
		}
		delete(s.state.leases, id)
		for key, i := range s.state.items {
			if i.Lease == id {
				s.remove(key)
			}
		}
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	away := s.away
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	q := r.URL.Query()
	id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
	switch path := r.URL.Path; {
	case path == "/api/kv-key":
		s.mu.Lock()
		i, found := s.state.items[q.Get("key")]
		revision := s.state.revision
		s.mu.Unlock()
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "storeRevision": revision})
	case path == "/api/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case path == "/api/kv-watch":
		s.serveWatch(w, r)
	case path == "/api/kv-txn":
		s.serveTxn(w, r)
	case path == "/api/kv-lease":
		var body struct {
			TTL int64 `json:"ttlMs"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL < 1000 || body.TTL > 600000 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		s.state.revision++
		n := s.state.revision
		ttl := time.Duration(body.TTL) * time.Millisecond
		s.state.leases[n] = lease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, map[string]any{"lease": n, "ttlMs": body.TTL})
	case strings.HasPrefix(path, "/api/kv-keep/"):
		s.mu.Lock()
		l, found := s.state.leases[id]
		if found {
			l.end = time.Now().Add(l.ttl)
			s.state.leases[id] = l
		}
		s.mu.Unlock()
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, map[string]any{"ttlMs": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		s.mu.Lock()
		if l, found := s.state.leases[id]; found {
			l.end = time.Time{}
			s.state.leases[id] = l
			s.expire()
		}
		s.mu.Unlock()
		reply(w, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items := []item{}
	for _, i := range s.state.items {
		if strings.HasPrefix(i.Key, prefix) && i.Key > after {
			items = append(items, i)
		}
	}
	revision := s.state.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	reply(w, map[string]any{"items": items, "hasMore": more, "storeRevision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed, revision, away := s.changed, s.state.revision, s.away
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		events := []item{}
		for _, i := range s.state.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		switch {
		case away:
			panic(http.ErrAbortHandler)
		case after > revision:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			reply(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, map[string]any{"events": []item{}, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []item   `json:"expected"`
		SetKeys  []item   `json:"setKeys"`
		Remove   []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Expected)+len(body.SetKeys)+len(body.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, k := range body.SetKeys {
		if strings.HasPrefix(k.Key, "op/") || strings.HasPrefix(k.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, e := range body.Expected {
		if s.state.items[e.Key].Revision != e.Revision {
			now := []item{}
			for _, e := range body.Expected {
				if i, found := s.state.items[e.Key]; found {
					now = append(now, i)
				}
			}
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusPreconditionFailed)
			_ = json.NewEncoder(w).Encode(map[string]any{"items": now})
			return
		}
	}
	for _, k := range body.SetKeys {
		if _, found := s.state.leases[k.Lease]; k.Lease != 0 && !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, k := range body.SetKeys {
		s.set(k.Key, k.Value, k.Lease)
		if s.onWrite != nil {
			s.onWrite(k.Key, k.Value, time.Now())
		}
	}
	for _, k := range body.Remove {
		s.remove(k)
	}
	reply(w, map[string]any{"revision": s.state.revision})
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func check(err error) {
	if err != nil {
		panic(fmt.Sprint("the case can't run: ", err))
	}
}
