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

// completion is the body of a request.
type completion struct {
	Model  string  `json:"model"`
	Prompt string  `json:"prompt"`
	Limit  int     `json:"max_tokens"`
	Stream bool    `json:"stream"`
	Seed   *uint64 `json:"seed"`
	Prefix []piece `json:"prefix"` // the tokens read so far, on a reconnect
}

// piece is one token.
type piece struct {
	ID    int64  `json:"id,omitempty"`
	Text  string `json:"text,omitempty"`
	Bytes []byte `json:"bytes,omitempty"` // in place of Text where it is not valid UTF-8
}

func (p piece) token() jaywind.Token {
	if len(p.Bytes) > 0 {
		return jaywind.Token{ID: jaywind.TokenID(p.ID), Text: string(p.Bytes)}
	}
	return jaywind.Token{ID: jaywind.TokenID(p.ID), Text: p.Text}
}

// chunk is the data of one event, or the whole answer when it is not streamed.
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
	Text     string  `json:"text"`
	Index    int     `json:"index"`
	Logprobs *string `json:"logprobs"`
	Finish   *string `json:"finish_reason"`
}

type usage struct {
	Completion int `json:"completion_tokens"`
}

type failure struct {
	Error problem `json:"error"`
}

type problem struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Run     bool    `json:"run"`                   // false: certainly not run
	Retry   float64 `json:"retry_after,omitempty"` // seconds
	Entry   string  `json:"entry,omitempty"`       // another entry to ask instead
}

// askOf checks a request and returns what it asks for.
func askOf(r *http.Request, c completion, id jaywind.RequestID, seed jaywind.Seed) (table.GenerationRequest, error) {
	a := table.GenerationRequest{
		ID:           id,
		Organisation: organisationOf(r),
		Model:        jaywind.Model(c.Model),
		Route:        jaywind.Route(r.Header.Get("X-Route")),
		Prompt:       c.Prompt,
		MaxTokens:    c.Limit,
		Seed:         seed,
		Retry:        r.Header.Get("X-Retry") != "",
		KeepsTokens:  r.Header.Get("X-Keeps-Tokens") != "",
	}
	if c.Seed != nil {
		a.Seed = jaywind.Seed(*c.Seed)
	}
	if a.MaxTokens == 0 {
		a.MaxTokens = defaultLimit
	}
	if err := checkID(id); err != nil {
		return a, fmt.Errorf("X-Request-Id: %w", err)
	}
	if c.Model == "" {
		return a, fmt.Errorf("model: missing")
	}
	if a.MaxTokens < 0 || a.MaxTokens > maxLimit {
		return a, fmt.Errorf("max_tokens: want 1 to %d, got %d", maxLimit, a.MaxTokens)
	}
	for _, p := range c.Prefix {
		a.Prefix = append(a.Prefix, p.token())
	}
	text := r.Header.Get("Last-Event-ID")
	if text == "" {
		return a, nil
	}
	mark, err := jaywind.ParseBookmark(text)
	if err != nil {
		return a, fmt.Errorf("Last-Event-ID: %w", err)
	}
	if mark.Request != id {
		return a, fmt.Errorf("Last-Event-ID: of request %q, not %q", mark.Request, id)
	}
	a.Bookmark = &mark
	return a, nil
}

const idLimit = 128 // bytes of a request id

// checkID keeps out ids that do not survive a URL's path or a header.
func checkID(id jaywind.RequestID) error {
	if len(id) > idLimit {
		return fmt.Errorf("longer than %d bytes", idLimit)
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
	writeJSON(w, status, failure{Error: problemOf(code, message, false, retry)})
}

func problemOf(code, message string, run bool, retry time.Duration) problem {
	return problem{Message: message, Type: strings.ReplaceAll(code, "_", " "), Code: code, Run: run, Retry: retry.Seconds()}
}
