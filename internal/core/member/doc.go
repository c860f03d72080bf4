// Package member keeps a router's list of the other routers by gossip.
//
// In each period a router probes one member, in rounds of random order. A
// member that does not answer is probed through others over their own
// connections before it is suspected, and declared dead only after it has had
// time to refute the suspicion with a higher incarnation. Messages carry a
// bounded number of rows and notes, so a router's cost does not grow with the
// fleet. A member refutes only over a call that reached it; one that hears of
// its death in the reply to its own call asks to be called, so that a member
// which can speak but not be reached does not stay on the list.
//
// News is sent to a few random members at once and then with the usual
// messages:
//
//	s.Fleet.Spread(jaywind.Note{Kind: "verdict", Key: "heat", Value: value})
//	for _, n := range s.Fleet.NotesIn { ... } // notes heard for the first time in this tick
package member
