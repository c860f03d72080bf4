// Package store speaks to the platform's key-value service over plain HTTP.
//
// A value's entity tag is its revision. A swap is a PUT with If-Match, or with
// If-None-Match: * for a key that must be absent; a watch is a GET that waits
// until the tag is another one; a removal is a DELETE with If-Match; a lease is granted by POST and renewed by PUT:
//
//	s := &store.Client{URL: "http://127.0.0.1:9200"}
//	e, err := s.Get(ctx, "rules")
//	revision, err := s.Swap(ctx, "rules", value, e.Revision)
package store
