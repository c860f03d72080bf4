// Package series carries a stream of numbered events through the loss of endpoints.
//
// The events are opaque. A Cursor decides which of them are passed on: each
// once, in order, whichever endpoint sends it. A Plan decides where a broken
// stream goes on, at the copy of its memory or from the beginning of the prompt:
//
//	switch cursor.Take(event.ID) {
//	case series.Next: // pass it on
//	case series.Seen: // drop it
//	case series.Gap:  // the endpoint is of no use
//	}
package series
