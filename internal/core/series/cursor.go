package series

// Verdict says what to do with an event.
type Verdict int

// Verdicts on an event.
const (
	Accept    Verdict = iota // the next event of the stream: forward it
	Duplicate                // forwarded before: drop it
	Gap                      // events before it are missing
)

// Cursor is the position up to which a stream has been forwarded; its zero value is the start.
type Cursor struct {
	lastID  int64 // id of the last event forwarded, if started
	started bool  // an event was forwarded
}

// CursorAfter returns the cursor of a caller that has read up to the event id.
func CursorAfter(id int64) Cursor {
	return Cursor{lastID: id, started: true}
}

// LastID returns the id of the last event forwarded, and whether there is one.
func (c *Cursor) LastID() (int64, bool) {
	return c.lastID, c.started
}

// Check classifies an event, and advances the cursor if it is the next one. The first event of
// a stream has the id 0 or 1.
func (c *Cursor) Check(id int64) Verdict {
	switch {
	case !c.started && (id == 0 || id == 1), c.started && id == c.lastID+1:
		c.lastID, c.started = id, true
		return Accept
	case c.started && id <= c.lastID:
		return Duplicate
	}
	return Gap
}
