package suspect

import (
	"strings"
	"time"

	"jaywind"
)

const (
	// QuarantineTime is how long a group is quarantined.
	QuarantineTime   = 10 * time.Minute
	firstProbePause  = 4 * time.Second // after the first probe; several times that which engines that have crashed need to come back
	probePauseFactor = 4               // by which the pause grows with each further probe, as each may crash an engine
	maxQuarantined   = 256             // groups; a group beyond them is not quarantined
	survivorTime     = 2 * time.Minute // for which a sound part is remembered at least
	maxSurvivorParts = 8192            // parts that are remembered in each half of the time
)

// Quarantine holds the groups whose requests are kept back. The zero value is empty.
type Quarantine struct {
	groups map[string]quarantined
}

// quarantined is a group and the end of its quarantine.
type quarantined struct {
	group  Group
	until  time.Time
	lifted bool          // its requests may run; it is not quarantined again before until
	probe  time.Time     // from which one request may run, to lift the quarantine if it survives; zero for none
	pause  time.Duration // until the next one, if this one does not lift it; 0 until a probe was allowed
}

// Add quarantines a group, and reports whether it was not quarantined before.
func (q *Quarantine) Add(g Group, now time.Time) bool {
	q.expire(now)
	_, known := q.groups[g.Key()]
	if known || len(q.groups) >= maxQuarantined || len(g.Parts) == 0 {
		return false
	}
	if q.groups == nil {
		q.groups = map[string]quarantined{}
	}
	q.groups[g.Key()] = quarantined{group: g, until: now.Add(QuarantineTime)}
	return true
}

// IsRequest reports whether a group is a whole request.
func (g Group) IsRequest() bool {
	return len(g.Parts) == 1 && strings.HasPrefix(string(g.Parts[0]), digestPrefix)
}

// Lift ends the quarantine of a group, and reports whether it was in force. The group is not quarantined again for a while, as news of
// its quarantine may come late.
func (q *Quarantine) Lift(g Group, now time.Time) bool {
	e, known := q.groups[g.Key()]
	if known && e.lifted {
		return false
	}
	if q.groups == nil {
		q.groups = map[string]quarantined{}
	}
	q.groups[g.Key()] = quarantined{group: g, until: now.Add(survivorTime), lifted: true}
	return known
}

// IsLifted reports whether the quarantine of a group was lifted lately.
func (q *Quarantine) IsLifted(g Group, now time.Time) bool {
	e, known := q.groups[g.Key()]
	return known && e.lifted && now.Before(e.until)
}

// AllowProbe lets one request of a group run from a time on, although the group is quarantined. While the quarantine lasts, further ones may
// follow after growing pauses, as the probe may be lost for another reason than its prompt. It changes nothing if probes are allowed already.
func (q *Quarantine) AllowProbe(g Group, at time.Time) {
	if e, known := q.groups[g.Key()]; known && !e.lifted && e.probe.IsZero() {
		e.probe, e.pause = at.Add(e.pause), max(e.pause, firstProbePause)
		q.groups[g.Key()] = e
	}
}

// EndProbes lets no request of a quarantined group run, until AllowProbe is called again.
func (q *Quarantine) EndProbes(g Group) {
	if e, known := q.groups[g.Key()]; known && !e.lifted {
		e.probe = time.Time{}
		q.groups[g.Key()] = e
	}
}

// InForce returns the groups that are quarantined.
func (q *Quarantine) InForce(now time.Time) []Group {
	var found []Group
	for _, e := range q.groups {
		if !e.lifted && now.Before(e.until) {
			found = append(found, e.group)
		}
	}
	return found
}

// TakeProbe reports whether a prompt that is kept back may run as a probe, and takes the probe.
func (q *Quarantine) TakeProbe(s jaywind.ServiceName, shared []jaywind.PromptPart, now time.Time) bool {
	held := q.Matching(s, shared, now)
	if len(held) != 1 { // a loss would not tell which group was the cause
		return false
	}
	e := q.groups[held[0].Key()]
	if e.probe.IsZero() || now.Before(e.probe) {
		return false
	}
	e.probe, e.pause = now.Add(e.pause), e.pause*probePauseFactor
	q.groups[held[0].Key()] = e
	return true
}

// ReturnProbe gives back a probe that was taken for a prompt and has not run, so that another request may.
func (q *Quarantine) ReturnProbe(s jaywind.ServiceName, shared []jaywind.PromptPart, now time.Time) {
	for _, g := range q.Matching(s, shared, now) {
		if e := q.groups[g.Key()]; !e.probe.IsZero() && e.pause > firstProbePause {
			e.probe, e.pause = now, e.pause/probePauseFactor
			q.groups[g.Key()] = e
		}
	}
}

// Matching returns the groups in force that a prompt has.
func (q *Quarantine) Matching(s jaywind.ServiceName, shared []jaywind.PromptPart, now time.Time) []Group {
	var found []Group
	for _, e := range q.groups {
		if !e.lifted && now.Before(e.until) && e.group.In(s, shared) {
			found = append(found, e.group)
		}
	}
	return found
}

// Holds reports whether a prompt is kept back, and for how long.
func (q *Quarantine) Holds(s jaywind.ServiceName, shared []jaywind.PromptPart, now time.Time) (left time.Duration, held bool) {
	for _, e := range q.groups {
		if !e.lifted && now.Before(e.until) && e.group.In(s, shared) {
			left, held = max(left, e.until.Sub(now)), true
		}
	}
	return left, held
}

// Count returns the number of groups in force.
func (q *Quarantine) Count() int {
	n := 0
	for _, e := range q.groups {
		if !e.lifted {
			n++
		}
	}
	return n
}

func (q *Quarantine) expire(now time.Time) {
	for k, e := range q.groups {
		if !now.Before(e.until) {
			delete(q.groups, k)
		}
	}
}

// Survivors remembers the parts under which runs have survived their beginning. The zero value is empty.
type Survivors struct {
	recent, older map[partKey]bool
	rotatedAt     time.Time
	last          map[jaywind.ServiceName]time.Time // of any run
}

// Add records that a run under these shared parts has survived its beginning.
func (s *Survivors) Add(service jaywind.ServiceName, shared []jaywind.PromptPart, now time.Time) {
	if s.recent == nil || now.Sub(s.rotatedAt) > survivorTime || len(s.recent) >= maxSurvivorParts {
		s.recent, s.older, s.rotatedAt = map[partKey]bool{}, s.recent, now
	}
	if s.last == nil {
		s.last = map[jaywind.ServiceName]time.Time{}
	}
	s.last[service] = now
	for _, p := range shared[:min(len(shared), maxPartsPer)] {
		s.recent[partKey{service, p}] = true
	}
}

// Any reports whether any run of a service has survived its beginning within the time for which survivors are remembered.
func (s *Survivors) Any(service jaywind.ServiceName, now time.Time) bool {
	last, known := s.last[service]
	return known && now.Sub(last) <= survivorTime
}

// Among returns those of the parts that are remembered.
func (s *Survivors) Among(service jaywind.ServiceName, parts []jaywind.PromptPart) []jaywind.PromptPart {
	var found []jaywind.PromptPart
	for _, p := range parts {
		if k := (partKey{service, p}); s.recent[k] || s.older[k] {
			found = append(found, p)
		}
	}
	return found
}
