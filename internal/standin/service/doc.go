// Package service is a small stand-in for a plain service whose calls count.
//
// It counts how often it ran each Idempotency-Key, which a caller reads at
// GET /runs/KEY, and its faults let it be slow, or die after it ran a call:
//
//	s := &service.Service{}
//	s.Set(service.Faults{Cut: true})
//	http.Handle("/", s.Handler())
package service
