// Package vms is a small stand-in for the platform's list of VMs.
//
// GET /vms returns the rows as they were put by PUT /vms, once Lag has passed:
//
//	l := &vms.List{Lag: 5 * time.Second}
//	server := &http.Server{Addr: "127.0.0.1:9300", Handler: l.Handler()}
package vms
