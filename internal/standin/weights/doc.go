// Package weights is a test double for the platform's rate-limited weight store.
//
// It grants turns to load a version at a fixed rate and refuses all beyond it:
//
//	s := &weights.Store{Rate: 2}
//	server := httptest.NewServer(s.Handler())
package weights
