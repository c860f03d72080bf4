// Package route holds the operator's routing configuration: which route a
// request takes, whether it may be repeated, and who may use the route.
//
// A Set is immutable. A newer version of the configuration is a new Set, so that
// one version applies to a request from its arrival to its end:
//
//	set := route.NewSet(7, routes, services, keys, limits)
//	r := set.Match("ficu95.example", "/orders/17")
//	owner, known := set.OwnerOf(key)
package route
