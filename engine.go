package jaywind

import (
	"context"
	"errors"
	"time"
)

// ErrNotSent wraps a failure before the first byte was sent, so the call was certainly not run.
var ErrNotSent = errors.New("not sent")

// ErrNoStream is returned when the engine keeps no stream of the request to resume.
var ErrNoStream = errors.New("engine keeps no such stream")

// ErrBusy is returned when the endpoint itself says that it did not run the call.
var ErrBusy = errors.New("endpoint refused the call")

// ErrFenced is returned when an endpoint has seen a higher fencing number.
var ErrFenced = errors.New("fencing number is old")

// ErrFrame wraps a frame that breaks the stream's form.
var ErrFrame = errors.New("bad frame")

// Work is what an engine does for one request since the attempt that began it;
// two routers that run the same request have work of their own at an engine.
type Work struct {
	Request RequestID
	Run     Attempt // the attempt that began it
}

// Call asks an engine for the part of a generation from a position on.
type Call struct {
	Request  RequestID
	Attempt  Attempt
	Run      Attempt // the attempt that began the work; Attempt itself, unless resuming
	Model    Model
	Version  Version
	Prompt   string
	Seed     Seed
	Limit    int // tokens in the whole answer
	Priority Priority
	Resume   bool     // resume the engine's own stream instead of starting from Prefix
	From     Position // first position wanted
	Prefix   []Token  // the exact tokens before From, when not resuming
}

// Work returns the work that the call begins or resumes.
func (c Call) Work() Work { return Work{Request: c.Request, Run: c.Run} }

// Frame is one message of an engine's stream: a token, or the end.
type Frame struct {
	Request  RequestID
	Attempt  Attempt
	Position Position // of the token; at the end, the total
	Token    Token
	End      bool
	Digest   Digest // over the answer up to and with this frame; 0 on a token where the engine gives none
}

// Progress is how far an engine has got with a request.
type Progress struct {
	Position Position
	Done     bool
}

// Load is an engine's own report, which lags behind.
type Load struct {
	Running int
	Queued  int
	At      time.Time
	Leaving bool
	Version Version
	Loaded  []Version // versions whose weights are ready to serve
}

// Order tells an endpoint the state that it should come to.
type Order struct {
	Fence   Fence
	Model   Model
	Version Version
	Action  Action
}

// Action is what an Order asks for.
type Action string

// The actions that endpoints know.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
	ActionServe  Action = "serve"
)

// Stream yields the frames of one attempt.
type Stream interface {
	// Next returns the next frame, io.EOF after a closed connection, or an error that wraps ErrFrame.
	Next() (Frame, error)
	// Close ends the connection without cancelling the work behind it.
	Close() error
}

// Engine speaks to model engines.
type Engine interface {
	// Open starts or resumes a stream; errors wrap ErrNotSent, ErrNoStream or ErrBusy where that is known.
	Open(ctx context.Context, at Address, c Call) (Stream, error)
	// Probe asks over a new connection how far some work has got, or returns ErrNoStream.
	Probe(ctx context.Context, at Address, w Work) (Progress, error)
	// Cancel ends work unless an attempt after a has resumed it.
	Cancel(ctx context.Context, at Address, w Work, a Attempt) error
	// Load reads the engine's load report.
	Load(ctx context.Context, at Address) (Load, error)
	// Order gives an order, or returns ErrFenced.
	Order(ctx context.Context, at Address, o Order) error
}
