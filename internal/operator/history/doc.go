// Package history keeps snapshots of the metrics of several VMs and draws them
// over time.
//
//	r := history.Recorder{VMs: vms, Every: time.Second, Out: file}
//	err := r.Run(ctx)
//	...
//	h, err := history.Read(file)
//	err = h.WritePlot("day.svg")
//
// A snapshot is one line of JSON, so that a file that was cut off is still read.
package history
