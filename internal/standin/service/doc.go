// Package service is a test double for a plain service with calls that must not run twice.
//
// It counts the runs per Idempotency-Key, which GET /runs/KEY returns. Its faults
// delay a call, or cut the connection after the call was run:
//
//	s := &service.Service{}
//	s.SetFaults(service.Faults{Cut: true})
//	http.Handle("/", s.Handler())
package service
