// Package moves measures the policy of moves between versions over seeded runs.
//
// A small model of one model's traffic drives the pure systems of package move
// on a few routers in virtual time, with good versions and with versions that
// are bad in different ways:
//
//	for _, k := range moves.Kinds {
//		fmt.Println(moves.Study{Load: moves.Target, Kind: k, Runs: 200}.Run())
//	}
//
// Routers hear each other's reports after a lag. Placement, engines and the
// store are no more than delays and probabilities here.
package moves
