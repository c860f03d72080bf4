package suspect

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"jaywind"
)

// Loss is a run that was lost because its engine, or the endpoint of a plain service, ended; a stream only at its beginning.
type Loss struct {
	ID      uint64 // tells losses apart; 0 if not known
	Service jaywind.ServiceName
	Engine  jaywind.EndpointRef
	Domain  jaywind.Domain       // of the engine
	Ended   bool                 // it was seen that the engine has ended, besides that it closed the connection
	LostAt  time.Time            // when the connection was closed
	Ran     time.Duration        // for which the run lasted
	Prompt  jaywind.PromptPart   // the last part, which tells prompts apart
	Shared  []jaywind.PromptPart // the parts before it
	Request jaywind.PromptPart   // stands for the whole request, see RequestPart
}

// Parts returns the shared parts and the one that stands for the whole request.
func (l Loss) Parts() []jaywind.PromptPart { return append(slices.Clone(l.Shared), l.Request) }

// settleTime is how long after its first loss an engine is left out. Routers report the losses of one crash one after the other, and the
// first reports may lack the cause.
const settleTime = 150 * time.Millisecond

// Group is one or more parts of prompts for a service, any of which may be the cause of a crash.
type Group struct {
	Service jaywind.ServiceName
	Parts   []jaywind.PromptPart // in ascending order
}

// Key returns a text that identifies the group.
func (g Group) Key() string {
	names := []string{string(g.Service)}
	for _, p := range g.Parts {
		names = append(names, string(p))
	}
	return strings.Join(names, "/")
}

// In reports whether a prompt with the given shared parts has all parts of the group.
func (g Group) In(s jaywind.ServiceName, shared []jaywind.PromptPart) bool {
	return g.Service == s && len(g.Parts) > 0 && !slices.ContainsFunc(g.Parts, func(p jaywind.PromptPart) bool { return !slices.Contains(shared, p) })
}

const (
	minEngines  = 3               // that ended under a candidate
	minPrompts  = 2               // that had a candidate; a single prompt may have been unlucky at several engines
	minAlone    = 8               // engines that ended under a candidate which a single prompt had
	lossMemory  = 2 * time.Minute // for which a loss counts
	maxLosses   = 512             // of which the oldest are forgotten
	maxPartsPer = 32              // shared parts of a prompt that are considered
)

// partKey names a part of the prompts of a service.
type partKey struct {
	service jaywind.ServiceName
	part    jaywind.PromptPart
}

// datedLoss is a loss and its time.
type datedLoss struct {
	Loss
	at time.Time
}

// Finder collects losses. The zero value is empty.
type Finder struct {
	losses   []datedLoss
	reported map[partKey]bool // requests that Requests has returned
}

// Add adds a loss, unless it is known.
func (f *Finder) Add(l Loss, now time.Time) {
	f.expire(now)
	if l.ID != 0 && slices.ContainsFunc(f.losses, func(known datedLoss) bool { return known.ID == l.ID }) {
		return
	}
	l.Shared = l.Shared[:min(len(l.Shared), maxPartsPer)]
	if len(f.losses) == maxLosses {
		f.losses = slices.Delete(f.losses, 0, 1)
	}
	f.losses = append(f.losses, datedLoss{l, now})
}

// Clear forgets what was held against parts that have proved to be sound.
func (f *Finder) Clear(s jaywind.ServiceName, sound []jaywind.PromptPart) {
	for _, p := range sound {
		delete(f.reported, partKey{s, p})
	}
	for i, l := range f.losses {
		if l.Service == s {
			f.losses[i].Shared = slices.DeleteFunc(slices.Clone(l.Shared), func(p jaywind.PromptPart) bool { return slices.Contains(sound, p) })
			if slices.Contains(sound, l.Request) {
				f.losses[i].Request = ""
			}
		}
	}
	f.losses = slices.DeleteFunc(f.losses, func(l datedLoss) bool { return len(l.Shared) == 0 && l.Request == "" })
}

func (f *Finder) expire(now time.Time) {
	old := 0 // losses are in the order of their times
	for old < len(f.losses) && now.Sub(f.losses[old].at) > lossMemory {
		old++
	}
	f.losses = slices.Delete(f.losses, 0, old)
}

