package engine

import (
	"fmt"
	"strconv"
	"time"

	"jaywind"
)

// completion is the body of a call that starts a stream.
type completion struct {
	Model    string  `json:"model"`
	Version  string  `json:"version"`
	Prompt   string  `json:"prompt"`
	Seed     uint64  `json:"seed"`
	Limit    int     `json:"max_tokens"`
	Stream   bool    `json:"stream"`
	Request  string  `json:"request"`
	Attempt  uint64  `json:"attempt"`
	Priority int     `json:"priority,omitempty"`
	Prefix   []piece `json:"prefix,omitempty"`
}

// piece is one token.
type piece struct {
	ID    int64  `json:"id,omitempty"`
	Text  string `json:"text,omitempty"`
	Bytes []byte `json:"bytes,omitempty"` // in place of Text where it is not valid UTF-8
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
	Text   string  `json:"text"`
	Index  int     `json:"index"`
	Finish *string `json:"finish_reason"`
}

type progress struct {
	Position int  `json:"position"`
	Done     bool `json:"done"`
}

type load struct {
	Running int       `json:"running"`
	Queued  int       `json:"queued"`
	At      time.Time `json:"at"`
	Leaving bool      `json:"leaving"`
	Version string    `json:"version"`
	Loaded  []string  `json:"loaded"`
}

type order struct {
	Fence   uint64 `json:"fence"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Action  string `json:"action"`
}

// nameOf returns what the engine knows the work by: runs of one request that
// different routers began must not take each other's place.
func nameOf(w jaywind.Work) string {
	return string(w.Request) + "." + strconv.FormatUint(uint64(w.Run), 10)
}

func completionOf(c jaywind.Call) completion {
	w := completion{
		Model:    string(c.Model),
		Version:  string(c.Version),
		Prompt:   c.Prompt,
		Seed:     uint64(c.Seed),
		Limit:    c.MaxTokens,
		Stream:   true,
		Request:  nameOf(c.Work()),
		Attempt:  uint64(c.Attempt),
		Priority: int(c.Priority),
	}
	for _, t := range c.Prefix {
		w.Prefix = append(w.Prefix, pieceOf(t))
	}
	return w
}

// frame checks a chunk's form and returns what it says.
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
	f.End = c.Choices[0].Finish != nil
	if !f.End {
		f.Token = tokenOf(piece{ID: c.Token, Text: c.Choices[0].Text, Bytes: c.Bytes})
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
