package step

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

const (
	engineSlots    = 32 // streams that an engine decodes concurrently
	gapBase        = 10 * time.Millisecond
	gapPerStream   = 500 * time.Microsecond // added to the gap by each running stream
	prefillRate    = 8000                   // tokens per second while prefill takes half of the engine's time
	simulationStep = 5 * time.Millisecond
)

var errSilent = errors.New("engine does not answer")

// engine is a queueing model of an engine with continuous batching.
type engine struct {
	id       jaywind.EndpointID
	slowdown float64 // factor by which the engine is slower; 0 means 1
	refuses  bool    // refuses all calls
	dead     bool    // accepts work and never answers
	running  []*stream
	waiting  []*stream
}

// stream is the engine's work on one attempt.
type stream struct {
	call     jaywind.Call
	position jaywind.Position
	digest   jaywind.Digest
	prefill  float64 // tokens still to be prefilled
	credit   float64 // fraction of the next token that is already decoded
}

func (e *engine) open(c jaywind.Call) error {
	switch {
	case e.dead:
		return nil
	case e.refuses:
		return jaywind.ErrBusy
	case c.Resume:
		return e.resume(c)
	}
	st := &stream{call: c, position: c.Position, digest: jaywind.DigestOf(c.Prefix), prefill: float64(len(c.Prompt)/4 + len(c.Prefix))}
	e.waiting = append(e.waiting, st)
	slices.SortStableFunc(e.waiting, func(a, b *stream) int { return cmp.Compare(b.call.Priority, a.call.Priority) })
	return nil
}

// resume continues a stream from a position on a new connection.
func (e *engine) resume(c jaywind.Call) error {
	st := e.find(c.Request)
	if st == nil {
		return jaywind.ErrNoStream
	}
	st.call.Attempt = c.Attempt
	st.position = c.Position
	st.digest = jaywind.DigestOf(slices.Repeat([]jaywind.Token{{Text: "x"}}, int(c.Position)))
	return nil
}

func (e *engine) find(id jaywind.RequestID) *stream {
	for _, st := range slices.Concat(e.running, e.waiting) {
		if st.call.Request == id {
			return st
		}
	}
	return nil
}

func (e *engine) cancel(id jaywind.RequestID, a jaywind.Attempt) {
	superseded := func(st *stream) bool { return st.call.Request == id && st.call.Attempt <= a }
	e.running = slices.DeleteFunc(e.running, superseded)
	e.waiting = slices.DeleteFunc(e.waiting, superseded)
}

func (e *engine) progress(id jaywind.RequestID) (jaywind.Progress, error) {
	if e.dead {
		return jaywind.Progress{}, errSilent
	}
	if st := e.find(id); st != nil {
		return jaywind.Progress{Position: st.position}, nil
	}
	return jaywind.Progress{}, jaywind.ErrNoStream
}

// step advances the engine by one simulation step and returns the frames that it sends.
func (e *engine) step() []table.Event {
	if e.dead {
		return nil
	}
	for len(e.running) < engineSlots && len(e.waiting) > 0 {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	share := simulationStep.Seconds() / max(1, e.slowdown)
	if e.compute(share / 2 * prefillRate * 2) {
		share /= 2
	}
	gap := (gapBase + time.Duration(len(e.running))*gapPerStream).Seconds()
	var out []table.Event
	for _, st := range e.running {
		if st.prefill > 0 {
			continue
		}
		for st.credit += share / gap; st.credit >= 1; st.credit-- {
			out = append(out, st.frame())
		}
	}
	e.running = slices.DeleteFunc(e.running, func(st *stream) bool { return int(st.position) > st.call.MaxTokens })
	return out
}

// compute spends tokens on the first unfinished prefill and tells whether there was one.
func (e *engine) compute(tokens float64) bool {
	for _, st := range e.running {
		if st.prefill > 0 {
			st.prefill -= tokens
			return true
		}
	}
	return false
}

func (st *stream) frame() table.Event {
	f := jaywind.Frame{Request: st.call.Request, Attempt: st.call.Attempt, Position: st.position}
	if int(st.position) >= st.call.MaxTokens {
		f.End = true
		f.Digest = st.digest
	} else {
		f.Token = jaywind.Token{Text: "x"}
		st.digest = st.digest.Add(f.Token)
	}
	st.position++
	return table.FrameReceived{Request: f.Request, Attempt: f.Attempt, Frame: f}
}

func (e *engine) report(now time.Time) table.Event {
	l := jaywind.Load{Running: len(e.running), Queued: len(e.waiting), MeasuredAt: now}
	if e.dead {
		return table.LoadReported{Endpoint: e.id, Err: errSilent}
	}
	return table.LoadReported{Endpoint: e.id, Load: l}
}
