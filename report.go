package jaywind

import "context"

// Reporter hands the reports of moves to other routers directly.
type Reporter interface {
	// Report hands over one report within ctx's deadline and returns what the router answers, or a Note without a Kind.
	Report(ctx context.Context, at Address, n Note) (Note, error)
}
