// Package jaywind defines what the parts of the serving system share: ids,
// units and records, and the interfaces to engines, services, other routers
// and the platform.
//
// A router accepts a generation request from a caller, places it on an engine
// endpoint and delivers each token once. If the engine fails, the router opens
// a new attempt at the next position. If the router fails, the caller
// reconnects to another one with the bookmark of the last token that it read:
//
//	bookmark, err := jaywind.ParseBookmark(lastEventID)
//	if err != nil {
//		return err
//	}
//	fmt.Println(bookmark.Position, bookmark.Digest)
//
// The systems under internal/core make all decisions and do no I/O. Package
// embed turns their commands into calls on the interfaces of this package, and
// the results into events.
package jaywind