// record is what is held against one part.
type record struct {
	engines map[jaywind.EndpointRef]bool
	prompts map[jaywind.PromptPart]bool
}

// Candidates returns the groups that may have crashed engines, the most likely first. An engine that ended under a more likely group
// is not held against the others, as its other runs were lost with it. It also returns after which time to look again, because losses
// may still come; 0 if there is no need to.
func (f *Finder) Candidates(now time.Time) (found []Group, again time.Duration) {
	f.expire(now)
	explained, again := f.unsettled(now)
	for {
		records := f.records(explained)
		best, most := partKey{}, 0
		for k, r := range records {
			if len(r.engines) < minEngines || len(r.prompts) < minPrompts && len(r.engines) < minAlone {
				continue
			}
			if n := len(r.engines); n > most || n == most && compareKeys(k, best) < 0 {
				best, most = k, n
			}
		}
		if most == 0 {
			return found, again
		}
		g := Group{Service: best.service}
		for k, r := range records {
			if k.service == best.service && sameEngines(r.engines, records[best].engines) {
				g.Parts = append(g.Parts, k.part)
			}
		}
		slices.Sort(g.Parts)
		found = append(found, g)
		for e := range records[best].engines {
			explained[e] = true
		}
	}
}

// MostSpecific returns the candidate that explains most of the ends of engines of a service and is in the fewest of the lost prompts, for
// the time in which no run survives that could clear the parts that many prompts have. It returns false if all lost prompts have
// that part.
func (f *Finder) MostSpecific(s jaywind.ServiceName, now time.Time) (Group, bool) {
	f.expire(now)
	unsettled, _ := f.unsettled(now)
	records, prompts, most := f.records(unsettled), map[jaywind.PromptPart]bool{}, 0
	for _, l := range f.losses {
		if l.Service == s && len(l.Shared) > 0 {
			prompts[l.Prompt] = true
		}
	}
	for k, r := range records {
		if k.service == s {
			most = max(most, len(r.engines))
		}
	}
	best, found := partKey{service: s}, false
	for k, r := range records {
		if k.service != s || len(r.engines) < minEngines || len(r.prompts) < minPrompts || len(r.prompts) == len(prompts) || float64(len(r.engines)) < explainedShare*float64(most) {
			continue
		}
		n := len(r.prompts)
		if known := len(records[best].prompts); !found || n < known || n == known && compareKeys(k, best) < 0 {
			best, found = k, true
		}
	}
	if !found {
		return Group{}, false
	}
	return Group{Service: s, Parts: []jaywind.PromptPart{best.part}}, true
}

// explainedShare is the share of the ends of engines that a part explains which is taken for the cause of all of them.
const explainedShare = 0.8

// unsettled returns the engines whose first loss is so recent that others may still be reported, and when the last of them is settled.
func (f *Finder) unsettled(now time.Time) (engines map[jaywind.EndpointRef]bool, left time.Duration) {
	engines = map[jaywind.EndpointRef]bool{}
	seen := map[jaywind.EndpointRef]bool{}
	for _, l := range f.losses {
		if seen[l.Engine] {
			continue
		}
		seen[l.Engine] = true
		if wait := settleTime - now.Sub(l.at); wait > 0 {
			engines[l.Engine], left = true, max(left, wait)
		}
	}
	return engines, left
}

// records returns what is held against each part, without the engines whose end is explained.
func (f *Finder) records(explained map[jaywind.EndpointRef]bool) map[partKey]record {
	records := map[partKey]record{}
	for _, l := range f.losses {
		if explained[l.Engine] {
			continue
		}
		for _, p := range l.Shared {
			k := partKey{l.Service, p}
			r, known := records[k]
			if !known {
				r = record{map[jaywind.EndpointRef]bool{}, map[jaywind.PromptPart]bool{}}
				records[k] = r
			}
			r.engines[l.Engine], r.prompts[l.Prompt] = true, true
		}
	}
	return records
}

func compareKeys(a, b partKey) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.part, b.part))
}

func sameEngines(a, b map[jaywind.EndpointRef]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for e := range a {
		if !b[e] {
			return false
		}
	}
	return true
}
