// Package weights is a small stand-in for the platform's rate-limited weight store.
//
// It grants turns to load a version at a fixed rate and refuses the others:
//
//	s := &weights.Store{Rate: 2}
//	server := httptest.NewServer(s.Handler())
package weights
