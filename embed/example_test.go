package embed_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/sourcegraph/conc"

	"jaywind"
	"jaywind/embed"
)

// echo is an engine that answers with the words of the prompt and loses its first connection.
type echo struct {
	jaywind.Engine
	opened int
}

func (e *echo) Open(_ context.Context, _ jaywind.Address, c jaywind.Call) (jaywind.Stream, error) {
	e.opened++
	return &words{call: c, words: strings.Fields(c.Prompt), next: int(c.Position), broken: e.opened == 1}, nil
}

func (e *echo) Probe(context.Context, jaywind.Address, jaywind.Work) (jaywind.Progress, error) {
	return jaywind.Progress{}, jaywind.ErrNoStream
}

func (e *echo) Cancel(context.Context, jaywind.Address, jaywind.Work, jaywind.Attempt) error {
	return nil
}

func (e *echo) Load(context.Context, jaywind.Address) (jaywind.Load, error) {
	return jaywind.Load{}, errors.New("no report")
}

type words struct {
	call   jaywind.Call
	words  []string
	next   int
	broken bool
}

func (w *words) Next() (jaywind.Frame, error) {
	f := jaywind.Frame{Request: w.call.Request, Attempt: w.call.Attempt, Position: jaywind.Position(w.next)}
	if w.broken && w.next == 2 {
		return f, io.EOF
	}
	if w.next == len(w.words) {
		f.End = true
		for _, word := range w.words {
			f.Digest = f.Digest.Add(jaywind.Token{Text: word + " "})
		}
		return f, nil
	}
	f.Token = jaywind.Token{Text: w.words[w.next] + " "}
	w.next++
	return f, nil
}

func (w *words) Close() error { return nil }

// A program embeds a router before engines of its own kind.
func Example() {
	rules, findings := embed.ParseRules("rules", `
model heat version=v1 # example
endpoint e1 model=heat version=v1 url=http://127.0.0.1:1 domain=a # example
endpoint e2 model=heat version=v1 url=http://127.0.0.1:2 domain=b # example
`)
	if len(findings) > 0 {
		fmt.Println(findings)
		return
	}
	r := &embed.Router{Self: "vm1", Domain: "a", Engine: &echo{}}
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = r.Run(ctx) })
	defer group.Wait()
	defer cancel()
	r.SetRules(1, rules)
	answer, err := r.Generate(ctx, embed.Ask{ID: "r1", Model: "heat", Prompt: "fins for a 40 W regulator", MaxTokens: 6})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer answer.Close()
	for {
		e, err := answer.Next(ctx)
		if err != nil {
			fmt.Println(err)
			return
		}
		if e.Final != nil {
			fmt.Println("whole:", e.Final.Outcome == embed.OutcomeWhole)
			return
		}
		fmt.Print(e.Token.Text)
	}
	// Output: fins for a 40 W regulator whole: true
}
