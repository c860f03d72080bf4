// Package move takes a model's traffic from one version to another.
//
// A request goes to the new version if the hash of its id is below the share
// that is allowed. The share grows in steps, each after proof: outcomes on the
// new version that a CUSUM for each route and measure holds to be no worse than
// the old version's outcomes of the same seconds. Before the first proof only a
// budget of requests starts there. A version that shows itself bad is taken
// back at once and for good, and what is not proved by the stated time as well:
//
//	systems := []table.System{step.Rules{}, move.Watch{}, generate.Intake{}, move.Decide{}, place.Place{}}
//	version := move.VersionFor(state, request)
//
// Routers tell each other their running totals, so that each judges by the sum,
// and each stops by itself on what it has seen. In a fleet of more than ten
// some collect: the others report to one of them, and follow what it decides.
package move
