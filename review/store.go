package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
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
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's metadata store.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	changed  chan struct{}
}

func newStore(group *sync.WaitGroup) (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	m := http.NewServeMux()
	m.HandleFunc("GET /api/kv-key", s.get)
	m.HandleFunc("GET /api/kv-range", s.list)
	m.HandleFunc("GET /api/kv-watch", s.watch)
	m.HandleFunc("POST /api/kv-txn", s.commit)
	m.HandleFunc("POST /api/kv-lease", s.grant)
	m.HandleFunc("POST /api/kv-keep/{id}", s.renew)
	m.HandleFunc("DELETE /api/kv-lease-end/{id}", s.end)
	server := &http.Server{Handler: m}
	group.Go(func() { _ = server.Serve(listener) })
	group.Go(func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	})
	return s, nil
}

// put writes a key as the operator and the replicas do, and returns the revision.
func (s *store) put(key string, value any, ttl time.Duration) int64 {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := int64(0)
	if ttl > 0 {
		s.revision++
		id = s.revision
		s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	}
	s.write(key, b, id)
	return s.revision
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(key)
}

func (s *store) write(key string, value []byte, id int64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: id}
	if old, found := s.items[key]; found {
		i.Created = old.Created
	}
	s.items[key] = i
	s.log(i)
}

func (s *store) delete(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	s.revision++
	delete(s.items, key)
	s.log(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) log(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		for key, i := range s.items {
			if i.Lease == id {
				s.delete(key)
			}
		}
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, found := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "storeRevision": revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	items := []item{}
	for _, i := range s.items {
		if strings.HasPrefix(i.Key, r.URL.Query().Get("prefix")) && i.Key > r.URL.Query().Get("after") {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	reply(w, map[string]any{"items": items, "hasMore": more, "storeRevision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		changed, revision, events := s.changed, s.revision, []item{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, i := range s.history[first:] {
			if strings.HasPrefix(i.Key, r.URL.Query().Get("prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if after > revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			reply(w, map[string]any{"events": events, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected, SetKeys []item
		Remove            []string
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range body.SetKeys {
		if strings.HasPrefix(k.Key, "op/") || strings.HasPrefix(k.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if k.Lease != 0 && s.leases[k.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, e := range body.Expected {
		if s.items[e.Key].Revision != e.Revision {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusPreconditionFailed)
			_ = json.NewEncoder(w).Encode(map[string]any{"items": []item{s.items[e.Key]}})
			return
		}
	}
	for _, k := range body.SetKeys {
		s.write(k.Key, k.Value, k.Lease)
	}
	for _, k := range body.Remove {
		s.delete(k)
	}
	reply(w, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.revision] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, map[string]any{"lease": s.revision, "ttlMs": body.TTL})
}

func (s *store) renew(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	if l := s.leases[id]; l != nil {
		l.expires = time.Time{}
	}
	s.mu.Unlock()
	s.expire()
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
