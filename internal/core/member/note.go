package member

import (
	"jaywind"
	"jaywind/internal/core/table"
)

// collectLocalNotes stores the notes emitted by this router and returns whether there are new notes to send, received ones included.
func collectLocalNotes(s *table.State) bool {
	f := &s.Fleet
	added := len(f.NotesIn) > 0
	for _, n := range f.TakeNotes() {
		added = storeNote(f, n) || added
	}
	return added
}

func receiveNote(s *table.State, n jaywind.Note) {
	if len(n.Key)+len(n.Value) > maxNoteBytes {
		return
	}
	if storeNote(&s.Fleet, n) {
		s.Fleet.NotesIn = append(s.Fleet.NotesIn, n)
	}
}

// storeNote stores a note and returns whether it is new; beyond maxKeptNotes the oldest note is dropped.
func storeNote(f *table.Fleet, n jaywind.Note) bool {
	key := noteKey(n)
	if f.NoteKeys[key] {
		return false
	}
	f.NoteKeys[key] = true
	f.Notes = append(f.Notes, &table.Note{Note: n, SendsLeft: retransmitsFor(f)})
	if len(f.Notes) > maxKeptNotes {
		delete(f.NoteKeys, noteKey(f.Notes[0].Note))
		f.Notes = f.Notes[1:]
	}
	return true
}

func noteKey(n jaywind.Note) string {
	return n.Kind + "\x00" + n.Key + "\x00" + string(n.Value)
}

// pendingNotes returns the newest notes with retransmissions left, within the limits of a message, and counts them as sent.
func pendingNotes(f *table.Fleet) []jaywind.Note {
	var out []jaywind.Note
	size := 0
	for i := len(f.Notes) - 1; i >= 0 && len(out) < maxNotes; i-- {
		n := f.Notes[i]
		if n.SendsLeft <= 0 || size+len(n.Key)+len(n.Value) > maxNoteBytes {
			continue
		}
		n.SendsLeft--
		size += len(n.Key) + len(n.Value)
		out = append(out, n.Note)
	}
	return out
}

func allNotes(f *table.Fleet) []jaywind.Note {
	var out []jaywind.Note
	for _, n := range f.Notes {
		out = append(out, n.Note)
	}
	return out
}
