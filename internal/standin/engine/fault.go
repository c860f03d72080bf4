package engine

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
)

const pollInterval = 5 * time.Millisecond

// Faults are the faults to inject, by SetFaults or POST /faults. A zero position means no fault.
type Faults struct {
	Refuse       bool `json:"refuse"` // answer new work with 503
	Pause        bool `json:"pause"`  // accept connections but send nothing and compute nothing
	Silent       bool `json:"silent"` // write nothing more on the streams that are open when the fault is set
	Cut          int  `json:"cut"`    // end a stream before this position, once
	ForeignFrame int  `json:"cross"`  // at this position send a frame of another request, once
	Repeat       int  `json:"repeat"` // send this position twice
	Skip         int  `json:"skip"`   // omit this position, once
	StaleFrame   int  `json:"late"`   // at this position send a frame of an earlier attempt, once
	Stall        int  `json:"stick"`  // stall one run at this position while others go on, once
	Crash        int  `json:"die"`    // end the process, or only all work if Exit is nil, before this position

	Slow  time.Duration `json:"slow"`  // added to the time per token, in nanoseconds
	Error float64       `json:"error"` // fraction of new work that is answered by status 500
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	if f.Silent {
		e.silencedUpTo = e.streamsOpened
	}
}

func (e *Engine) nextStreamNumber() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streamsOpened++
	return e.streamsOpened
}

// isSilenced reports whether a stream was open when the fault Silent was last set.
func (e *Engine) isSilenced(number int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return number <= e.silencedUpTo
}

// Faults returns the current faults.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
}

func (e *Engine) refuses() bool { return e.Faults().Refuse }

func (e *Engine) failsRandomly() bool { return rand.Float64() < e.Faults().Error }

// crash ends the process, or only all work if Exit is nil.
func (e *Engine) crash() {
	if e.Exit != nil {
		e.Exit()
	}
	e.Halt()
}

func (e *Engine) waitWhilePaused() {
	for e.Faults().Pause {
		time.Sleep(pollInterval)
	}
}

// stall blocks a run that has reached the position of the fault Stall, until the run is cancelled or idle.
func (e *Engine) stall(r *run) {
	if !e.takeFault(&e.faults.Stall, r.position()) {
		return
	}
	for !e.isHalted() && !r.shouldStop(e.idleTimeout()) {
		time.Sleep(pollInterval)
	}
}

// takeFault clears a one-time fault and returns true if it is set for this position.
func (e *Engine) takeFault(at *int, position int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if *at == 0 || *at != position {
		return false
	}
	*at = 0
	return true
}
