// Package operator serves the people and programs that run the fleet.
//
// All paths but /healthz need the shared secret:
//
//	h := &operator.Handler{Router: router, Secret: secret}
//	server := &http.Server{Addr: "127.0.0.1:8201", Handler: h.Mux()}
package operator
