package jaywind

import "context"

// Reporter sends the reports of moves directly to other routers.
type Reporter interface {
	// Report sends a report within ctx's deadline and returns the router's answer; a Note without a Kind means no answer.
	Report(ctx context.Context, at Address, n Note) (Note, error)
}
