// Package admit decides which queued requests may start and refuses the rest.
//
// Each organisation has a rate and a burst, which its home routers share: those
// that need more than an even part tell the others their demand, and each takes
// its max-min part. What passes waits in the pool of its model, in the lane of its organisation, and
// the lanes take turns by weighted virtual time. A pool starts requests up to a
// limit that it learns from the delays of its engines: it grows while requests
// wait for it and answers are in time, and falls when too many are late.
//
// A request that would wait too long, or past its deadline, is refused when it
// arrives. New work is refused while resumes wait for an endpoint. A refusal
// is final, given at once, and says when the queue will have drained:
//
//	admit.Admit{}.Step(state) // moves ids from state.Queued to state.Ready
package admit
