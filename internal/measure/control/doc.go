// Package control measures the resource usage of idle routers.
//
// It runs idle fleets of several sizes on loopback in one process. CPU time, live
// memory and bytes between routers are divided by the number of routers, so that
// the results show what grows with the size of the fleet; store calls are counted
// for the whole fleet:
//
//	rows, err := control.Study{Sizes: []int{3, 9, 30}, Seconds: 5}.Measure(ctx)
package control
