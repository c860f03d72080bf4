// Package vms reads the platform's list of VMs as JSON over HTTP.
//
//	c := &vms.Client{URL: "http://10.0.0.9:9300"}
//	list, err := c.List(ctx)
package vms
