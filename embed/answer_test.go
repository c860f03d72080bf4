package embed_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/embed"
	"jaywind/internal/core/table"
	"jaywind/internal/standin/engine"
)

// readUntil reads an answer until it has n tokens, the answer ends or there is an error.
func readUntil(ctx context.Context, a *embed.Answer, n int) (tokens []jaywind.Token, mark jaywind.Bookmark, final *table.FinishRequest, err error) {
	for len(tokens) < n {
		e, err := a.Next(ctx)
		if err != nil || e.Final != nil {
			return tokens, mark, e.Final, err
		}
		tokens = append(tokens, e.Token)
		mark = e.Bookmark
	}
	return tokens, mark, nil, nil
}

// TestSlowCaller guards against losing tokens when a caller reads so slowly that the router
// disconnects it at a full buffer, and the caller then resumes from its bookmark.
func TestSlowCaller(t *testing.T) {
	const total = 6000 // more than the buffer holds
	is := is.New(t)
	b := newTestRouter(t)
	for _, e := range b.engines {
		e.TokenInterval = 20 * time.Microsecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	request := table.GenerationRequest{ID: "r1", Model: "heat", Prompt: "fins", MaxTokens: total, Seed: 3}
	first, err := b.router.Generate(ctx, request)
	is.NoErr(err)
	tokens, mark, _, err := readUntil(ctx, first, 10)
	is.NoErr(err)
	for i := 0; i < 10 && err == nil; i++ { // reads at one token a second until the buffer is full and dropped
		time.Sleep(time.Second)
		var more []jaywind.Token
		var m jaywind.Bookmark
		if more, m, _, err = readUntil(ctx, first, 1); err == nil {
			tokens, mark = append(tokens, more...), m
		}
	}
	is.True(errors.Is(err, embed.ErrStopped))
	is.True(len(tokens) < total)
	first.Close()
	request.Bookmark = &mark
	resumed, err := b.router.Generate(ctx, request)
	is.NoErr(err)
	defer resumed.Close()
	rest, _, final, err := readUntil(ctx, resumed, total)
	is.NoErr(err)
	is.Equal(final.Outcome, table.OutcomeCompleted)
	is.Equal(jaywind.DigestOf(append(tokens, rest...)), jaywind.DigestOf(engine.Tokens("v1", 3, "fins", 0, total)))
}
