package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"strconv"

	"jaywind"
	"jaywind/internal/core/rule"
	"jaywind/internal/operator/settings"
	"jaywind/internal/provider/rules"
	"jaywind/internal/provider/store"
)

// exitPending says that rules stand in the store but are not yet held by a majority of the routers.
const exitPending = 3

// versionLine is the first line of what the command rules prints.
var versionLine = regexp.MustCompile(`^# rules version ([0-9]+)\n`)

// edit is a rules file with the version that it was edited from.
type edit struct {
	file string
	text string // without the version line
	base jaywind.RulesVersion
	told bool // whether the base is stated
}

func apply(ctx context.Context, c *console) int {
	f := c.flags()
	settingsFile := f.String("settings", "", "settings `file` of a router, for the store's address")
	rulesFile := f.String("rules", "", "rules `file` to put in force")
	base := f.Uint64("base", 0, "`version` that the file was edited from; when 0, that of its first line")
	operator := f.String("operator", "", "operator `URL` of a router to ask about the others; that of the settings when empty")
	wait := f.Duration("wait", applyWait, "how long to wait for all routers")
	if code, more := c.parse(f); !more {
		return code
	}
	s, err := loadSettings(*settingsFile)
	if err != nil {
		return c.fail(err)
	}
	e, err := readEdit(*rulesFile, jaywind.RulesVersion(*base))
	if err != nil {
		return c.fail(err)
	}
	if _, findings := rule.Parse(*rulesFile, e.text); len(findings) > 0 {
		c.printFindings(findings, false)
		return exitFault
	}
	accepted, code := c.accept(ctx, s, e)
	if code != exitOK {
		return code
	}
	c.printf("the store holds version %d\n", accepted.Version)
	return c.awaitForce(ctx, newOperator(s, *operator), accepted.Version, *wait)
}

func readEdit(file string, base jaywind.RulesVersion) (edit, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return edit{}, err
	}
	e := edit{file: file, text: string(text), base: base, told: base > 0}
	found := versionLine.FindStringSubmatch(e.text)
	if found == nil {
		return e, nil
	}
	e.text = e.text[len(found[0]):]
	if !e.told {
		n, err := strconv.ParseUint(found[1], 10, 64)
		if err != nil {
			return e, fmt.Errorf("%s:1: version: %w", file, err)
		}
		e.base = jaywind.RulesVersion(n)
		e.told = true
	}
	return e, nil
}

// accept swaps the edit in if nobody was faster.
func (c *console) accept(ctx context.Context, s settings.Settings, e edit) (rules.Accepted, int) {
	book := rules.Book{
		Store: &store.Client{URL: jaywind.Address(s.Store.URL)},
		Nonce: strconv.FormatUint(rand.Uint64(), 36),
	}
	current, err := book.Read(ctx)
	if err != nil && !errors.Is(err, jaywind.ErrKeyNotFound) {
		return current, c.fail(fmt.Errorf("not applied: %w", err))
	}
	if current.Version > 0 && !e.told {
		return current, c.fail(fmt.Errorf("not applied: version %d is in the store; start from what jaywind rules prints, or give -base", current.Version))
	}
	if e.base != current.Version {
		c.showOther(e, current)
		return current, exitFault
	}
	accepted, err := book.Accept(ctx, current, e.text)
	if errors.Is(err, jaywind.ErrRevisionConflict) {
		if other, readErr := book.Read(ctx); readErr == nil {
			other.Previous = current.Text
			c.showOther(e, other)
			return other, exitFault
		}
	}
	if errors.Is(err, jaywind.ErrOutcomeUnknown) {
		return accepted, c.fail(fmt.Errorf("outcome unknown, see jaywind rules: %w", err))
	}
	if err != nil {
		return accepted, c.fail(fmt.Errorf("not applied: %w", err))
	}
	return accepted, exitOK
}

// showOther says that another edit was accepted first and shows it.
func (c *console) showOther(e edit, other rules.Accepted) {
	c.printf("not applied: %s was edited from version %d, and version %d is accepted\n", e.file, e.base, other.Version)
	if other.Previous != "" && e.base+1 == other.Version {
		c.printf("the other edit:\n%s", rules.Diff(other.Previous, other.Text))
		return
	}
	c.printf("from this file to what is accepted:\n%s", rules.Diff(e.text, other.Text))
}
