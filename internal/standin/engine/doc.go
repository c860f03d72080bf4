// Package engine is a test double for a model engine.
//
// Each token is a hash of the version, the seed, the prompt and the digest of all
// tokens before it, so a test can compute the expected answer by Tokens. A stream
// goes on for IdleTimeout after its connection is lost, so that it can be resumed:
//
//	e := &engine.Engine{ID: "e1", Model: "heat", Version: "v1", TokenInterval: 5 * time.Millisecond}
//	server := httptest.NewServer(e.Handler())
package engine
