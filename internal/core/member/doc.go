// Package member maintains a router's list of the other routers with a gossip
// protocol in the manner of SWIM.
//
// In each interval a router probes one member, in rounds of random order. If
// the member does not answer, other members are asked to probe it over their
// own connections before it is suspected. A suspected member is declared dead
// only after it has had time to refute the suspicion with a higher
// incarnation. Messages carry a bounded number of member rows and notes, so a
// router's cost does not grow with the fleet.
//
// A member refutes a suspicion only in a call that reached it. A member that
// learns of its own death from the reply to a call it made asks the other to
// call back. A member that can send but not be reached is thus not kept alive
// in the list.
//
// Updates are pushed to a few random members at once, and then carried by
// regular messages:
//
//	s.Fleet.Broadcast(jaywind.Note{Kind: member.NoteVMLeaving, Key: "vm1", Value: value})
//	for _, n := range s.Fleet.NotesIn { ... } // notes first received in this tick
package member
