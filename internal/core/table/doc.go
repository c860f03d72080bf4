// Package table holds the state of a router's core: tables of entities, the
// events that change them and the commands that result.
//
// In each tick, systems run in a fixed order over one State. A system reads the
// tables, the events since the last tick and Now, updates the tables and emits
// commands. Systems do no I/O and read no clock, so a test can drive them
// deterministically:
//
//	s := table.New(seed)
//	s.BeginTick(now, true, []table.Event{table.RequestArrived{Request: request}})
//	for _, system := range systems {
//		system.Step(s)
//	}
//	commands := s.TakeCommands()
//
// A tick is full or early. An early tick runs as soon as events arrive, so that
// a token is not delayed; systems handle only what the events affect. A full
// tick runs at a fixed interval, and systems also check their timers.
package table
