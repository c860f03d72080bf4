// Package generate keeps generations running when engines and routers are lost.
//
// Each stream that is opened for a request is an attempt with a fencing number.
// A token from an engine is accepted in one place only, EventHandler, if its
// attempt is the current one and its position is the next. When a stream breaks
// or falls silent, the engine is asked over a new connection how many tokens it
// has generated; SilenceDetector watches for silence. If the engine is alive, its
// own stream is resumed. Otherwise the request goes back in the queue for
// placement with exactly the tokens accepted so far:
//
//	systems := []table.System{
//		generate.EventHandler{}, generate.SilenceDetector{}, place.Placement{},
//	}
package generate
