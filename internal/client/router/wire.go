package router

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"jaywind"
)

type completionRequest struct {
	Model     string      `json:"model"`
	Prompt    string      `json:"prompt"`
	MaxTokens int         `json:"max_tokens,omitempty"`
	Stream    bool        `json:"stream"`
	Seed      *uint64     `json:"seed,omitempty"`
	Prefix    []wireToken `json:"prefix,omitempty"`
}

type wireToken struct {
	ID    int64  `json:"id,omitempty"`
	Text  string `json:"text,omitempty"`
	Bytes []byte `json:"bytes,omitempty"`
}

func wireTokenOf(t jaywind.Token) wireToken {
	if utf8.ValidString(t.Text) {
		return wireToken{ID: int64(t.ID), Text: t.Text}
	}
	return wireToken{ID: int64(t.ID), Bytes: []byte(t.Text)}
}

type chunk struct {
	Choices []choice     `json:"choices"`
	Token   int64        `json:"token"`
	Bytes   []byte       `json:"bytes"`
	Digest  string       `json:"digest"`
	Error   *errorDetail `json:"error"`
}

func (c chunk) token() jaywind.Token {
	if len(c.Bytes) > 0 {
		return jaywind.Token{ID: jaywind.TokenID(c.Token), Text: string(c.Bytes)}
	}
	return jaywind.Token{ID: jaywind.TokenID(c.Token), Text: c.Choices[0].Text}
}

type choice struct {
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type errorDetail struct {
	Message    string  `json:"message"`
	Code       string  `json:"code"`
	MayHaveRun bool    `json:"run"`
	RetryAfter float64 `json:"retry_after"`
}

func (p errorDetail) refusal(status int) *Refusal {
	return &Refusal{Status: status, Code: p.Code, Message: p.Message, MayHaveRun: p.MayHaveRun, RetryAfter: seconds(p.RetryAfter)}
}

func seconds(n float64) time.Duration {
	return time.Duration(n * float64(time.Second))
}

func readRefusal(response *http.Response) error {
	var f struct {
		Error errorDetail `json:"error"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&f); err != nil {
		return fmt.Errorf("status %d: %w", response.StatusCode, err)
	}
	r := f.Error.refusal(response.StatusCode)
	if n, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && r.RetryAfter == 0 {
		r.RetryAfter = seconds(n)
	}
	return r
}

// EntryList is the list of entries that an organisation should use.
type EntryList struct {
	Entries []jaywind.Address
	TTL     time.Duration
}

// ListEntries returns the entries that an organisation should use, as listed by the router at an address.
func (c *Client) ListEntries(ctx context.Context, at jaywind.Address, o jaywind.Organisation) (EntryList, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, string(at)+"/v1/entries", nil)
	if err != nil {
		return EntryList{}, err
	}
	request.Header.Set("OpenAI-Organization", string(o))
	response, err := c.transport().RoundTrip(request)
	if err != nil {
		return EntryList{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var w struct {
		Entries []string `json:"entries"`
		Keep    float64  `json:"keep"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&w); err != nil {
		return EntryList{}, fmt.Errorf("decode entries: %w", err)
	}
	list := EntryList{TTL: seconds(w.Keep)}
	for _, a := range w.Entries {
		list.Entries = append(list.Entries, jaywind.Address(a))
	}
	return list, nil
}
