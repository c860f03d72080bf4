package silence

import (
	"time"

	"jaywind"
)

const (
	retention      = 5 * time.Second        // for which an engine without a run counts; a registry drops engines that have ended sooner
	assumedSilence = 500 * time.Millisecond // of an engine that has not answered a question

	minCommon  = 2       // engines that are silent together
	commonPart = 1.0 / 3 // of the engines that should speak; single losses take fewer
)

// engine is what a Tracker knows of one engine.
type engine struct {
	domain  jaywind.Domain
	runs    int       // that should produce events
	silent  bool      // its last run has ended in silence, or it has not answered a question
	heardAt time.Time // of the last event or other answer
	endedAt time.Time // of the last run; valid if there is none
}

// Tracker records when the engines of a service were last heard of. The zero value knows of none.
type Tracker struct {
	engines map[jaywind.EndpointID]*engine
}

// Begin records that a run at an engine should produce events from a time on, which may lie in the past.
func (t *Tracker) Begin(id jaywind.EndpointID, d jaywind.Domain, from time.Time) {
	if t.engines == nil {
		t.engines = map[jaywind.EndpointID]*engine{}
	}
	e := t.engines[id]
	if e == nil {
		t.expire(from)
		e = &engine{domain: d}
		t.engines[id] = e
	}
	e.runs++
	if from.After(e.heardAt) {
		e.heardAt = from
	}
}

// End records the end of a run that has begun. With silent, the run was left because its engine was silent.
func (t *Tracker) End(id jaywind.EndpointID, silent bool, now time.Time) {
	e := t.engines[id]
	if e == nil {
		return
	}
	e.runs--
	if e.silent = e.silent || silent; e.runs == 0 {
		e.endedAt = now
	}
}

// RecordAnswer records whether an engine without a run that should produce events has answered a question. One that has not counts as
// silent since the last half second.
func (t *Tracker) RecordAnswer(id jaywind.EndpointID, d jaywind.Domain, answered bool, now time.Time) {
	if t.IsExpected(id) {
		return
	}
	t.Begin(id, d, now)
	e := t.engines[id]
	if e.silent = !answered; !answered {
		e.heardAt = now.Add(-assumedSilence)
	}
	t.End(id, !answered, now)
}

// IsExpected reports whether an engine has a run that should produce events.
func (t *Tracker) IsExpected(id jaywind.EndpointID) bool {
	e := t.engines[id]
	return e != nil && e.runs > 0
}

// Hear records an event or another answer of an engine.
func (t *Tracker) Hear(id jaywind.EndpointID, now time.Time) {
	if e := t.engines[id]; e != nil {
		e.heardAt, e.silent = now, false
	}
}

// Survey is how many engines are silent beside one that is.
type Survey struct {
	Silence time.Duration // of the engine itself
	Silent  int           // engines that are silent, with the engine itself
	Heard   int           // engines that have been heard of meanwhile
	Domains int           // failure domains of the silent ones
	All     int           // failure domains of all that are known
}

// IsCommon reports whether so many engines are silent together, in several failure domains, that their loss is unlikely.
func (s Survey) IsCommon() bool {
	return s.Silent >= minCommon && s.Domains >= min(minCommon, s.All) && float64(s.Silent) >= commonPart*float64(s.Silent+s.Heard)
}

// Survey returns how many engines have fallen silent at about the same time as one of them: they were not heard of for half to twice as
// long. Those that have been silent for longer are probably lost, and are not counted.
func (t *Tracker) Survey(id jaywind.EndpointID, now time.Time) Survey {
	own := t.engines[id]
	if own == nil {
		return Survey{}
	}
	s := Survey{Silence: now.Sub(own.heardAt)}
	silent, all := map[jaywind.Domain]bool{}, map[jaywind.Domain]bool{}
	t.expire(now)
	for _, e := range t.engines {
		all[e.domain] = true
		switch {
		case now.Sub(e.heardAt) < s.Silence/2:
			s.Heard++
		case e == own || (e.runs > 0 || e.silent) && now.Sub(e.heardAt) <= 2*s.Silence:
			s.Silent++
			silent[e.domain] = true
		}
	}
	s.Domains, s.All = len(silent), len(all)
	return s
}

// expire forgets the engines that have had no run for a while.
func (t *Tracker) expire(now time.Time) {
	for id, e := range t.engines {
		if e.runs == 0 && now.Sub(e.endedAt) > retention {
			delete(t.engines, id)
		}
	}
}

// IsHeard reports whether an engine has been heard of since a time.
func (t *Tracker) IsHeard(id jaywind.EndpointID, since time.Time) bool {
	e := t.engines[id]
	return e != nil && e.heardAt.After(since)
}
