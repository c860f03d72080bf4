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

// readUntil reads an answer until it has n tokens or ends.
func readUntil(ctx context.Context, a *embed.Answer, n int) (tokens []jaywind.Token, mark jaywind.Bookmark, final *table.FinishRequest, err error) {
	for len(tokens) < n {
		e, err := a.Next(ctx)
		if err != nil || e.Final != nil {
			return tokens, mark, e.Final, err
		}
		tokens = append(tokens, e.Token)
		mark = e.Mark
	}
	return tokens, mark, nil, nil
}

// TestSlowCaller does not read for so long that its buffer is full, and then comes back.
func TestSlowCaller(t *testing.T) {
	const total = 6000 // more than the buffer holds
	is := is.New(t)
	b := newBench(t)
	for _, e := range b.engines {
		e.Gap = 20 * time.Microsecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	ask := table.GenerationRequest{ID: "r1", Model: "heat", Prompt: "fins", MaxTokens: total, Seed: 3}
	first, err := b.router.Generate(ctx, ask)
	is.NoErr(err)
	tokens, mark, _, err := readUntil(ctx, first, 10)
	is.NoErr(err)
	for i := 0; i < 10 && err == nil; i++ { // the rest of the buffer is dropped once it is full
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
	ask.Bookmark = &mark
	again, err := b.router.Generate(ctx, ask)
	is.NoErr(err)
	defer again.Close()
	rest, _, final, err := readUntil(ctx, again, total)
	is.NoErr(err)
	is.Equal(final.Outcome, table.OutcomeCompleted)
	is.Equal(jaywind.DigestOf(append(tokens, rest...)), jaywind.DigestOf(engine.Whole("v1", 3, "fins", 0, total)))
}
