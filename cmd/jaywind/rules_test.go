package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const largeSetOrganisations = 27000

// TestPausedRouterWakesToTheRulesInForce guards against a router that keeps old rules after it was paused during an edit.

func TestPausedRouterWakesToTheRulesInForce(t *testing.T) {
	is := is.New(t)
	p := startProcesses(t, routerCount)
	eventually(t, readyTimeout, "three routers know each other", func() bool { return p.status(0).Live == 3 })
	eventually(t, inForceTarget, "version 1 in force", p.rulesInForce(1))
	base, code := p.run("rules", "-settings", p.files[0])
	is.Equal(code, exitOK)
	is.NoErr(p.routers[2].Process.Signal(syscall.SIGSTOP))
	file := p.file("next.txt", base+"organisation lagos rate=5 # claims desk\n")
	out, code := p.run("apply", "-settings", p.files[0], "-rules", file, "-wait", "8s")
	t.Log(out)
	is.Equal(code, exitOK) // two of three routers have it
	is.True(strings.Contains(out, "router vm2 could not be reached"))
	is.NoErr(p.routers[2].Process.Signal(syscall.SIGCONT))
	start := time.Now()
	eventually(t, inForceTarget, "version 2 in force on the resumed router", p.rulesInForce(2))
	t.Logf("in force %v after the router was resumed", time.Since(start))
	eventually(t, readyTimeout, "all know each other again", func() bool {
		return p.status(0).Live == 3 && p.status(1).Live == 3 && p.status(2).Live == 3
	})
}

// TestLargeSetIsInForceWithinTheTarget guards against rules that are larger than one value of the store being refused
// or coming into force late.
func TestLargeSetIsInForceWithinTheTarget(t *testing.T) {
	is := is.New(t)
	p := startProcesses(t, routerCount)
	eventually(t, readyTimeout, "three routers know each other", func() bool { return p.status(0).Live == 3 })
	eventually(t, inForceTarget, "version 1 in force", p.rulesInForce(1))
	text, code := p.run("rules", "-settings", p.files[0])
	is.Equal(code, exitOK)
	var b strings.Builder
	b.WriteString(text)
	for i := range largeSetOrganisations {
		fmt.Fprintf(&b, "organisation o%05d rate=5 burst=10 weight=1 # sales desk\n", i)
	}
	is.True(b.Len() > 1<<20) // larger than the largest value of the store
	out, code := p.run("apply", "-settings", p.files[0], "-rules", p.file("large.txt", b.String()))
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "in force on 3 of 3 routers"))
	edited := strings.Replace(strings.Replace(b.String(), "# rules version 1\n", "# rules version 2\n", 1), "organisation o13000 rate=5", "organisation o13000 rate=6", 1)
	file := p.file("edited.txt", edited)
	start := time.Now()
	out, code = p.run("apply", "-settings", p.files[1], "-rules", file)
	took := time.Since(start)
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "in force on 3 of 3 routers"))
	t.Logf("an edit of one line of %d bytes, from the start of apply to in force on 3 of 3: %v", len(edited), took)
	is.True(took < inForceTarget+time.Second) // plus a second for the command to read and check the rules
	back, code := p.run("rules", "-settings", p.files[2])
	is.Equal(code, exitOK)
	is.Equal(back, strings.Replace(edited, "version 2\n", "version 3\n", 1))
}
