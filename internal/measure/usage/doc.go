// Package usage reads what the process has used of the machine.
//
//	before := usage.Processor()
//	work()
//	fmt.Println(usage.Processor() - before)
package usage
