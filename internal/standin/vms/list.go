package vms

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
)

const maxBodyBytes = 4 << 20

// ListedVM is one row of the list.
type ListedVM struct {
	VM      string `json:"vm"`
	Domain  string `json:"domain,omitempty"`
	Fleet   string `json:"fleet,omitempty"`
	Entry   string `json:"entry,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Faults are the faults to inject.
type Faults struct {
	Down bool `json:"down"` // GET /vms fails with status 503
}

// List is the list of VMs; set Delay before Handler is called.
type List struct {
	Delay time.Duration // from a change until it is visible

	mu        sync.Mutex
	visible   []ListedVM
	pending   []ListedVM
	pendingAt time.Time
	faults    Faults
	calls     int
}

// Set replaces the rows; they are visible after Delay.
func (l *List) Set(rows []ListedVM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyPending()
	l.pending = rows
	l.pendingAt = time.Now().Add(l.Delay)
}

// SetFaults replaces the faults.
func (l *List) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Calls returns the number of GET /vms requests.
func (l *List) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// applyPending makes the pending rows visible once they are due; the caller holds mu.
func (l *List) applyPending() {
	if !l.pendingAt.IsZero() && !time.Now().Before(l.pendingAt) {
		l.visible = l.pending
	}
}

// Handler returns the HTTP interface, with POST /faults to replace the faults.
func (l *List) Handler() http.Handler {
	m := httprouter.New()
	m.GET("/vms", l.get)
	m.PUT("/vms", l.put)
	m.POST("/faults", l.setFaults)
	return m
}

func (l *List) get(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.faults.Down {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	l.applyPending()
	rows := l.visible
	if rows == nil {
		rows = []ListedVM{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(rows)
}

func (l *List) put(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var rows []ListedVM
	if decode(w, r, &rows) {
		l.Set(rows)
	}
}

func (l *List) setFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Faults
	if decode(w, r, &f) {
		l.SetFaults(f)
	}
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}
