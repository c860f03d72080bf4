// Package caller serves the callers of generations over HTTP.
//
// The form is that of OpenAI-compatible completions. Each server-sent event has
// a bookmark as its id; a caller that lost its connection repeats the request
// with that id in Last-Event-ID, at this or any other entry, and with the tokens
// that it has read in the field prefix:
//
//	h := &caller.Handler{Router: router}
//	server := &http.Server{Addr: "127.0.0.1:8101", Handler: h.Mux()}
package caller
