// Package rules stores the operators' rules in the platform's key-value store.
//
// One key, the head, holds the accepted version and is swapped atomically. A
// small text is stored in the head itself. A large one is split into chunks at
// content-defined boundaries; the chunks are written before the head, under keys
// that no other writer uses:
//
//	repository := rules.Repository{Store: store, Nonce: nonce}
//	base, err := repository.Read(ctx)
//	accepted, err := repository.Accept(ctx, base, text)
//	if errors.Is(err, jaywind.ErrRevisionConflict) {
//		other, err := repository.Read(ctx)
//		fmt.Print(rules.Diff(base.Text, other.Text))
//	}
//
// A writer adds itself to a list of pending writers before it writes chunks. The
// writer that commits a version then deletes the chunks of all pending writers
// that lost to it, and the chunks of the previous version that the new one does
// not use. So unused chunks are bounded by the writers since the last commit.
package rules
