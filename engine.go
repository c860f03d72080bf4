package jaywind

import (
	"context"
	"errors"
	"time"
)

// ErrNotSent is wrapped by errors from before the first byte was sent; the call has certainly not run.
var ErrNotSent = errors.New("not sent")

// ErrNoStream is returned if the engine has no stream of the request that could be resumed.
var ErrNoStream = errors.New("engine keeps no such stream")

// ErrBusy is returned if the endpoint itself refused the call and has not run it.
var ErrBusy = errors.New("endpoint refused the call")

// ErrFenced is returned if an endpoint has already seen a higher fencing number.
var ErrFenced = errors.New("fencing number is old")

// ErrBadFrame is wrapped by errors for malformed frames.
var ErrBadFrame = errors.New("bad frame")

// Work identifies an engine's work on a request by the attempt that began it.
// Two routers that run the same request have separate work at the same engine.
type Work struct {
	Request RequestID
	Run     Attempt // the attempt that began it
}

// Call asks an engine for a generation from a position onwards.
type Call struct {
	Request   RequestID
	Attempt   Attempt
	Run       Attempt // the attempt that began the work; equal to Attempt unless resuming
	Model     Model
	Version   Version
	Prompt    string
	Seed      Seed
	MaxTokens int // maximum tokens in the whole answer
	Priority  Priority
	Resume    bool     // resume the engine's own stream instead of starting from Prefix
	Position  Position // position of the first token to send
	Prefix    []Token  // the exact tokens before that position, unless resuming
}

// Work returns the work that the call begins or resumes.
func (c Call) Work() Work { return Work{Request: c.Request, Run: c.Run} }

// Frame is a message of an engine's stream: a token, or the end of the answer.
type Frame struct {
	Request  RequestID
	Attempt  Attempt
	Position Position // position of the token; at the end, the number of tokens
	Token    Token
	End      bool
	Digest   Digest // of the answer up to and including this frame; 0 on a token if the engine sends none
}

// Progress is an engine's progress on a request.
type Progress struct {
	Position Position
	Done     bool
}

// Load is an engine's load report, which lags behind.
type Load struct {
	Running    int
	Queued     int
	MeasuredAt time.Time
	Leaving    bool
	Version    Version
	Loaded     []Version // versions whose weights are ready to serve
}

// Order tells an endpoint which state to reach.
type Order struct {
	Fence   Fence
	Model   Model
	Version Version
	Action  Action
}

// Action is what an Order asks for.
type Action string

// Actions that endpoints support.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
	ActionServe  Action = "serve"
)

// Stream is the stream of frames of one attempt.
type Stream interface {
	// Next returns the next frame, io.EOF after the connection was closed, or an error that wraps ErrBadFrame.
	Next() (Frame, error)
	// Close closes the connection without cancelling the engine's work.
	Close() error
}

// Engine is a client of model engines.
type Engine interface {
	// Open starts or resumes a stream; errors wrap ErrNotSent, ErrNoStream or ErrBusy if that is known to be the cause.
	Open(ctx context.Context, at Address, c Call) (Stream, error)
	// Probe asks for the progress of work over a new connection, or returns ErrNoStream.
	Probe(ctx context.Context, at Address, w Work) (Progress, error)
	// Cancel cancels work unless an attempt later than a has resumed it.
	Cancel(ctx context.Context, at Address, w Work, a Attempt) error
	// Load reads the engine's load report.
	Load(ctx context.Context, at Address) (Load, error)
	// Order sends an order, or returns ErrFenced.
	Order(ctx context.Context, at Address, o Order) error
}
