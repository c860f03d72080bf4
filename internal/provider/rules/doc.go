// Package rules keeps the operators' rules in the platform's store.
//
// One key, the head, names the accepted version and is swapped atomically. A
// small text stands in the head itself; a large one is cut into chunks by
// content, which are written first, under keys that no other writer uses:
//
//	book := rules.Book{Store: store, Nonce: nonce}
//	base, err := book.Read(ctx)
//	accepted, err := book.Accept(ctx, base, text)
//	if errors.Is(err, jaywind.ErrConflict) {
//		other, err := book.Read(ctx)
//		fmt.Print(rules.Diff(base.Text, other.Text))
//	}
//
// A writer enters itself in a list of pending writers before it writes chunks.
// Whoever commits a version removes the chunks of the writers that this made
// too late, and those of its predecessor that it does not use, so that what is
// left over is bounded by the writers since the last commit.
package rules
