// Package operator serves a router's HTTP interface for operators: status, rules,
// metrics and burn counts.
//
// All paths except /healthz require the shared secret as a bearer token:
//
//	h := &operator.Handler{Router: router, Secret: secret}
//	server := &http.Server{Addr: "127.0.0.1:8201", Handler: h.Mux()}
package operator
