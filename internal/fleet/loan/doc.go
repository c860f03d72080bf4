// Package loan lets a router use what other routers have left of the fleet's budget of repeats.
//
// Each router spends a part of the budget. When many endpoints fail at once, the losses fall on
// few routers, whose parts are spent while most of the budget is not. Such a router borrows: the
// lender counts the repeat as its own, so the sum of all parts stays what it was.
//
//	mux.Handle(loan.Path, loan.NewHandler(router))
//	b := loan.Borrower{HTTP: client, Peers: peers}
//	if b.Borrow(ctx, service) {
//		// send once more
//	}
package loan
