package series

// Verdict is what to do with an event.
type Verdict int

// The verdicts on an event.
const (
	Next Verdict = iota // the next one: it is passed on
	Seen                // it was passed on before
	Gap                 // events before it are missing
)

// Cursor is how far a stream has been passed on; its zero value is the start.
type Cursor struct {
	last  int64 // id of the last event passed on
	begun bool  // whether there is one
}

// From returns the cursor of a caller that has read up to an id.
func From(id int64) Cursor {
	return Cursor{last: id, begun: true}
}

// Last returns the id of the last event that was passed on, and whether there is one.
func (c *Cursor) Last() (int64, bool) {
	return c.last, c.begun
}

// Take judges an event and moves on if it is the next one; a stream starts at 0 or 1.
func (c *Cursor) Take(id int64) Verdict {
	switch {
	case !c.begun && (id == 0 || id == 1), c.begun && id == c.last+1:
		c.last, c.begun = id, true
		return Next
	case c.begun && id <= c.last:
		return Seen
	}
	return Gap
}
