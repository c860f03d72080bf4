package caller

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// completionRequest is the body of POST /v1/completions.
type completionRequest struct {
	Model     string      `json:"model"`
	Prompt    string      `json:"prompt"`
	MaxTokens int         `json:"max_tokens"`
	Stream    bool        `json:"stream"`
	Seed      *uint64     `json:"seed"`
	Prefix    []wireToken `json:"prefix"` // tokens received so far, on a reconnect
}

// wireToken is a token in the JSON encoding.
type wireToken struct {
	ID    int64  `json:"id,omitempty"`
	Text  string `json:"text,omitempty"`
	Bytes []byte `json:"bytes,omitempty"` // replaces Text when the token is not valid UTF-8
}

func (p wireToken) token() jaywind.Token {
	if len(p.Bytes) > 0 {
		return jaywind.Token{ID: jaywind.TokenID(p.ID), Text: string(p.Bytes)}
	}
	return jaywind.Token{ID: jaywind.TokenID(p.ID), Text: p.Text}
}

// chunk is the data of one event, or the body of an answer that is not streamed.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Token   int64    `json:"token,omitempty"`
	Bytes   []byte   `json:"bytes,omitempty"`
	Usage   *usage   `json:"usage,omitempty"`
	Digest  string   `json:"digest,omitempty"`
}

type choice struct {
	Text         string  `json:"text"`
	Index        int     `json:"index"`
	Logprobs     *string `json:"logprobs"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message    string  `json:"message"`
	Type       string  `json:"type"`
	Code       string  `json:"code"`
	MayHaveRun bool    `json:"run"`                   // false only if the request certainly was not run
	RetryAfter float64 `json:"retry_after,omitempty"` // seconds
	Entry      string  `json:"entry,omitempty"`       // another entry to try
}

// generationRequest validates a request and converts it for the router.
func generationRequest(r *http.Request, c completionRequest, id jaywind.RequestID, seed jaywind.Seed) (table.GenerationRequest, error) {
	a := table.GenerationRequest{
		ID:           id,
		Organisation: organisationOf(r),
		Model:        jaywind.Model(c.Model),
		Route:        jaywind.Route(r.Header.Get("X-Route")),
		Prompt:       c.Prompt,
		MaxTokens:    c.MaxTokens,
		Seed:         seed,
		Retry:        r.Header.Get("X-Retry") != "",
		KeepsTokens:  r.Header.Get("X-Keeps-Tokens") != "",
	}
	if c.Seed != nil {
		a.Seed = jaywind.Seed(*c.Seed)
	}
	if a.MaxTokens == 0 {
		a.MaxTokens = defaultMaxTokens
	}
	if err := checkID(id); err != nil {
		return a, fmt.Errorf("X-Request-Id: %w", err)
	}
	if c.Model == "" {
		return a, fmt.Errorf("model: missing")
	}
	if a.MaxTokens < 0 || a.MaxTokens > maxTokensLimit {
		return a, fmt.Errorf("max_tokens: want 1 to %d, got %d", maxTokensLimit, a.MaxTokens)
	}
	for _, p := range c.Prefix {
		a.Prefix = append(a.Prefix, p.token())
	}
	text := r.Header.Get("Last-Event-ID")
	if text == "" {
		return a, nil
	}
	bookmark, err := jaywind.ParseBookmark(text)
	if err != nil {
		return a, fmt.Errorf("Last-Event-ID: %w", err)
	}
	if bookmark.Request != id {
		return a, fmt.Errorf("Last-Event-ID: of request %q, not %q", bookmark.Request, id)
	}
	a.Bookmark = &bookmark
	return a, nil
}

const maxRequestIDBytes = 128

// checkID rejects ids that can't be carried unchanged in a URL path or a header.
func checkID(id jaywind.RequestID) error {
	if len(id) > maxRequestIDBytes {
		return fmt.Errorf("longer than %d bytes", maxRequestIDBytes)
	}
	for _, c := range id {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && !strings.ContainsRune("-_.:", c) {
			return fmt.Errorf("%q: want letters, digits and -_.: only", c)
		}
	}
	return nil
}

func writeError(w http.ResponseWriter, status int, code, message string, retry time.Duration) {
	if retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retry.Seconds()))))
	}
	writeJSON(w, status, errorResponse{Error: newErrorDetail(code, message, false, retry)})
}

func newErrorDetail(code, message string, mayHaveRun bool, retry time.Duration) errorDetail {
	return errorDetail{Message: message, Type: strings.ReplaceAll(code, "_", " "), Code: code, MayHaveRun: mayHaveRun, RetryAfter: retry.Seconds()}
}
