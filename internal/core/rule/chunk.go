package rule

import (
	"maps"
	"strings"

	"jaywind"
)

// Chunk holds the rules on some consecutive lines of a text, parsed independently of the others.
type Chunk struct {
	set      *Set
	rules    int  // number of distinct rules
	complete bool // there are no findings and the last line ends with a newline
}

// ParseChunk parses whole lines, without checking references to other rules.
func ParseChunk(text string) *Chunk {
	p := &parser{set: NewSet(), positions: map[string]position{}}
	p.readLines(text)
	return &Chunk{
		set:      p.set,
		rules:    len(p.positions),
		complete: len(p.findings) == 0 && strings.HasSuffix(text, "\n"),
	}
}

// Merge returns the set that all chunks of a text make up, or false if the whole text must be parsed
// to obtain its findings.
//
// It doesn't modify the chunks, so sets that were merged from them before remain valid.
func Merge(chunks []*Chunk) (*Set, bool) {
	set := NewSet()
	set.Organisations = make(map[jaywind.Organisation]Organisation, countOrganisations(chunks))
	count := 0
	for _, p := range chunks {
		if !p.complete {
			return nil, false
		}
		count += p.rules
		set.add(p.set)
	}
	if set.size() != count {
		return nil, false // a rule is defined twice
	}
	p := &parser{set: set, positions: map[string]position{}}
	p.checkReferences()
	return set, len(p.findings) == 0
}

func countOrganisations(chunks []*Chunk) int {
	n := 0
	for _, p := range chunks {
		n += len(p.set.Organisations)
	}
	return n
}

func (s *Set) add(other *Set) {
	maps.Copy(s.Endpoints, other.Endpoints)
	maps.Copy(s.Drains, other.Drains)
	maps.Copy(s.Models, other.Models)
	maps.Copy(s.Moves, other.Moves)
	maps.Copy(s.Organisations, other.Organisations)
	maps.Copy(s.Services, other.Services)
	maps.Copy(s.Routes, other.Routes)
}

func (s *Set) size() int {
	return len(s.Endpoints) + len(s.Drains) + len(s.Models) + len(s.Moves) +
		len(s.Organisations) + len(s.Services) + len(s.Routes)
}
