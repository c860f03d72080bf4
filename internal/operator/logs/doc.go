// Package logs is a structured logger that never blocks the code that logs.
//
// Lines are queued for a writer goroutine. If the queue is full, a line is dropped
// and counted. Lines with the same message are sampled above a rate, so that the
// volume grows slowly with the load:
//
//	l, err := logs.New("info", os.Stdout)
//	defer l.Close()
//	l.Logger.Info("router: started")
//
// Lines that must not be missing go to Complete, which is not sampled and for which a
// part of the queue is kept.
package logs
