package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"jaywind"
	"jaywind/embed"
	"jaywind/internal/core/rule"
)

// scriptedEngine is an engine that always generates the same tokens.
type scriptedEngine struct {
	jaywind.Engine
	tokens []jaywind.Token
}

func (s scriptedEngine) Open(_ context.Context, _ jaywind.Address, c jaywind.Call) (jaywind.Stream, error) {
	return &scriptedStream{tokens: s.tokens, call: c, next: int(c.Position)}, nil
}

func (s scriptedEngine) Probe(context.Context, jaywind.Address, jaywind.Work) (jaywind.Progress, error) {
	return jaywind.Progress{Position: jaywind.Position(len(s.tokens)), Done: true}, nil
}

func (s scriptedEngine) Cancel(context.Context, jaywind.Address, jaywind.Work, jaywind.Attempt) error {
	return nil
}

func (s scriptedEngine) Load(context.Context, jaywind.Address) (jaywind.Load, error) {
	return jaywind.Load{}, nil
}

type scriptedStream struct {
	tokens []jaywind.Token
	call   jaywind.Call
	next   int
}

func (l *scriptedStream) Next() (jaywind.Frame, error) {
	f := jaywind.Frame{Request: l.call.Request, Attempt: l.call.Attempt, Position: jaywind.Position(l.next)}
	switch {
	case l.next < len(l.tokens):
		f.Token = l.tokens[l.next]
	case l.next == len(l.tokens):
		f.End = true
		f.Digest = jaywind.DigestOf(l.tokens)
	default:
		return f, io.EOF
	}
	l.next++
	return f, nil
}

func (l *scriptedStream) Close() error { return nil }

func newServer(t *testing.T, tokens []jaywind.Token) *httptest.Server {
	s, _ := newServerWith(t, scriptedEngine{tokens: tokens})
	return s
}

// newServerWith starts a server before an engine; stop stops its router.
func newServerWith(t *testing.T, e jaywind.Engine) (s *httptest.Server, stop func()) {
	r := &embed.Router{Self: "vm1", Engine: e}
	set := rule.NewSet()
	set.Models["m"] = rule.Model{Name: "m", Version: "v"}
	set.Endpoints["e"] = rule.Endpoint{ID: "e", Kind: rule.KindEngine, Model: "m", Version: "v", URL: "http://127.0.0.1:1"}
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = r.Run(ctx) })
	r.SetRules(1, set)
	s = httptest.NewServer((&Handler{Router: r}).Mux())
	stop = func() { cancel(); group.Wait() }
	t.Cleanup(func() { stop(); s.Close() })
	return s, stop
}

// read reads events until it has limit tokens or the stream ends, and returns the text, the tokens and the last id.
func read(t *testing.T, s *httptest.Server, mark string, limit int) (text string, tokens []jaywind.Token, last string) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	body := `{"model":"m","prompt":"p","stream":true,"max_tokens":4}`
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/v1/completions", strings.NewReader(body))
	is.NoErr(err)
	request.Header.Set("X-Request-Id", "r1")
	request.Header.Set("Last-Event-ID", mark)
	response, err := http.DefaultTransport.RoundTrip(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	is.Equal(response.StatusCode, http.StatusOK)
	for lines := bufio.NewScanner(response.Body); len(tokens) < limit && lines.Scan(); {
		if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
			last = id
		}
		data, found := strings.CutPrefix(lines.Text(), "data: {")
		if !found {
			continue
		}
		var c chunk
		is.NoErr(json.Unmarshal([]byte("{"+data), &c))
		text += c.Choices[0].Text
		if c.Choices[0].FinishReason == nil {
			tokens = append(tokens, wireToken{ID: c.Token, Text: c.Choices[0].Text, Bytes: c.Bytes}.token())
		}
	}
	return text, tokens, last
}

