// Package recall decides when the claims that a store has lost are known again.
//
// A store that is restored from an older copy lacks the claims of its last seconds. Routers remember the claims that were
// recorded through them, and record them again. Until all have done so, a key without a record may have been claimed:
//
//	memory := recall.Memory{Span: time.Minute, Started: now}
//	memory.Add(claim, now)
//	barrier := recall.Barrier{Span: time.Minute}
//	barrier.Enter(now)
//	barrier.Report("vm1", memory.Complete(now))
//	if barrier.Done(now) { ... } // keys without a record may be claimed
//
// The copy must not be older than the span.
package recall
