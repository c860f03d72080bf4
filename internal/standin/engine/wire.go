package engine

import (
	"strconv"

	"jaywind"
)

type completionRequest struct {
	Model     string      `json:"model"`
	Version   string      `json:"version"`
	Prompt    string      `json:"prompt"`
	Seed      uint64      `json:"seed"`
	MaxTokens int         `json:"max_tokens"`
	Request   string      `json:"request"`
	Attempt   uint64      `json:"attempt"`
	Priority  int         `json:"priority"`
	Prefix    []wireToken `json:"prefix"`
}

type wireToken struct {
	ID    int64  `json:"id"`
	Text  string `json:"text"`
	Bytes []byte `json:"bytes"`
}

func (p wireToken) token() jaywind.Token {
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
	Text         string  `json:"text"`
	Index        int     `json:"index"`
	FinishReason *string `json:"finish_reason"`
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
		Choices:  []choice{{FinishReason: &finish}},
		Digest:   strconv.FormatUint(uint64(d), 16),
	}
}
