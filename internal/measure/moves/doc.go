// Package moves evaluates the policy for moves between versions by simulation.
//
// Simulated traffic of one model drives the systems of package move on several
// routers in virtual time, with good versions and with versions that are bad in
// different ways:
//
//	for _, s := range moves.Scenarios {
//		fmt.Println(moves.Study{Workload: moves.Target, Scenario: s, Runs: 200}.Run())
//	}
//
// Routers receive each other's reports after a delay. Placement, engines and the
// store are modelled by delays and probabilities only.
package moves
