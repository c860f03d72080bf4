package engine

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
)

const pausePoll = 5 * time.Millisecond

// Faults are the switches that tests and operators set, by Set or POST /faults.
type Faults struct {
	Refuse bool `json:"refuse"` // answer new work with 503
	Pause  bool `json:"pause"`  // take connections but answer and make nothing
	Silent bool `json:"silent"` // write nothing more on the streams that are open when it is set
	Cut    int  `json:"cut"`    // end a stream before this position, once
	Cross  int  `json:"cross"`  // at this position send a frame of another request, once
	Repeat int  `json:"repeat"` // send this position twice
	Skip   int  `json:"skip"`   // leave this position out, once
	Late   int  `json:"late"`   // at this position send a frame of an earlier attempt, once
	Stick  int  `json:"stick"`  // make nothing more of a run from this position on, while others go on, once
	Die    int  `json:"die"`    // end the process, or all work in a test, before this position

	Slow  time.Duration `json:"slow"`  // added to the time of each token, in nanoseconds
	Error float64       `json:"error"` // share of new work that is answered by status 500
}

// Set replaces the faults.
func (e *Engine) Set(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	if f.Silent {
		e.silent = e.opened
	}
}

func (e *Engine) nextStream() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.opened++
	return e.opened
}

// silences tells whether a stream had been opened when Silent was last set.
func (e *Engine) silences(number int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return number <= e.silent
}

// Faults returns the faults in force.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.Set(f)
}

func (e *Engine) refuses() bool { return e.Faults().Refuse }

func (e *Engine) errs() bool { return rand.Float64() < e.Faults().Error }

// die ends the process, or only all work where Exit is not set.
func (e *Engine) die() {
	if e.Exit != nil {
		e.Exit()
	}
	e.Halt()
}

func (e *Engine) waitWhilePaused() {
	for e.Faults().Pause {
		time.Sleep(pausePoll)
	}
}

// stick holds a run for as long as somebody listens, if the fault strikes it now.
func (e *Engine) stick(r *run) {
	if !e.once(&e.faults.Stick, r.position()) {
		return
	}
	for !e.isHalted() && !r.over(e.keep()) {
		time.Sleep(pausePoll)
	}
}

// once takes a one-time fault at a position.
func (e *Engine) once(at *int, position int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if *at == 0 || *at != position {
		return false
	}
	*at = 0
	return true
}
