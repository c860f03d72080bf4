// Package engine is a small stand-in for a model engine.
//
// It makes up tokens that follow from the version, the seed, the prompt and all
// tokens before, so that a test can work out the whole answer by itself. It
// keeps a stream for a while after its connection is lost:
//
//	e := &engine.Engine{ID: "e1", Model: "heat", Version: "v1", Gap: 5 * time.Millisecond}
//	server := httptest.NewServer(e.Handler())
package engine
