// Package table holds the entities of a router's core in tables, the events
// that change them and the commands that come out.
//
// Systems run over one State in a fixed order each tick. They read the tables,
// the events since the last tick and Now; they write tables and emit commands.
// They do no I/O and read no clock, so that a test drives them by hand:
//
//	s := table.New(seed)
//	s.Begin(now, true, []table.Event{table.Arrived{Ask: ask}})
//	for _, y := range systems {
//		y.Step(s)
//	}
//	commands := s.Take()
//
// A tick is full or early. An early tick runs as soon as events arrive, so that
// a token does not wait; systems look only at what the events touch. A full
// tick runs at a fixed interval, and systems look at their timers as well.
package table
