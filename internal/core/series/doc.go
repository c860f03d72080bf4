// Package series forwards a stream of numbered events and resumes it when endpoints fail.
//
// The events are opaque. A Cursor decides which of them are forwarded: each
// once, in order, whichever endpoint sends it. A ResumePlan decides how a broken
// stream is resumed: at the endpoint with a copy of its memory, or at another
// one from the beginning of the prompt:
//
//	switch cursor.Check(event.ID) {
//	case series.Accept:    // forward it
//	case series.Duplicate: // drop it
//	case series.Gap:       // leave the endpoint
//	}
package series
