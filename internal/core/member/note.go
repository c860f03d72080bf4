package member

import (
	"jaywind"
	"jaywind/internal/core/table"
)

// takeNotes takes up the notes emitted here and returns whether there is news to spread.
func takeNotes(s *table.State) bool {
	f := &s.Fleet
	news := len(f.NotesIn) > 0
	for _, n := range f.TakeNotes() {
		news = keepNote(f, n) || news
	}
	return news
}

func takeNote(s *table.State, n jaywind.Note) {
	if len(n.Key)+len(n.Value) > noteBytes {
		return
	}
	if keepNote(&s.Fleet, n) {
		s.Fleet.NotesIn = append(s.Fleet.NotesIn, n)
	}
}

// keepNote returns whether a note is new; the oldest note goes when there are too many.
func keepNote(f *table.Fleet, n jaywind.Note) bool {
	key := noteKey(n)
	if f.NoteKeys[key] {
		return false
	}
	f.NoteKeys[key] = true
	f.Notes = append(f.Notes, &table.Note{Note: n, SendsLeft: spreadOf(f)})
	if len(f.Notes) > noteKeep {
		delete(f.NoteKeys, noteKey(f.Notes[0].Note))
		f.Notes = f.Notes[1:]
	}
	return true
}

func noteKey(n jaywind.Note) string {
	return n.Kind + "\x00" + n.Key + "\x00" + string(n.Value)
}

// newsNotes returns the newest notes that are still spread, within the limits of a message.
func newsNotes(f *table.Fleet) []jaywind.Note {
	var out []jaywind.Note
	size := 0
	for i := len(f.Notes) - 1; i >= 0 && len(out) < noteLimit; i-- {
		n := f.Notes[i]
		if n.SendsLeft <= 0 || size+len(n.Key)+len(n.Value) > noteBytes {
			continue
		}
		n.SendsLeft--
		size += len(n.Key) + len(n.Value)
		out = append(out, n.Note)
	}
	return out
}

func keptNotes(f *table.Fleet) []jaywind.Note {
	var out []jaywind.Note
	for _, n := range f.Notes {
		out = append(out, n.Note)
	}
	return out
}
