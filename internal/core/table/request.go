package table

import (
	"slices"
	"time"

	"jaywind"
)

// Phase is where a request stands.
type Phase int

// The phases of a request, in their usual order.
const (
	PhaseQueued    Phase = iota // waits for admission
	PhaseReady                  // waits for an endpoint
	PhaseOpening                // an attempt is opened, no frame yet
	PhaseStreaming              // frames arrive
	PhaseProbing                // the stream broke or is silent; the engine is being asked
	PhaseRecalling              // peers are being asked for the tokens before the bookmark
	PhaseEnded
)

// Request is one generation that a caller waits for.
type Request struct {
	ID           jaywind.RequestID
	Organisation jaywind.Organisation
	Model        jaywind.Model
	Route        jaywind.Route
	Prompt       string
	Limit        int // tokens
	Seed         jaywind.Seed
	Priority     jaywind.Priority
	Arrived      time.Time
	Deadline     time.Time // zero for none

	Phase   Phase
	Version jaywind.Version // pinned once a token was taken
	Tokens  []jaywind.Token // taken, from position 0
	Digest  jaywind.Digest  // over Tokens
	Tail    string          // the bytes of a cut rune at the end of Tokens

	Attempt  jaywind.Attempt
	Run      jaywind.Attempt    // that began the work of the endpoint
	Endpoint jaywind.EndpointID // of the current attempt
	Reuse    bool               // the next attempt resumes the endpoint's own stream
	Sent     bool               // bytes of some attempt may have left
	Held     bool               // the attempt counts in its endpoint's Inflight

	Begun     time.Time // of the endpoint's work, by this router
	Opened    time.Time // of the current attempt
	LastFrame time.Time
	BrokenAt  time.Time // when output stopped; zero while it runs
	Probes    int       // since the last frame
	ProbeSent time.Time // zero when no probe is out
	NextProbe time.Time
	Answered  time.Time                   // when the endpoint last said that it is no further; zero after a frame
	Avoid     map[jaywind.EndpointID]bool // endpoints that failed this request since its last frame
	Tries     int                         // attempts opened since the last frame
	Waits     int                         // times without an endpoint since the last frame
	NextTry   time.Time                   // earliest time of the next attempt
	Resumes   int
	Reopens   int              // connections to one endpoint since the last token
	Moves     int              // endpoints left since the last token
	Made      jaywind.Position // how far the endpoint of the attempt is known to be

	Listener Listener          // 0 while the caller is gone
	GoneAt   time.Time         // when the caller went
	Keeps    bool              // the caller sends back the tokens that it has read
	CatchUp  *jaywind.Bookmark // tokens up to here are taken again but not delivered
}

// Position returns the next position to take.
func (r *Request) Position() jaywind.Position {
	return jaywind.Position(len(r.Tokens))
}

// Take adds a token to the answer.
func (r *Request) Take(t jaywind.Token) {
	r.Tokens = append(r.Tokens, t)
	r.Digest = r.Digest.Add(t)
	r.Tail = jaywind.TailAfter(r.Tail, t)
}

// TakeAll adds tokens that are known from elsewhere.
func (r *Request) TakeAll(tokens []jaywind.Token) {
	r.Tokens = slices.Grow(r.Tokens, len(tokens))
	for _, t := range tokens {
		r.Take(t)
	}
}

// Pinned tells whether the generation may only go on with its version.
func (r *Request) Pinned() bool {
	return len(r.Tokens) > 0 || r.CatchUp != nil
}

// Bookmark returns the bookmark of the last token taken.
func (r *Request) Bookmark() jaywind.Bookmark {
	return jaywind.Bookmark{
		Request:  r.ID,
		Position: r.Position(),
		Digest:   r.Digest,
		Attempt:  r.Attempt,
		Run:      r.Run,
		Endpoint: r.Endpoint,
		Version:  r.Version,
		Seed:     r.Seed,
	}
}

const bytesPerToken = 4 // of a prompt whose tokens are not known

// Prefill estimates the tokens that an engine computes before the next one, unless it resumes its own stream.
func (r *Request) Prefill() int {
	if r.Reuse {
		return 0
	}
	return len(r.Prompt)/bytesPerToken + len(r.Tokens)
}
