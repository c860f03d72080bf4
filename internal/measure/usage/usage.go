package usage

import (
	"runtime"
	"syscall"
	"time"
)

// CPUTime returns the user and system time that the process has used, 0 where that is not known.
func CPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// LiveHeap runs a garbage collection and returns the bytes of live objects.
func LiveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
