package embed

import (
	"context"

	"jaywind/internal/core/table"
)

// component executes one kind of commands of the core and posts their results as events.
type component interface {
	// execute starts a command without blocking. It returns false if the command belongs to another component.
	execute(ctx context.Context, c table.Command) bool
	// run does the component's background work until ctx is done.
	run(ctx context.Context)
}
