package main

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"jaywind"
	"jaywind/internal/client/router"
)

func ask(ctx context.Context, c *console) int {
	f := c.flags()
	var entries listFlag
	f.Var(&entries, "entry", "`URL` of an entry; may be given more than once")
	model := f.String("model", "", "`name` of the model")
	organisation := f.String("organisation", "", "`name` of the organisation")
	route := f.String("route", "", "`name` of the route")
	maxTokens := f.Int("tokens", 256, "maximum `number` of tokens in the answer")
	quiet := f.Bool("quiet", false, "do not print the answer's text")
	if code, more := c.parse(f); !more {
		return code
	}
	if len(entries) == 0 || *model == "" || f.NArg() == 0 {
		return c.misuse("want -entry, -model and a prompt")
	}
	client := &router.Client{Entries: entries.addresses()}
	if !*quiet {
		client.OnToken = func(t jaywind.Token, _ jaywind.Bookmark) { c.printf("%s", t.Text) }
	}
	answer, err := client.Generate(ctx, router.Request{
		Model:        jaywind.Model(*model),
		Organisation: jaywind.Organisation(*organisation),
		Route:        jaywind.Route(*route),
		Prompt:       strings.Join(f.Args(), " "),
		MaxTokens:    *maxTokens,
	})
	c.printf("\n")
	if err != nil {
		return c.fail(fmt.Errorf("answer incomplete after %d tokens: %w", len(answer.Tokens), err))
	}
	c.printf("answer whole: request=%s tokens=%d reconnects=%d attempt=%d longest_ms=%d\n",
		answer.ID, len(answer.Tokens), answer.Reconnects, answer.Bookmark.Attempt, answer.MaxGap.Milliseconds())
	return exitOK
}

// listFlag is a flag that may be given more than once.
type listFlag []string

var _ flag.Value = (*listFlag)(nil)

// String returns the values, separated by commas.
func (l *listFlag) String() string { return strings.Join(*l, ",") }

// Set appends a value.
func (l *listFlag) Set(v string) error {
	*l = append(*l, v)
	return nil
}

func (l listFlag) addresses() []jaywind.Address {
	var out []jaywind.Address
	for _, v := range l {
		out = append(out, jaywind.Address(strings.TrimRight(v, "/")))
	}
	return out
}
