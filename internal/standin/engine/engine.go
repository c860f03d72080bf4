package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"jaywind"
)

const (
	defaultGap  = 5 * time.Millisecond
	defaultKeep = 10 * time.Second
)

// Engine is one stand-in engine; set its fields before Handler is called.
type Engine struct {
	ID      jaywind.EndpointID
	Model   jaywind.Model
	Version jaywind.Version
	Gap     time.Duration // between tokens; 5 ms when zero
	Prefill time.Duration // for 1,000 tokens of prefix
	Keep    time.Duration // how long a stream without a listener goes on; 10 s when zero
	Batch   int           // runs at full speed; more share the speed of these; no limit when zero
	Exit    func()        // ends the process for the fault Die; only the work ends when nil
	Salt    uint64        // makes this engine's tokens differ from those of its replicas

	mu     sync.Mutex
	runs   map[jaywind.RequestID]*run
	faults Faults
	opened int // streams opened so far
	silent int // streams up to this number write nothing more
	halted bool
	active int // runs that make tokens
	fence  jaywind.Fence
	orders Orders
	loaded map[jaywind.Version]bool
	made   int // tokens computed in all
	asked  int // completions asked for, refused ones included
	group  conc.WaitGroup
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = map[jaywind.RequestID]*run{}
	e.loaded = map[jaywind.Version]bool{e.Version: true}
	m := httprouter.New()
	m.POST("/v1/completions", e.complete)
	m.GET("/v1/streams/:request", e.resume)
	m.GET("/v1/streams/:request/progress", e.progress)
	m.DELETE("/v1/streams/:request", e.cancel)
	m.GET("/v1/load", e.load)
	m.POST("/v1/orders", e.order)
	m.POST("/faults", e.setFaults)
	m.GET("/counts", e.counts)
	return m
}

// Made returns how many tokens the engine has computed, prefixes included.
func (e *Engine) Made() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.made
}

// Asked returns how many completions the engine was asked for, refused ones included.
func (e *Engine) Asked() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.asked
}

// Wait returns when all work of the engine has ended.
func (e *Engine) Wait() { e.group.Wait() }

func (e *Engine) gap() time.Duration {
	if e.Gap == 0 {
		return defaultGap
	}
	return e.Gap
}

// pace returns the time between two tokens of one run with the batch as full as it is now.
func (e *Engine) pace() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	pace := e.gap() + e.faults.Slow
	if e.Batch == 0 || e.active <= e.Batch {
		return pace
	}
	return pace * time.Duration(e.active) / time.Duration(e.Batch)
}

func (e *Engine) join(by int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active += by
}

func (e *Engine) keep() time.Duration {
	if e.Keep == 0 {
		return defaultKeep
	}
	return e.Keep
}
