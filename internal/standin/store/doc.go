// Package store is a small stand-in for the platform's key-value service.
//
// A Store holds keys in memory and is a jaywind.Store by itself, for tests in
// one process; its Handler serves the same over HTTP. Faults switch outages,
// slowness and replies that are lost after a write took effect:
//
//	s := &store.Store{}
//	s.Set(store.Faults{Lose: 1})
package store
