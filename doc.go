// Package jaywind names what the parts of the serving system share: the ids
// and units of its tables, and the few interfaces whose implementations vary.
//
// A router takes a generation from a caller, places it on an engine endpoint,
// and hands on each token once. When the engine dies, the router opens a new
// attempt at the next position; when the router dies, the caller reconnects
// to another one with the bookmark of the last token that it has read:
//
//	m, err := jaywind.ParseBookmark(lastEventID)
//	if err != nil {
//		return err
//	}
//	fmt.Println(m.Position, m.Digest)
//
// The decisions are made by the systems under internal/core. They do no I/O:
// package embed turns their commands into calls on the interfaces of this
// package and the results into their events.
package jaywind
