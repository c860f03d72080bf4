// Package rules keeps the operators' rules in the platform's store.
//
// The accepted text stands under one key with its version; a new text is
// accepted by a compare-and-swap on it:
//
//	book := rules.Book{Store: store}
//	accepted, err := book.Read(ctx)
//	accepted, err = book.Accept(ctx, accepted, "rules.txt", text)
package rules
