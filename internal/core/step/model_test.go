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
	slots       = 32 // streams that an engine decodes at once
	gapBase     = 10 * time.Millisecond
	gapSlot     = 500 * time.Microsecond // added to the gap by each stream
	prefillRate = 8000                   // tokens a second, at half of the engine's time
	modelStep   = 5 * time.Millisecond
)

var errSilent = errors.New("no answer")

// engine is a queueing model of an engine that batches continuously.
type engine struct {
	id      jaywind.EndpointID
	slow    float64 // factor on all its times; 1 when 0
	refuse  bool
	dead    bool
	running []*stream
	waiting []*stream
}

// stream is the work on one attempt.
type stream struct {
	call    jaywind.Call
	at      jaywind.Position
	digest  jaywind.Digest
	prefill float64 // tokens
	credit  float64 // of the next token
}

func (e *engine) open(c jaywind.Call) error {
	switch {
	case e.dead:
		return nil
	case e.refuse:
		return jaywind.ErrBusy
	case c.Resume:
		return e.resume(c)
	}
	u := &stream{call: c, at: c.From, digest: jaywind.DigestOf(c.Prefix), prefill: float64(len(c.Prompt)/4 + len(c.Prefix))}
	e.waiting = append(e.waiting, u)
	slices.SortStableFunc(e.waiting, func(a, b *stream) int { return cmp.Compare(b.call.Priority, a.call.Priority) })
	return nil
}

// resume goes on with a stream from a position, on a new connection.
func (e *engine) resume(c jaywind.Call) error {
	u := e.find(c.Request)
	if u == nil {
		return jaywind.ErrNoStream
	}
	u.call.Attempt = c.Attempt
	u.at = c.From
	u.digest = jaywind.DigestOf(slices.Repeat([]jaywind.Token{{Text: "x"}}, int(c.From)))
	return nil
}

func (e *engine) find(id jaywind.RequestID) *stream {
	for _, u := range slices.Concat(e.running, e.waiting) {
		if u.call.Request == id {
			return u
		}
	}
	return nil
}

func (e *engine) cancel(id jaywind.RequestID, a jaywind.Attempt) {
	old := func(u *stream) bool { return u.call.Request == id && u.call.Attempt <= a }
	e.running = slices.DeleteFunc(e.running, old)
	e.waiting = slices.DeleteFunc(e.waiting, old)
}

func (e *engine) progress(id jaywind.RequestID) (jaywind.Progress, error) {
	if e.dead {
		return jaywind.Progress{}, errSilent
	}
	if u := e.find(id); u != nil {
		return jaywind.Progress{Position: u.at}, nil
	}
	return jaywind.Progress{}, jaywind.ErrNoStream
}

// step advances the engine and returns the frames that it sends.
func (e *engine) step() []table.Event {
	if e.dead {
		return nil
	}
	for len(e.running) < slots && len(e.waiting) > 0 {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	share := modelStep.Seconds() / max(1, e.slow)
	if e.compute(share / 2 * prefillRate * 2) {
		share /= 2
	}
	gap := (gapBase + time.Duration(len(e.running))*gapSlot).Seconds()
	var out []table.Event
	for _, u := range e.running {
		if u.prefill > 0 {
			continue
		}
		for u.credit += share / gap; u.credit >= 1; u.credit-- {
			out = append(out, u.frame())
		}
	}
	e.running = slices.DeleteFunc(e.running, func(u *stream) bool { return int(u.at) > u.call.Limit })
	return out
}

// compute spends tokens on the first prefill there is and tells whether there was one.
func (e *engine) compute(tokens float64) bool {
	for _, u := range e.running {
		if u.prefill > 0 {
			u.prefill -= tokens
			return true
		}
	}
	return false
}

func (u *stream) frame() table.Event {
	f := jaywind.Frame{Request: u.call.Request, Attempt: u.call.Attempt, Position: u.at}
	if int(u.at) >= u.call.Limit {
		f.End = true
		f.Digest = u.digest
	} else {
		f.Token = jaywind.Token{Text: "x"}
		u.digest = u.digest.Add(f.Token)
	}
	u.at++
	return table.Framed{Request: f.Request, Attempt: f.Attempt, Frame: f}
}

func (e *engine) report(now time.Time) table.Event {
	l := jaywind.Load{Running: len(e.running), Queued: len(e.waiting), At: now}
	if e.dead {
		return table.Loaded{Endpoint: e.id, Err: errSilent}
	}
	return table.Loaded{Endpoint: e.id, Load: l}
}
