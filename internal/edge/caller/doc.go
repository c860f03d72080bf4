// Package caller serves a router's HTTP interface for callers: generations and
// calls to plain services.
//
// Generations use the OpenAI completions format. The id of each server-sent event
// is a bookmark. To resume after a lost connection, a caller repeats the request
// to any entry, with the last id in Last-Event-ID and the tokens received so far
// in the field prefix:
//
//	h := &caller.Handler{Router: router}
//	server := &http.Server{Addr: "127.0.0.1:8101", Handler: h.Mux()}
package caller
