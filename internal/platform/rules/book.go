package rules

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"jaywind"
	"jaywind/internal/core/rule"
)

const key = "rules"

// ErrFindings is returned for a text that Parse finds fault with.
var ErrFindings = errors.New("the rules have findings")

// Accepted is a set of rules that the store holds.
type Accepted struct {
	Version  jaywind.RulesVersion
	Text     string
	Set      *rule.Set
	Revision jaywind.Revision
}

// Book reads and accepts rules.
type Book struct {
	Store jaywind.Store
}

type value struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// Read returns the accepted rules, or jaywind.ErrAbsent before the first.
func (b Book) Read(ctx context.Context) (Accepted, error) {
	e, err := b.Store.Get(ctx, key)
	if err != nil {
		return Accepted{}, err
	}
	return decode(e)
}

// Watch waits for rules whose revision is not last.
func (b Book) Watch(ctx context.Context, last jaywind.Revision) (Accepted, error) {
	e, err := b.Store.Watch(ctx, key, last)
	if err != nil {
		return Accepted{}, err
	}
	return decode(e)
}

// Accept swaps in a new text after base, whose zero value stands for no rules yet.
func (b Book) Accept(ctx context.Context, base Accepted, file, text string) (Accepted, error) {
	set, findings := rule.Parse(file, text)
	if len(findings) > 0 {
		return Accepted{}, fmt.Errorf("%w: %s", ErrFindings, findings[0])
	}
	next := base.Version + 1
	body, err := json.Marshal(value{Version: uint64(next), Text: text})
	if err != nil {
		return Accepted{}, err
	}
	revision, err := b.Store.Swap(ctx, key, body, base.Revision)
	if err != nil {
		return Accepted{}, err
	}
	return Accepted{Version: next, Text: text, Set: set, Revision: revision}, nil
}

func decode(e jaywind.Entry) (Accepted, error) {
	var v value
	if err := json.Unmarshal(e.Value, &v); err != nil {
		return Accepted{}, fmt.Errorf("value of %q: %w", key, err)
	}
	set, findings := rule.Parse(key, v.Text)
	if len(findings) > 0 {
		return Accepted{}, fmt.Errorf("%w: %s", ErrFindings, findings[0])
	}
	return Accepted{Version: jaywind.RulesVersion(v.Version), Text: v.Text, Set: set, Revision: e.Revision}, nil
}
