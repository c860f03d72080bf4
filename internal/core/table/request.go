package table

import (
	"slices"
	"time"

	"jaywind"
)

// Phase is the state of a request.
type Phase int

// Phases of a request, in their usual order.
const (
	PhaseQueued    Phase = iota // waiting for admission
	PhaseReady                  // waiting for an endpoint
	PhaseOpening                // an attempt has been opened, no frame has arrived yet
	PhaseStreaming              // frames are arriving
	PhaseProbing                // the stream broke or is silent; the engine is being asked for its progress
	PhaseRecalling              // peers are being asked for the tokens before the bookmark
	PhaseEnded
)

// Request is one generation, with its attempts and its caller.
type Request struct {
	ID           jaywind.RequestID
	Organisation jaywind.Organisation
	Model        jaywind.Model
	Route        jaywind.Route
	Prompt       string
	MaxTokens    int // tokens in the answer
	Seed         jaywind.Seed
	Priority     jaywind.Priority
	Arrived      time.Time
	Deadline     time.Time // zero for none

	Phase       Phase
	Version     jaywind.Version // fixed once a token has been received
	Tokens      []jaywind.Token // received so far, from position 0
	Digest      jaywind.Digest  // digest of Tokens
	PartialRune string          // bytes of an incomplete rune at the end of Tokens

	Attempt        jaywind.Attempt
	Run            jaywind.Attempt    // the attempt that began the endpoint's work
	Endpoint       jaywind.EndpointID // endpoint of the current attempt
	ReuseStream    bool               // the next attempt resumes the stream that the endpoint already has
	Sent           bool               // bytes of some attempt may have been sent
	CountsInflight bool               // the attempt is counted in its endpoint's Inflight

	WorkStartedAt  time.Time // when this router began the endpoint's work
	OpenedAt       time.Time // when the current attempt was opened
	LastFrameAt    time.Time
	BrokenAt       time.Time // when output stopped; zero while tokens arrive
	Probes         int       // number of probes since the last frame
	ProbeSentAt    time.Time // zero if no probe is outstanding
	NextProbe      time.Time
	NoProgressAt   time.Time                   // when a probe last found no further progress; zero after a frame
	Avoid          map[jaywind.EndpointID]bool // endpoints that failed this request since its last frame
	Tries          int                         // attempts opened since the last frame
	Waits          int                         // times that no endpoint was found since the last frame
	NextTry        time.Time                   // earliest time of the next attempt
	Resumes        int
	Reopens        int              // reconnections to the same endpoint since the last token
	Moves          int              // changes of endpoint since the last token
	EnginePosition jaywind.Position // highest position that the attempt's endpoint is known to have reached

	Listener    Listener          // 0 while the caller is disconnected
	GoneAt      time.Time         // when the caller disconnected
	KeepsTokens bool              // on a reconnect, the caller sends back the tokens that it has read
	CatchUp     *jaywind.Bookmark // tokens up to here are generated again but not delivered
}

// Position returns the position of the next token.
func (r *Request) Position() jaywind.Position {
	return jaywind.Position(len(r.Tokens))
}

// AppendToken adds a token to the answer.
func (r *Request) AppendToken(t jaywind.Token) {
	r.Tokens = append(r.Tokens, t)
	r.Digest = r.Digest.Add(t)
	r.PartialRune = jaywind.PartialRuneAfter(r.PartialRune, t)
}

// AppendTokens adds tokens that are already known, such as those from a peer's record.
func (r *Request) AppendTokens(tokens []jaywind.Token) {
	r.Tokens = slices.Grow(r.Tokens, len(tokens))
	for _, t := range tokens {
		r.AppendToken(t)
	}
}

// Pinned tells whether the generation can only continue on its current version.
func (r *Request) Pinned() bool {
	return len(r.Tokens) > 0 || r.CatchUp != nil
}

// Bookmark returns the bookmark after the last token received.
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

const bytesPerToken = 4 // assumed for prompts, whose tokens are not known

// PrefillTokens estimates how many tokens an engine has to prefill for the next attempt; 0 if it resumes its own stream.
func (r *Request) PrefillTokens() int {
	if r.ReuseStream {
		return 0
	}
	return len(r.Prompt)/bytesPerToken + len(r.Tokens)
}
