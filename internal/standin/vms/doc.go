// Package vms is a test double for the platform's list of VMs.
//
// PUT /vms replaces the rows, and GET /vms returns them after Delay:
//
//	l := &vms.List{Delay: 5 * time.Second}
//	server := &http.Server{Addr: "127.0.0.1:9300", Handler: l.Handler()}
package vms
