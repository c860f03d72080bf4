package rule

import (
	"maps"
	"strings"

	"jaywind"
)

// Chunk is the rules on some consecutive lines of a text, read apart from the others.
type Chunk struct {
	set   *Set
	count int  // rules read
	sound bool // no findings, and the last line is ended
}

// ParseChunk reads whole lines, without looking at what they refer to.
func ParseChunk(text string) *Chunk {
	p := &parser{set: NewSet(), lines: map[string]place{}}
	p.readLines(text)
	return &Chunk{
		set:   p.set,
		count: len(p.lines),
		sound: len(p.findings) == 0 && strings.HasSuffix(text, "\n"),
	}
}

// Merge returns the set that parts make up, or false when the text must be read as a whole to tell its findings.
//
// The parts stay as they are, so that a set made of them before does too.
func Merge(parts []*Chunk) (*Set, bool) {
	set := NewSet()
	set.Organisations = make(map[jaywind.Organisation]Organisation, countOrganisations(parts))
	count := 0
	for _, p := range parts {
		if !p.sound {
			return nil, false
		}
		count += p.count
		set.add(p.set)
	}
	if set.size() != count {
		return nil, false // a name stands twice
	}
	p := &parser{set: set, lines: map[string]place{}}
	p.checkReferences()
	return set, len(p.findings) == 0
}

func countOrganisations(parts []*Chunk) int {
	n := 0
	for _, p := range parts {
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
