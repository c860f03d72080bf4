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

// exitPending is the exit code when the rules are in the store but not yet in force on a majority of the routers.
const exitPending = 3

// versionLine matches the first line of the output of "jaywind rules".
var versionLine = regexp.MustCompile(`^# rules version ([0-9]+)\n`)

// edit is a rules file and the version that it is based on.
type edit struct {
	file      string
	text      string // without the version line
	base      jaywind.RulesVersion
	baseKnown bool // whether a flag or the version line gives the base
}

func apply(ctx context.Context, c *console) int {
	f := c.flags()
	settingsFile := f.String("settings", "", "settings `file` of a router, for the store's address")
	rulesFile := f.String("rules", "", "rules `file` to apply")
	base := f.Uint64("base", 0, "`version` that the file was edited from; when 0, the one in its first line")
	operator := f.String("operator", "", "operator `URL` of the router to ask for the versions in force; when empty, the one in the settings")
	wait := f.Duration("wait", defaultApplyWait, "how long to wait until the rules are in force on all routers")
	if code, more := c.parse(f); !more {
		return code
	}
	s, err := loadSettings(*settingsFile)
	if err != nil {
		return c.fail(err)
	}
	edited, err := readEdit(*rulesFile, jaywind.RulesVersion(*base))
	if err != nil {
		return c.fail(err)
	}
	if _, findings := rule.Parse(*rulesFile, edited.text); len(findings) > 0 {
		c.printFindings(findings, false)
		return exitFault
	}
	accepted, code := c.accept(ctx, s, edited)
	if code != exitOK {
		return code
	}
	c.printf("the store holds version %d\n", accepted.Version)
	return c.awaitInForce(ctx, newOperatorClient(s, *operator), accepted.Version, *wait)
}

func readEdit(file string, base jaywind.RulesVersion) (edit, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return edit{}, err
	}
	e := edit{file: file, text: string(text), base: base, baseKnown: base > 0}
	found := versionLine.FindStringSubmatch(e.text)
	if found == nil {
		return e, nil
	}
	e.text = e.text[len(found[0]):]
	if !e.baseKnown {
		n, err := strconv.ParseUint(found[1], 10, 64)
		if err != nil {
			return e, fmt.Errorf("%s:1: version: %w", file, err)
		}
		e.base = jaywind.RulesVersion(n)
		e.baseKnown = true
	}
	return e, nil
}

// accept writes the edit to the store by compare-and-swap on the base version. On a conflict it shows the other edit.
func (c *console) accept(ctx context.Context, s settings.Settings, e edit) (rules.Accepted, int) {
	ruleStore := rules.Repository{
		Store: &store.Client{URL: jaywind.Address(s.Store.URL)},
		Nonce: strconv.FormatUint(rand.Uint64(), 36),
	}
	current, err := ruleStore.Read(ctx)
	if err != nil && !errors.Is(err, jaywind.ErrKeyNotFound) {
		return current, c.fail(fmt.Errorf("not applied: %w", err))
	}
	if current.Version > 0 && !e.baseKnown {
		return current, c.fail(fmt.Errorf("not applied: version %d is in the store; start from what jaywind rules prints, or give -base", current.Version))
	}
	if e.base != current.Version {
		c.printConflict(e, current)
		return current, exitFault
	}
	accepted, err := ruleStore.Accept(ctx, current, e.text)
	if errors.Is(err, jaywind.ErrRevisionConflict) {
		if other, readErr := ruleStore.Read(ctx); readErr == nil {
			other.Previous = current.Text
			c.printConflict(e, other)
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

// printConflict reports that another edit was accepted first, and shows the difference.
func (c *console) printConflict(e edit, other rules.Accepted) {
	c.printf("not applied: %s was edited from version %d, and version %d is accepted\n", e.file, e.base, other.Version)
	if other.Previous != "" && e.base+1 == other.Version {
		c.printf("the other edit:\n%s", rules.Diff(other.Previous, other.Text))
		return
	}
	c.printf("from this file to what is accepted:\n%s", rules.Diff(e.text, other.Text))
}
