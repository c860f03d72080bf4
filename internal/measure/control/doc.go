// Package control measures what routers spend when nobody asks for anything.
//
// Fleets of several sizes stand idle on loopback in one process. Processor time,
// live memory, bytes between routers and calls of the store are divided by the
// number of routers, so that the slope over the size shows what grows:
//
//	rows, err := control.Study{Sizes: []int{3, 9, 30}, Seconds: 5}.Measure(ctx)
package control
