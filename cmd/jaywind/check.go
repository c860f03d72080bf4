package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"jaywind/internal/core/rule"
	"jaywind/internal/operator/settings"
)

func check(_ context.Context, c *console) int {
	f := c.flags()
	settingsFile := f.String("settings", "", "settings `file` to check")
	rulesFile := f.String("rules", "", "rules `file` to check")
	asJSON := f.Bool("json", false, "print the findings as JSON")
	if code, more := c.parse(f); !more {
		return code
	}
	if f.NArg() > 0 {
		return c.misuse(fmt.Sprintf("unexpected %q", f.Arg(0)))
	}
	if *settingsFile == "" && *rulesFile == "" {
		return c.misuse("want -settings, -rules or both")
	}
	findings := []rule.Finding{}
	if *settingsFile != "" {
		_, found, err := readSettings(*settingsFile)
		if err != nil {
			return c.fail(err)
		}
		findings = append(findings, found...)
	}
	if *rulesFile != "" {
		text, err := os.ReadFile(*rulesFile)
		if err != nil {
			return c.fail(err)
		}
		_, found := rule.Parse(*rulesFile, string(text))
		findings = append(findings, found...)
	}
	c.printFindings(findings, *asJSON)
	if len(findings) > 0 {
		return exitFault
	}
	return exitOK
}

func (c *console) printFindings(findings []rule.Finding, asJSON bool) {
	if asJSON {
		_ = json.NewEncoder(c.out).Encode(findings)
		return
	}
	for _, f := range findings {
		c.printf("%s\n", f)
	}
}

func readSettings(file string) (settings.Settings, []rule.Finding, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return settings.Settings{}, nil, err
	}
	s, findings := settings.Parse(file, string(text))
	return s, findings, nil
}

// loadSettings reads a settings file and returns its findings, if any, as one error.
func loadSettings(file string) (settings.Settings, error) {
	if file == "" {
		return settings.Settings{}, fmt.Errorf("want -settings FILE")
	}
	s, findings, err := readSettings(file)
	if err != nil || len(findings) == 0 {
		return s, err
	}
	var lines []string
	for _, f := range findings {
		lines = append(lines, f.String())
	}
	return s, fmt.Errorf("invalid settings:\n%s", strings.Join(lines, "\n"))
}
