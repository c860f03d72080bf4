package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// call runs a command line in this process and returns its exit code and output.
func call(args ...string) (code int, out, errs string) {
	var o, e strings.Builder
	code = dispatch(context.Background(), args, strings.NewReader(""), &o, &e)
	return code, o.String(), e.String()
}

func TestHelp(t *testing.T) {
	for name, c := range commands {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, out, errs := call(name, "-h")
			is.Equal(code, exitOK)
			is.True(strings.Contains(out+errs, c.example)) // the help contains the example
		})
	}
}

func TestMisuse(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing")
	tests := map[string]struct {
		args []string
		code int
		want string
	}{
		"unknown command":       {[]string{"frobnicate"}, exitUsage, `unknown command "frobnicate"`},
		"unknown flag":          {[]string{"check", "-nope"}, exitUsage, "not defined: -nope"},
		"nothing to check":      {[]string{"check"}, exitUsage, "want -settings, -rules or both"},
		"extra word":            {[]string{"check", "-rules", "x", "y"}, exitUsage, `unexpected "y"`},
		"missing rules file":    {[]string{"check", "-rules", missing}, exitFault, "no such file"},
		"missing settings file": {[]string{"route", "-settings", missing}, exitFault, "no such file"},
		"no settings":           {[]string{"route"}, exitFault, "want -settings FILE"},
		"nothing to ask":        {[]string{"ask", "-model", "heat"}, exitUsage, "want -entry, -model and a prompt"},
		"nothing to record":     {[]string{"record"}, exitUsage, "want one or more NAME=URL"},
		"no URL to record":      {[]string{"record", "vm1"}, exitUsage, `"vm1": want NAME=URL`},
		"recorded twice":        {[]string{"record", "a=http://h/m", "a=http://h/n"}, exitUsage, `"a" is named twice`},
		"never recorded":        {[]string{"record", "-every", "0s", "a=http://h/m"}, exitUsage, "want -every above zero"},
		"nothing to draw":       {[]string{"plot", "-out", "day.svg"}, exitUsage, "want -out FILE and one file"},
		"missing history":       {[]string{"plot", "-out", "day.svg", missing}, exitFault, "no such file"},
		"empty history":         {[]string{"plot", "-out", "day.svg", "-"}, exitFault, "no snapshots to draw"},
		"bad number":            {[]string{"ask", "-tokens", "many"}, exitUsage, "invalid value"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, _, errs := call(c.args...)
			is.Equal(code, c.code)
			is.True(strings.Contains(errs, c.want)) // the error names the problem
		})
	}
}

func TestCheckListsAllFindings(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	settingsFile := filepath.Join(dir, "vm.toml")
	rulesFile := filepath.Join(dir, "rules.txt")
	is.NoErr(os.WriteFile(settingsFile, []byte(`vm = 7
domain = ""
secret = "short"
color = "blue"
[listen]
caller = "localhost:80"
operator = "127.0.0.1:8201"
fleet = "127.0.0.1:8301"
[store]
url = "http://127.0.0.1:9200"
`), 0o600))
	is.NoErr(os.WriteFile(rulesFile, []byte(`model heat version=v1
endpoint e1 model=heat version=v1 url=ftp://x domain=a # ops
organisation lagos rate=fast # desk
frob x # ops
drain e9 # ops
`), 0o600))
	code, out, _ := call("check", "-settings", settingsFile, "-rules", rulesFile)
	is.Equal(code, exitFault)
	for _, place := range []string{
		settingsFile + ":1:6:", settingsFile + ":2:1:", settingsFile + ":3:1:", settingsFile + ":4:1:", settingsFile + ":6:1:",
		rulesFile + ":1:22:", rulesFile + ":2:39:", rulesFile + ":3:25:", rulesFile + ":4:1:", rulesFile + ":5:7:",
	} {
		is.True(strings.Contains(out, place)) // the finding is listed with file, line and column
	}
	is.Equal(strings.Count(out, "\n"), 10)
}
