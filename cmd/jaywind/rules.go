package main

import (
	"context"
)

func printRules(ctx context.Context, c *console) int {
	f := c.flags()
	settingsFile := f.String("settings", "", "settings `file` of the router to ask")
	at := f.String("operator", "", "operator `URL` of the router to ask; when empty, the one in the settings")
	if code, more := c.parse(f); !more {
		return code
	}
	s, err := loadSettings(*settingsFile)
	if err != nil {
		return c.fail(err)
	}
	text, err := newOperatorClient(s, *at).Rules(ctx)
	if err != nil {
		return c.fail(err)
	}
	c.printf("%s", text)
	return exitOK
}