func TestCutRunes(t *testing.T) {
	tests := map[string]struct {
		texts []string
		want  string
	}{
		"no cut":              {texts: []string{"a", "é", "b", "c"}, want: "aébc"},
		"cut in two":          {texts: []string{"a\xc3", "\xa9", "b", "c"}, want: "aéb" + "c"},
		"cut in four":         {texts: []string{"\xf0", "\x9f", "\x98", "\x80"}, want: "😀"},
		"empty token between": {texts: []string{"a\xc3", "", "\xa9b", "c"}, want: "aébc"},
		"never completed":     {texts: []string{"a", "b", "c", "\xe2\x82"}, want: "abc\ufffd\ufffd"},
		"not UTF-8":           {texts: []string{"a", "\xff", "b", "c"}, want: "a\ufffdbc"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var all []jaywind.Token
			for _, text := range c.texts {
				all = append(all, jaywind.Token{Text: text}) // without ids, so that the digest covers the text
			}
			for cut := range len(all) {
				is := is.New(t)
				s := newServer(t, all)
				var before string
				var tokens []jaywind.Token
				var mark string
				if cut > 0 {
					before, tokens, mark = read(t, s, "", cut)
				}
				after, rest, _ := read(t, s, mark, len(all)+1)
				is.Equal(before+after, c.want) // the text fields alone are complete across the reconnect
				is.Equal(append(tokens, rest...), all)
			}
		})
	}
}

func TestBadRequests(t *testing.T) {
	tests := map[string]struct {
		id, mark, body string
		want           string // in the message
	}{
		"id with a slash":     {id: "a/b", body: `{"model":"m"}`, want: "X-Request-Id"},
		"id too long":         {id: strings.Repeat("a", maxRequestIDBytes+1), body: `{"model":"m"}`, want: "X-Request-Id"},
		"mark of another id":  {id: "r2", mark: "r1~1~0~0~0~e~v~0", body: `{"model":"m"}`, want: "Last-Event-ID"},
		"mark is no bookmark": {id: "r1", mark: "7", body: `{"model":"m"}`, want: "Last-Event-ID"},
		"no model":            {id: "r1", body: `{}`, want: "model"},
		"wrong type":          {id: "r1", body: `{"model":"m","max_tokens":"4"}`, want: "max_tokens"},
		"too many tokens":     {id: "r1", body: `{"model":"m","max_tokens":1000000}`, want: "max_tokens"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newServer(t, nil)
			request, err := http.NewRequest(http.MethodPost, s.URL+"/v1/completions", strings.NewReader(c.body))
			is.NoErr(err)
			request.Header.Set("X-Request-Id", c.id)
			request.Header.Set("Last-Event-ID", c.mark)
			response, err := s.Client().Do(request)
			is.NoErr(err)
			defer func() { _ = response.Body.Close() }()
			text, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusBadRequest)
			is.True(strings.Contains(string(text), c.want))
		})
	}
}

// haltingEngine generates one token and then nothing.
type haltingEngine struct {
	scriptedEngine
	halted chan struct{} // closed when the token was generated
}

func (e haltingEngine) Open(ctx context.Context, _ jaywind.Address, c jaywind.Call) (jaywind.Stream, error) {
	return &haltingStream{ctx: ctx, call: c, halted: e.halted}, nil
}

type haltingStream struct {
	ctx    context.Context
	call   jaywind.Call
	halted chan struct{}
	begun  bool
}

func (l *haltingStream) Next() (jaywind.Frame, error) {
	if !l.begun {
		l.begun = true
		return jaywind.Frame{Request: l.call.Request, Attempt: l.call.Attempt, Token: jaywind.Token{Text: "a"}}, nil
	}
	close(l.halted)
	<-l.ctx.Done()
	return jaywind.Frame{}, l.ctx.Err()
}

func (l *haltingStream) Close() error { return nil }

// TestAnswerCutOff fails if an answer that ends before its last token, as its router stops, looks complete to the caller.
func TestAnswerCutOff(t *testing.T) {
	for name, stream := range map[string]bool{"stream": true, "one body": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			halted := make(chan struct{})
			s, stop := newServerWith(t, haltingEngine{halted: halted})
			var group conc.WaitGroup
			group.Go(func() { <-halted; stop() })
			body := fmt.Sprintf(`{"model":"m","prompt":"p","stream":%t,"max_tokens":4}`, stream)
			request, err := http.NewRequest(http.MethodPost, s.URL+"/v1/completions", strings.NewReader(body))
			is.NoErr(err)
			response, err := http.DefaultTransport.RoundTrip(request)
			group.Wait()
			if err != nil {
				return // no answer is none that looks complete
			}
			defer func() { _ = response.Body.Close() }()
			text, err := io.ReadAll(response.Body)
			t.Logf("status %d, %q, %v", response.StatusCode, text, err)
			is.True(err != nil || response.StatusCode != http.StatusOK)
		})
	}
}
