package embed

import (
	"context"

	"jaywind/internal/core/table"
)

// component turns one area's commands into calls and their results into events.
type component interface {
	// execute starts what a command asks for without blocking, or returns false if it is another part's.
	execute(ctx context.Context, c table.Command) bool
	// run does the part's work in the background until ctx ends.
	run(ctx context.Context)
}
