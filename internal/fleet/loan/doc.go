// Package loan lets a router use retries from the unspent retry budgets of other routers.
//
// Each router has a share of the fleet's retry budget. When many endpoints fail at the same
// time, the failures may hit a few routers, whose shares are soon spent while most of the
// fleet's budget is unused. Such a router borrows retries. The lender counts a lent retry
// against its own share, so the fleet's budget is never exceeded.
//
//	mux.Handle(loan.Path, loan.NewHandler(router))
//	b := loan.Borrower{HTTP: client, Peers: peers, Log: log}
//	if b.Borrow(ctx, service) {
//		// send the request again
//	}
package loan
