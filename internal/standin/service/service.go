package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
)

const maxBodyBytes = 4 << 20

// Faults are the faults to inject.
type Faults struct {
	Cut         bool          `json:"cut"`    // the connection is cut after the call was run
	Delay       time.Duration `json:"slow"`   // added to the time of each call, in nanoseconds
	DelayBefore bool          `json:"before"` // Delay passes before the call is run, not after
	Fail        bool          `json:"fail"`   // every call is run and answered by status 500
}

// Service is a plain service in memory; its zero value works.
type Service struct {
	Name string // sent in each reply

	mu     sync.Mutex
	faults Faults
	runs   map[string]int
	total  int
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the number of runs with an Idempotency-Key.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// Total returns the number of runs of all calls.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Handler returns the HTTP interface of the service, with POST /faults to replace the faults.
func (s *Service) Handler() http.Handler {
	m := httprouter.New()
	m.GET("/runs/:key", s.serveRuns)
	m.POST("/faults", s.serveFaults)
	m.NotFound = http.HandlerFunc(s.serve)
	m.HandleMethodNotAllowed = false
	m.RedirectTrailingSlash = false
	m.RedirectFixedPath = false
	return m
}

type reply struct {
	Name     string `json:"by"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Body     string `json:"body"`
	RunCount int    `json:"run"` // total number of runs, this one included
}

// serve runs a call to any other path.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	f := s.currentFaults()
	if f.DelayBefore && !wait(r, f.Delay) {
		return
	}
	n := s.recordRun(r.Header.Get("Idempotency-Key"))
	if !f.DelayBefore && !wait(r, f.Delay) {
		return
	}
	if f.Cut {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if f.Fail {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_ = json.NewEncoder(w).Encode(reply{Name: s.Name, Method: r.Method, Path: r.URL.Path, Body: string(body), RunCount: n})
}

func (s *Service) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Service) recordRun(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = map[string]int{}
	}
	s.total++
	if key != "" {
		s.runs[key]++
	}
	return s.total
}

// wait sleeps for d and reports whether the caller is still connected.
func wait(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	_, _ = fmt.Fprintln(w, s.Runs(p.ByName("key")))
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}
