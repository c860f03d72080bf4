package main

import (
	"context"
	"errors"
	"os"

	"jaywind"
	"jaywind/internal/core/rule"
	"jaywind/internal/platform/rules"
	"jaywind/internal/platform/store"
)

func apply(ctx context.Context, c *console) int {
	f := c.flags()
	settingsFile := f.String("settings", "", "settings `file` of a router, for the store's address")
	rulesFile := f.String("rules", "", "rules `file` to put in force")
	if code, more := c.parse(f); !more {
		return code
	}
	s, err := loadSettings(*settingsFile)
	if err != nil {
		return c.fail(err)
	}
	text, err := os.ReadFile(*rulesFile)
	if err != nil {
		return c.fail(err)
	}
	if _, findings := rule.Parse(*rulesFile, string(text)); len(findings) > 0 {
		c.printFindings(findings, false)
		return exitFault
	}
	book := rules.Book{Store: &store.Client{URL: jaywind.Address(s.Store.URL)}}
	base, err := book.Read(ctx)
	if err != nil && !errors.Is(err, jaywind.ErrAbsent) {
		return c.fail(err)
	}
	accepted, err := book.Accept(ctx, base, *rulesFile, string(text))
	if err != nil {
		return c.fail(err)
	}
	c.printf("accepted as version %d\n", accepted.Version)
	return exitOK
}
