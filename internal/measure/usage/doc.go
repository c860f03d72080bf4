// Package usage reads the CPU time and live memory of the process.
//
//	before := usage.CPUTime()
//	work()
//	fmt.Println(usage.CPUTime() - before)
package usage
