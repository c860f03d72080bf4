package table

import (
	"cmp"
	"slices"
	"time"

	"jaywind"
)

// Member is another router as this one believes it to be.
type Member struct {
	jaywind.Member
	Since  time.Time // when Liveness became what it is
	Heard  time.Time // when the member itself was last heard
	Spread int       // messages that may still carry the row
}

// Fleet is what a router knows of the others and of itself as a member.
type Fleet struct {
	Self    jaywind.Member
	Members map[jaywind.VM]*Member // without Self
	Epoch   uint64                 // raised with each change of the list of live members

	NotesIn  []jaywind.Note // received for the first time since the last tick
	notesOut []jaywind.Note // emitted here, not yet taken up by membership
}

// Live returns the members that are not dead, with this router, ordered by VM; leaving ones are included.
func (f *Fleet) Live() []jaywind.Member {
	live := []jaywind.Member{f.Self}
	for _, m := range f.Members {
		if m.Liveness != jaywind.LivenessDead {
			live = append(live, m.Member)
		}
	}
	slices.SortFunc(live, func(a, b jaywind.Member) int { return cmp.Compare(a.VM, b.VM) })
	return live
}

// Spread sends a note to all routers; this one does not receive it back.
func (f *Fleet) Spread(n jaywind.Note) {
	f.notesOut = append(f.notesOut, n)
}

// TakeNotes returns the notes emitted here since the last call.
func (f *Fleet) TakeNotes() []jaywind.Note {
	out := f.notesOut
	f.notesOut = nil
	return out
}
