// Package rendezvous chooses members for a key by rendezvous hashing.
//
// Routers with the same view of the fleet choose the same members, and the loss of
// a member moves only the keys that were assigned to it. The chosen members are
// spread over as many failure domains as possible:
//
//	replicas := rendezvous.Pick("request/r1", router.Members(), 2, router.Domain)
package rendezvous
