// Package store is a test double for the platform's key-value service.
//
// A Store holds keys in memory and implements jaywind.Store, for tests in one
// process; its Handler serves the same over HTTP. Faults inject outages, delays
// and replies that are lost after a write took effect:
//
//	s := &store.Store{}
//	s.SetFaults(store.Faults{LoseReplies: 1})
package store
