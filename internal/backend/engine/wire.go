package engine

import (
	"fmt"
	"strconv"
	"time"

	"jaywind"
)

// completionRequest is the body of a request that starts a stream.
type completionRequest struct {
	Model     string      `json:"model"`
	Version   string      `json:"version"`
	Prompt    string      `json:"prompt"`
	Seed      uint64      `json:"seed"`
	MaxTokens int         `json:"max_tokens"`
	Stream    bool        `json:"stream"`
	Request   string      `json:"request"`
	Attempt   uint64      `json:"attempt"`
	Priority  int         `json:"priority,omitempty"`
	Prefix    []wireToken `json:"prefix,omitempty"`
}

// wireToken is a token in the JSON encoding.
type wireToken struct {
	ID    int64  `json:"id,omitempty"`
	Text  string `json:"text,omitempty"`
	Bytes []byte `json:"bytes,omitempty"` // replaces Text when the token is not valid UTF-8
}

// chunk is the data of one server-sent event.
type chunk struct {
	Request  string   `json:"id"`
	Attempt  uint64   `json:"attempt"`
	Position int      `json:"position"`
	Token    int64    `json:"token,omitempty"`
	Bytes    []byte   `json:"bytes,omitempty"`
	Choices  []choice `json:"choices"`
	Digest   string   `json:"digest,omitempty"`
}

type choice struct {
	Text         string  `json:"text"`
	Index        int     `json:"index"`
	FinishReason *string `json:"finish_reason"`
}

type progress struct {
	Position int  `json:"position"`
	Done     bool `json:"done"`
}

type load struct {
	Running    int       `json:"running"`
	Queued     int       `json:"queued"`
	MeasuredAt time.Time `json:"at"`
	Leaving    bool      `json:"leaving"`
	Version    string    `json:"version"`
	Loaded     []string  `json:"loaded"`
}

type order struct {
	Fence   uint64 `json:"fence"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Action  string `json:"action"`
}

// workName returns the name that identifies the work at the engine. It contains the run, so that runs of
// one request that different routers began don't replace each other.
func workName(w jaywind.Work) string {
	return string(w.Request) + "." + strconv.FormatUint(uint64(w.Run), 10)
}

func completionOf(c jaywind.Call) completionRequest {
	w := completionRequest{
		Model:     string(c.Model),
		Version:   string(c.Version),
		Prompt:    c.Prompt,
		Seed:      uint64(c.Seed),
		MaxTokens: c.MaxTokens,
		Stream:    true,
		Request:   workName(c.Work()),
		Attempt:   uint64(c.Attempt),
		Priority:  int(c.Priority),
	}
	for _, t := range c.Prefix {
		w.Prefix = append(w.Prefix, wireTokenOf(t))
	}
	return w
}

// frame validates a chunk and converts it to a frame.
func (c chunk) frame() (jaywind.Frame, error) {
	if len(c.Choices) != 1 {
		return jaywind.Frame{}, fmt.Errorf("%w: choices: %d, want 1", jaywind.ErrBadFrame, len(c.Choices))
	}
	if c.Position < 0 {
		return jaywind.Frame{}, fmt.Errorf("%w: position: %d", jaywind.ErrBadFrame, c.Position)
	}
	f := jaywind.Frame{
		Request:  jaywind.RequestID(c.Request),
		Attempt:  jaywind.Attempt(c.Attempt),
		Position: jaywind.Position(c.Position),
	}
	f.End = c.Choices[0].FinishReason != nil
	if !f.End {
		f.Token = tokenOf(wireToken{ID: c.Token, Text: c.Choices[0].Text, Bytes: c.Bytes})
	}
	if c.Digest == "" && !f.End {
		return f, nil
	}
	digest, err := strconv.ParseUint(c.Digest, 16, 64)
	if err != nil {
		return jaywind.Frame{}, fmt.Errorf("%w: digest: %w", jaywind.ErrBadFrame, err)
	}
	f.Digest = jaywind.Digest(digest)
	return f, nil
}
