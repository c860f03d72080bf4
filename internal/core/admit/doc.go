// Package admit decides which queued requests may start and refuses the rest.
//
// Each organisation has a rate and a burst, which its home routers share. A home
// whose demand exceeds an even share reports it to the others, and each home
// uses its max-min fair share. An admitted request waits in the pool of its
// model, in the queue of its organisation; a pool serves these queues by weighted
// fair queueing. It limits its concurrent requests adaptively: the limit grows
// while requests wait for it and engines answer in time, and falls when too many
// answers are late.
//
// A request that would wait too long, or past its deadline, is refused on
// arrival. New work is refused while generations of lost engines wait to be
// resumed. A refusal is final and immediate, and carries an estimate of when the
// queue will have drained:
//
//	admit.Admit{}.Step(state) // moves ids from state.Queued to state.Ready
package admit
