// Package generate carries generations through the loss of engines.
//
// Each opened stream of a request is an attempt with a fencing number. A token
// is taken in one place only, Intake, if its attempt is the current one and its
// position is the next. When a stream breaks or falls silent, Silence asks the
// engine over a new connection how far it is. It resumes the engine's own
// stream if it is alive, and otherwise puts the request back in the queue for
// placement with the exact tokens taken so far:
//
//	systems := []table.System{
//		generate.Intake{}, generate.Silence{}, place.Place{},
//	}
package generate
