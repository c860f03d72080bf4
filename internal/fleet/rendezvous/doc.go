// Package rendezvous chooses members for a key by rendezvous hashing.
//
// All routers with the same view of the fleet choose the same members, and the
// loss of a member moves only the keys that it had. The choice is spread over
// failure domains first:
//
//	keepers := rendezvous.Pick("request/r1", router.Members(), 2, router.Domain)
package rendezvous
