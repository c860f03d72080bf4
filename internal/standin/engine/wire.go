package engine

import (
	"strconv"

	"jaywind"
)

type completion struct {
	Model    string  `json:"model"`
	Version  string  `json:"version"`
	Prompt   string  `json:"prompt"`
	Seed     uint64  `json:"seed"`
	Limit    int     `json:"max_tokens"`
	Request  string  `json:"request"`
	Attempt  uint64  `json:"attempt"`
	Priority int     `json:"priority"`
	Prefix   []piece `json:"prefix"`
}

type piece struct {
	ID    int64  `json:"id"`
	Text  string `json:"text"`
	Bytes []byte `json:"bytes"`
}

func (p piece) token() jaywind.Token {
	text := p.Text
	if len(p.Bytes) > 0 {
		text = string(p.Bytes)
	}
	return jaywind.Token{ID: jaywind.TokenID(p.ID), Text: text}
}

type chunk struct {
	Request  string   `json:"id"`
	Object   string   `json:"object"`
	Attempt  uint64   `json:"attempt"`
	Position int      `json:"position"`
	Token    int64    `json:"token,omitempty"`
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

func tokenChunk(request string, a jaywind.Attempt, position int, t jaywind.Token, d jaywind.Digest) chunk {
	return chunk{
		Request:  request,
		Object:   "text_completion",
		Attempt:  uint64(a),
		Position: position,
		Token:    int64(t.ID),
		Choices:  []choice{{Text: t.Text}},
		Digest:   strconv.FormatUint(uint64(d), 16),
	}
}

func endChunk(request string, a jaywind.Attempt, total int, d jaywind.Digest) chunk {
	finish := "stop"
	return chunk{
		Request:  request,
		Object:   "text_completion",
		Attempt:  uint64(a),
		Position: total,
		Choices:  []choice{{Finish: &finish}},
		Digest:   strconv.FormatUint(uint64(d), 16),
	}
}
