package vms

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
)

const bodyLimit = 4 << 20 // bytes

// Machine is one row of the list.
type Machine struct {
	VM      string `json:"vm"`
	Domain  string `json:"domain,omitempty"`
	Fleet   string `json:"fleet,omitempty"`
	Entry   string `json:"entry,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Faults are the switches of the stand-in.
type Faults struct {
	Down bool `json:"down"` // every call fails
}

// List is the list of VMs; set Lag before Handler is called.
type List struct {
	Lag time.Duration // from a change to its appearance

	mu     sync.Mutex
	shown  []Machine
	next   []Machine
	due    time.Time
	faults Faults
	calls  int
}

// Set replaces the rows, which appear after Lag.
func (l *List) Set(rows []Machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
	l.next = rows
	l.due = time.Now().Add(l.Lag)
}

// SetFaults replaces the faults.
func (l *List) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Calls returns how often the list was asked for.
func (l *List) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// settle shows the rows that are due; the caller holds mu.
func (l *List) settle() {
	if !l.due.IsZero() && !time.Now().Before(l.due) {
		l.shown = l.next
	}
}

// Handler returns the HTTP interface, with POST /faults for the switches.
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
	l.settle()
	rows := l.shown
	if rows == nil {
		rows = []Machine{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(rows)
}

func (l *List) put(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var rows []Machine
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
	err := json.NewDecoder(io.LimitReader(r.Body, bodyLimit)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}
