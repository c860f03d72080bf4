package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"jaywind"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const (
	testSilence = 200 * time.Millisecond
	answerSize  = 6 // tokens
)

// script writes what a router answers on one connection.
type script struct {
	w       http.ResponseWriter
	request jaywind.RequestID
	from    int // tokens that the caller has
}

func wanted() []jaywind.Token {
	var out []jaywind.Token
	for i := range answerSize {
		out = append(out, jaywind.Token{ID: jaywind.TokenID(i + 1), Text: fmt.Sprint("t", i)})
	}
	return out
}

// token writes the nth token of the answer, counted from 0.
func (s *script) token(n int) {
	all := wanted()
	s.event(jaywind.Bookmark{Request: s.request, Position: jaywind.Position(n + 1), Digest: jaywind.DigestOf(all[:n+1]), Attempt: 1},
		chunk{Token: int64(all[n].ID), Choices: []choice{{Text: all[n].Text}}})
}

func (s *script) tokens(from, to int) {
	for n := from; n < to; n++ {
		s.token(n)
	}
}

func (s *script) end(total int, digest jaywind.Digest) {
	finish := "stop"
	s.event(jaywind.Bookmark{Request: s.request, Position: jaywind.Position(total), Digest: digest, Attempt: 1},
		chunk{Choices: []choice{{Finish: &finish}}, Digest: strconv.FormatUint(uint64(digest), 16)})
}

func (s *script) event(mark jaywind.Bookmark, c chunk) {
	text, _ := json.Marshal(c)
	s.write(fmt.Sprintf("id: %s\ndata: %s\n\n", mark, text))
}

func (s *script) write(text string) {
	_, _ = fmt.Fprint(s.w, text)
	_ = http.NewResponseController(s.w).Flush()
}

func (s *script) rest() {
	s.tokens(s.from, answerSize)
	s.end(answerSize, jaywind.DigestOf(wanted()))
}

// silent writes nothing until the caller has left.
func silent(ctx context.Context) { <-ctx.Done() }

func TestAsk(t *testing.T) {
	tests := map[string]struct {
		first       func(ctx context.Context, s *script) // on the first connection; the others answer to the end
		want        error
		connections int32
	}{
		"whole":                         {first: func(_ context.Context, s *script) { s.rest() }, connections: 1},
		"connection ends in mid-answer": {first: func(_ context.Context, s *script) { s.tokens(0, 3) }, connections: 2},
		"connection goes silent":        {first: func(ctx context.Context, s *script) { s.tokens(0, 3); silent(ctx) }, connections: 2},
		"nothing is ever sent":          {first: func(ctx context.Context, _ *script) { silent(ctx) }, connections: 2},
		"heartbeats while no token comes": {first: func(_ context.Context, s *script) {
			for range 8 {
				s.write(": waiting\n\n")
				time.Sleep(testSilence / 4)
			}
			s.rest()
		}, connections: 1},
		"token is missing":  {first: func(_ context.Context, s *script) { s.token(0); s.token(2) }, want: ErrGap, connections: 1},
		"token is repeated": {first: func(_ context.Context, s *script) { s.token(0); s.token(0) }, want: ErrGap, connections: 1},
		"end comes early": {first: func(_ context.Context, s *script) {
			s.tokens(0, 3)
			s.end(answerSize, jaywind.DigestOf(wanted()))
		}, want: ErrGap, connections: 1},
		"end of another answer": {first: func(_ context.Context, s *script) {
			s.tokens(0, answerSize)
			s.end(answerSize, 7)
		}, want: ErrDigest, connections: 1},
		"token of another answer": {first: func(_ context.Context, s *script) {
			s.token(0)
			s.event(jaywind.Bookmark{Request: s.request, Position: 2, Digest: 7, Attempt: 1}, chunk{Token: 9, Choices: []choice{{Text: "x"}}})
		}, want: ErrDigest, connections: 1},
		"whole answer to another request": {first: func(_ context.Context, s *script) {
			s.request = "another"
			s.rest()
		}, connections: 2},
		"refusal with a time to come back": {first: func(_ context.Context, s *script) {
			s.w.Header().Set("Retry-After", "1")
			s.w.WriteHeader(http.StatusServiceUnavailable)
			s.write(`{"error":{"code":"not_run","retry_after":0.05}}`)
		}, connections: 2},
		"event without a form": {first: func(_ context.Context, s *script) { s.write("id: x\ndata: {\n\n") }, connections: 2},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var connections atomic.Int32
			m := http.NewServeMux()
			m.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
				s := &script{w: w, request: jaywind.RequestID(r.Header.Get("X-Request-Id"))}
				if mark, err := jaywind.ParseBookmark(r.Header.Get("Last-Event-ID")); err == nil {
					s.from = int(mark.Position)
				}
				_, _ = io.Copy(io.Discard, r.Body) // only then is a caller's leaving noticed
				if connections.Add(1) == 1 {
					c.first(r.Context(), s)
					return
				}
				s.rest()
			})
			server := httptest.NewServer(m)
			defer server.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			client := &Client{Entries: []jaywind.Address{jaywind.Address(server.URL)}, Silence: testSilence}
			answer, err := client.Ask(ctx, Question{ID: "mine", Model: "heat", Prompt: "fins", Limit: answerSize})
			is.True(errors.Is(err, c.want))
			is.Equal(connections.Load(), c.connections)
			if c.want == nil {
				is.Equal(answer.Tokens, wanted())
			}
		})
	}
}
