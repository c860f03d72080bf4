// Package store is an HTTP client for the platform's key-value service.
//
// The entity tag of a value is its revision. A swap is a PUT with If-Match, or
// with If-None-Match: * for a key that must be absent. A watch is a long-polling
// GET that waits until the tag changes. A deletion is a DELETE with If-Match. A
// lease is granted by POST and renewed by PUT:
//
//	s := &store.Client{URL: "http://127.0.0.1:9200"}
//	e, err := s.Get(ctx, "rules")
//	revision, err := s.Swap(ctx, "rules", value, e.Revision)
package store
