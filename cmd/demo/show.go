package main

import (
	"context"
	"errors"
	"fmt"

	"jaywind"
	"jaywind/internal/client/router"
	"jaywind/internal/standin/engine"
	"jaywind/internal/standin/fleet"
)

const seed = jaywind.Seed(7)

const prompt = "fin geometry for a 40 W regulator in still air"

// failoverDemo requests one generation and kills the engine and the router that serve it.
type failoverDemo struct {
	fleet  *fleet.Fleet
	tokens int

	received int // tokens received
	attempt  jaywind.Attempt
	attempts int
}

func (s *failoverDemo) run(ctx context.Context) error {
	client := &router.Client{Entries: s.fleet.CallerAddresses(), OnToken: s.onToken}
	request := router.Request{Model: fleet.Model, Prompt: prompt, MaxTokens: s.tokens}
	pinned := seed
	request.Seed = &pinned
	answer, err := client.Generate(ctx, request)
	fmt.Println()
	missing, repeated := s.compareTokens(answer)
	verdict := "answer whole"
	if err != nil || missing > 0 || repeated > 0 {
		verdict = "answer not whole"
	}
	fmt.Printf("%s: tokens=%d missing=%d repeated=%d resumed=%d resume_ms=%d\n",
		verdict, len(answer.Tokens), missing, repeated, s.attempts-1, answer.MaxGap.Milliseconds())
	if err == nil && (missing > 0 || repeated > 0) {
		err = errors.New("the answer is incomplete")
	}
	return err
}

// onToken prints a token. It kills the engine after a third of the tokens and the router after two thirds.
func (s *failoverDemo) onToken(t jaywind.Token, m jaywind.Bookmark) {
	fmt.Print(t.Text)
	if m.Attempt != s.attempt {
		s.attempt = m.Attempt
		s.attempts++
	}
	s.received++
	switch s.received {
	case s.tokens / 3:
		fmt.Printf("\n--- engine %s is killed ---\n", m.Endpoint)
		s.fleet.Engine(m.Endpoint).Kill()
	case 2 * s.tokens / 3:
		n := s.fleet.RouterNodes[0]
		fmt.Printf("\n--- router %s is killed ---\n", n.Name)
		n.Kill()
	}
}

// compareTokens counts the tokens of the answer that are missing or different, and those that are repeated. The stand-in
// engines are deterministic, so the expected tokens are known.
func (s *failoverDemo) compareTokens(answer *router.Answer) (missing, repeated int) {
	want := engine.Tokens(fleet.Version, seed, prompt, 0, s.tokens)
	for i, t := range want {
		switch {
		case i >= len(answer.Tokens):
			missing++
		case answer.Tokens[i] != t && i > 0 && answer.Tokens[i] == want[i-1]:
			repeated++
		case answer.Tokens[i] != t:
			missing++
		}
	}
	return missing, repeated + max(0, len(answer.Tokens)-len(want))
}
