// Package route holds the operator's configuration of calls: which route a
// request takes, what may be repeated on it, and who may use it.
//
// A Set is immutable once it is built; a newer version replaces it whole, so a
// request is judged by one version from its arrival to its end:
//
//	set := route.New(7, routes, services, holders, limits)
//	r := set.Match("ficu95.example", "/orders/17")
//	h, known := set.Holder(key)
package route
