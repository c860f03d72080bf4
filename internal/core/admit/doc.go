// Package admit decides which queued requests may start and refuses the rest.
//
// A refusal is final and given at once, and says when to come back:
//
//	admit.Admit{}.Step(state) // moves ids from state.Queued to state.Ready
package admit
