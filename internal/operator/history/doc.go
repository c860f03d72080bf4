// Package history records snapshots of the metrics of several VMs and plots them
// over time.
//
//	r := history.Recorder{VMs: vms, Interval: time.Second, Out: file}
//	err := r.Run(ctx)
//	...
//	h, err := history.Read(file)
//	err = h.WritePlot("day.svg")
//
// A snapshot is one line of JSON, so that a truncated file can still be read.
package history
