package suspect

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"jaywind"
)

// Loss is a run that was lost at its beginning, because its engine ended.
type Loss struct {
	Service jaywind.ServiceName
	Engine  jaywind.EndpointRef
	Prompt  jaywind.PromptPart   // the last part, which tells prompts apart
	Shared  []jaywind.PromptPart // the parts before it
}

// settleTime is how long no loss came at the engines of a candidate. Routers report the losses of one crash one after the other, and
// the first reports may lack the cause.
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
	losses []datedLoss
}

// Add adds a loss.
func (f *Finder) Add(l Loss, now time.Time) {
	f.expire(now)
	l.Shared = l.Shared[:min(len(l.Shared), maxPartsPer)]
	if len(f.losses) == maxLosses {
		f.losses = slices.Delete(f.losses, 0, 1)
	}
	f.losses = append(f.losses, datedLoss{l, now})
}

// Clear forgets what was held against parts that have proved to be sound.
func (f *Finder) Clear(s jaywind.ServiceName, sound []jaywind.PromptPart) {
	for i, l := range f.losses {
		if l.Service == s {
			f.losses[i].Shared = slices.DeleteFunc(slices.Clone(l.Shared), func(p jaywind.PromptPart) bool { return slices.Contains(sound, p) })
		}
	}
	f.losses = slices.DeleteFunc(f.losses, func(l datedLoss) bool { return len(l.Shared) == 0 })
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

// Candidate is a group that may have crashed engines.
type Candidate struct {
	Group
	FirstLoss time.Time // of those that are held against it
}

// Candidates returns the groups that may have crashed engines, the most likely first. An engine that ended under a more likely group
// is not held against the others, as its other runs were lost with it. It also returns after which time to look again, because losses
// may still come; 0 if there is no need to.
func (f *Finder) Candidates(now time.Time) (found []Candidate, again time.Duration) {
	f.expire(now)
	explained := map[jaywind.EndpointRef]bool{}
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
		first, last := f.span(records[best].engines)
		if left := settleTime - now.Sub(last); left > 0 {
			again = max(again, left)
		} else {
			found = append(found, Candidate{g, first})
		}
		for e := range records[best].engines {
			explained[e] = true
		}
	}
}

// span returns the times of the first and the last loss at engines.
func (f *Finder) span(engines map[jaywind.EndpointRef]bool) (first, last time.Time) {
	for _, l := range f.losses {
		if !engines[l.Engine] {
			continue
		}
		if first.IsZero() {
			first = l.at
		}
		last = l.at
	}
	return first, last
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
