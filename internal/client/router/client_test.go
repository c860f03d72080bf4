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
	testIdleTimeout = 200 * time.Millisecond
	answerTokens    = 6
)

// scriptedRouter writes the events of a router on one connection.
type scriptedRouter struct {
	w        http.ResponseWriter
	request  jaywind.RequestID
	position int // of the caller's last token
}

func wantTokens() []jaywind.Token {
	var out []jaywind.Token
	for i := range answerTokens {
		out = append(out, jaywind.Token{ID: jaywind.TokenID(i + 1), Text: fmt.Sprint("t", i)})
	}
	return out
}

// sendToken writes the event of token n of the answer, counted from 0.
func (s *scriptedRouter) sendToken(n int) {
	all := wantTokens()
	s.sendEvent(jaywind.Bookmark{Request: s.request, Position: jaywind.Position(n + 1), Digest: jaywind.DigestOf(all[:n+1]), Attempt: 1},
		chunk{Token: int64(all[n].ID), Choices: []choice{{Text: all[n].Text}}})
}

func (s *scriptedRouter) sendTokens(from, to int) {
	for n := from; n < to; n++ {
		s.sendToken(n)
	}
}

func (s *scriptedRouter) sendEnd(total int, digest jaywind.Digest) {
	finish := "stop"
	s.sendEvent(jaywind.Bookmark{Request: s.request, Position: jaywind.Position(total), Digest: digest, Attempt: 1},
		chunk{Choices: []choice{{FinishReason: &finish}}, Digest: strconv.FormatUint(uint64(digest), 16)})
}

func (s *scriptedRouter) sendEvent(mark jaywind.Bookmark, c chunk) {
	text, _ := json.Marshal(c)
	s.write(fmt.Sprintf("id: %s\ndata: %s\n\n", mark, text))
}

func (s *scriptedRouter) write(text string) {
	_, _ = fmt.Fprint(s.w, text)
	_ = http.NewResponseController(s.w).Flush()
}

func (s *scriptedRouter) sendRest() {
	s.sendTokens(s.position, answerTokens)
	s.sendEnd(answerTokens, jaywind.DigestOf(wantTokens()))
}

// blockUntilDone writes nothing until the caller disconnects.
func blockUntilDone(ctx context.Context) { <-ctx.Done() }

func TestAsk(t *testing.T) {
	tests := map[string]struct {
		first       func(ctx context.Context, s *scriptedRouter) // serves the first connection; later ones get the rest of the answer
		want        error
		connections int32
	}{
		"whole":                         {first: func(_ context.Context, s *scriptedRouter) { s.sendRest() }, connections: 1},
		"connection ends in mid-answer": {first: func(_ context.Context, s *scriptedRouter) { s.sendTokens(0, 3) }, connections: 2},
		"connection times out":          {first: func(ctx context.Context, s *scriptedRouter) { s.sendTokens(0, 3); blockUntilDone(ctx) }, connections: 2},
		"nothing is ever sent":          {first: func(ctx context.Context, _ *scriptedRouter) { blockUntilDone(ctx) }, connections: 2},
		"heartbeats while no token comes": {first: func(_ context.Context, s *scriptedRouter) {
			for range 8 {
				s.write(": waiting\n\n")
				time.Sleep(testIdleTimeout / 4)
			}
			s.sendRest()
		}, connections: 1},
		"token is missing":  {first: func(_ context.Context, s *scriptedRouter) { s.sendToken(0); s.sendToken(2) }, want: ErrGap, connections: 1},
		"token is repeated": {first: func(_ context.Context, s *scriptedRouter) { s.sendToken(0); s.sendToken(0) }, want: ErrGap, connections: 1},
		"end comes early": {first: func(_ context.Context, s *scriptedRouter) {
			s.sendTokens(0, 3)
			s.sendEnd(answerTokens, jaywind.DigestOf(wantTokens()))
		}, want: ErrGap, connections: 1},
		"end of another answer": {first: func(_ context.Context, s *scriptedRouter) {
			s.sendTokens(0, answerTokens)
			s.sendEnd(answerTokens, 7)
		}, want: ErrDigest, connections: 1},
		"token of another answer": {first: func(_ context.Context, s *scriptedRouter) {
			s.sendToken(0)
			s.sendEvent(jaywind.Bookmark{Request: s.request, Position: 2, Digest: 7, Attempt: 1}, chunk{Token: 9, Choices: []choice{{Text: "x"}}})
		}, want: ErrDigest, connections: 1},
		"whole answer to another request": {first: func(_ context.Context, s *scriptedRouter) {
			s.request = "another"
			s.sendRest()
		}, connections: 2},
		"refusal with retry_after": {first: func(_ context.Context, s *scriptedRouter) {
			s.w.Header().Set("Retry-After", "1")
			s.w.WriteHeader(http.StatusServiceUnavailable)
			s.write(`{"error":{"code":"not_run","retry_after":0.05}}`)
		}, connections: 2},
		"malformed event": {first: func(_ context.Context, s *scriptedRouter) { s.write("id: x\ndata: {\n\n") }, connections: 2},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var connections atomic.Int32
			m := http.NewServeMux()
			m.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
				s := &scriptedRouter{w: w, request: jaywind.RequestID(r.Header.Get("X-Request-Id"))}
				if mark, err := jaywind.ParseBookmark(r.Header.Get("Last-Event-ID")); err == nil {
					s.position = int(mark.Position)
				}
				_, _ = io.Copy(io.Discard, r.Body) // the server notices a disconnect only after the body was read
				if connections.Add(1) == 1 {
					c.first(r.Context(), s)
					return
				}
				s.sendRest()
			})
			server := httptest.NewServer(m)
			defer server.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			client := &Client{Entries: []jaywind.Address{jaywind.Address(server.URL)}, IdleTimeout: testIdleTimeout}
			answer, err := client.Generate(ctx, Request{ID: "mine", Model: "heat", Prompt: "fins", MaxTokens: answerTokens})
			is.True(errors.Is(err, c.want))
			is.Equal(connections.Load(), c.connections)
			if c.want == nil {
				is.Equal(answer.Tokens, wantTokens())
			}
		})
	}
}
