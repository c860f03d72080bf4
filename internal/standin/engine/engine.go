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
	defaultTokenInterval = 5 * time.Millisecond
	defaultIdleTimeout   = 10 * time.Second
)

// Engine is one engine; set its fields before Handler is called.
type Engine struct {
	ID            jaywind.EndpointID
	Model         jaywind.Model
	Version       jaywind.Version
	TokenInterval time.Duration // between tokens; 5 ms when zero
	PrefillTime   time.Duration // per 1,000 tokens of prefix
	IdleTimeout   time.Duration // how long a run without a listener goes on, and is kept after it finished; 10 s when zero
	BatchSize     int           // runs at full speed; more runs share the speed of so many; no limit when zero
	Exit          func()        // ends the process for the fault Crash; if nil, only all work ends
	Salt          uint64        // makes this engine's tokens differ from those of its replicas

	mu                 sync.Mutex
	runs               map[jaywind.RequestID]*run
	faults             Faults
	streamsOpened      int // so far
	silencedUpTo       int // streams with numbers up to this one write nothing more
	halted             bool
	activeRuns         int // runs that compute tokens
	fence              jaywind.Fence
	orderFaults        OrderFaults
	loaded             map[jaywind.Version]bool
	tokensComputed     int // prefixes included
	completionRequests int // refused ones included
	group              conc.WaitGroup
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

// TokensComputed returns the number of tokens the engine has computed, prefixes included.
func (e *Engine) TokensComputed() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokensComputed
}

// CompletionRequests returns the number of completions requested, refused ones included.
func (e *Engine) CompletionRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.completionRequests
}

// Wait blocks until all work of the engine has ended.
func (e *Engine) Wait() { e.group.Wait() }

func (e *Engine) tokenInterval() time.Duration {
	if e.TokenInterval == 0 {
		return defaultTokenInterval
	}
	return e.TokenInterval
}

// batchedInterval returns the time between two tokens of one run at the current number of runs.
func (e *Engine) batchedInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	interval := e.tokenInterval() + e.faults.Slow
	if e.BatchSize == 0 || e.activeRuns <= e.BatchSize {
		return interval
	}
	return interval * time.Duration(e.activeRuns) / time.Duration(e.BatchSize)
}

func (e *Engine) addActive(by int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeRuns += by
}

func (e *Engine) idleTimeout() time.Duration {
	if e.IdleTimeout == 0 {
		return defaultIdleTimeout
	}
	return e.IdleTimeout
}
