// Package move shifts a model's traffic gradually from one version to another.
//
// A request goes to the new version if the hash of its id is below the current
// share. The share grows in steps. A step is passed once enough outcomes on the
// new version are counted and a CUSUM test for each route and measure finds them
// no worse than the old version's outcomes of the same seconds. Until the first
// step is passed, a budget bounds the number of requests that start there. The
// move is rolled back for good as soon as the new version proves to be worse,
// or when its deadline passes before all steps are passed:
//
//	systems := []table.System{step.Rules{}, move.Observe{}, generate.EventHandler{}, move.Decide{}, place.Placement{}}
//	version := move.VersionFor(state, request)
//
// Routers exchange their running totals. Each evaluates the sum and can roll
// the move back by itself. In a fleet of more than ten routers only some, the
// collectors, do so: every other router reports to one collector and follows
// its decisions.
package move
