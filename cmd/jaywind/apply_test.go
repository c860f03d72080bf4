package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"jaywind/internal/client/operator"
	"jaywind/internal/provider/rules"
	"jaywind/internal/standin/store"
)

const oldText = "model heat version=v1 # first\n"

// operatorHandler serves the status of a router that sees other routers with the given versions and states.
func operatorHandler(versions []uint64, states []string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s := operator.Status{VM: "vm0", Known: len(versions)}
		for i, v := range versions {
			s.Routers = append(s.Routers, operator.RouterState{VM: fmt.Sprint("vm", i), State: states[i], Rules: v})
		}
		_ = json.NewEncoder(w).Encode(s)
	})
}

func TestApply(t *testing.T) {
	alive := []string{"alive", "alive", "alive"}
	tests := map[string]struct {
		stored   int // versions in the store before the edit
		text     string
		args     []string
		faults   store.Faults
		versions []uint64 // in force on each router; no router answers when nil
		states   []string
		code     int
		want     []string
		after    int // version in the store after the edit
	}{
		"first rules": {
			text: oldText, versions: []uint64{1, 1, 1}, states: alive, code: exitOK, after: 1,
			want: []string{"in force on 3 of 3", "accepted as version 1"},
		},
		"base not stated": {
			stored: 2, text: oldText, versions: []uint64{3, 3, 3}, states: alive, code: exitFault, after: 2,
			want: []string{"not applied: version 2 is in the store"},
		},
		"base in the first line": {
			stored: 2, text: "# rules version 2\n" + oldText, versions: []uint64{3, 3, 3}, states: alive, code: exitOK, after: 3,
			want: []string{"accepted as version 3"},
		},
		"base by flag": {
			stored: 2, text: oldText, args: []string{"-base", "2"}, versions: []uint64{3, 3, 3}, states: alive, code: exitOK, after: 3,
			want: []string{"accepted as version 3"},
		},
		"another edit was first": {
			stored: 2, text: "# rules version 1\n" + oldText, versions: []uint64{2, 2, 2}, states: alive, code: exitFault, after: 2,
			want: []string{"was edited from version 1, and version 2 is accepted", "+ organisation o2 rate=2 # desk"},
		},
		"fault in the text": {
			stored: 1, text: "# rules version 1\nmodel heat\n", code: exitFault, after: 1,
			want: []string{`field "version" is missing`, "a comment that names who asked"},
		},
		"reply lost": {
			stored: 1, text: "# rules version 1\n" + oldText, faults: store.Faults{LoseReplies: 1}, versions: []uint64{2, 2, 2}, states: alive, code: exitOK, after: 2,
			want: []string{"accepted as version 2"},
		},
		"store down": {
			stored: 1, text: "# rules version 1\n" + oldText, faults: store.Faults{Down: true}, code: exitFault, after: 1,
			want: []string{"not applied"},
		},
		"no router answers": {
			stored: 1, text: "# rules version 1\n" + oldText, code: exitPending, after: 2,
			want: []string{"version 2 is pending: no router could be asked"},
		},
		"one router is dead": {
			stored: 1, text: "# rules version 1\n" + oldText, versions: []uint64{2, 2, 1}, states: []string{"alive", "alive", "dead"}, code: exitOK, after: 2,
			want: []string{"router vm2 could not be reached (dead), had version 1", "in force on 2 of 3", "accepted as version 2"},
		},
		"no majority has it": {
			stored: 1, text: "# rules version 1\n" + oldText, versions: []uint64{2, 1, 1}, states: []string{"alive", "alive", "suspect"}, code: exitPending, after: 2,
			want: []string{"router vm1 has version 1", "vm2 could not be reached (suspect)", "in force on 1 of 3", "pending: no majority"},
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			storeStandin := &store.Store{}
			var base rules.Accepted
			for i := range c.stored {
				var err error
				text := oldText + fmt.Sprintf("organisation o%d rate=%d # desk\n", i+1, i+1)
				base, err = rules.Repository{Store: storeStandin, Nonce: fmt.Sprint(i)}.Accept(context.Background(), base, text)
				is.NoErr(err)
			}
			storeServer := httptest.NewServer(storeStandin.Handler())
			defer storeServer.Close()
			operatorServer := httptest.NewServer(operatorHandler(c.versions, c.states))
			defer operatorServer.Close()
			if c.versions == nil {
				operatorServer.Close()
			}
			dir := t.TempDir()
			settingsFile := filepath.Join(dir, "vm.toml")
			is.NoErr(os.WriteFile(settingsFile, []byte(fmt.Sprintf(
				"vm = \"vm0\"\ndomain = \"a\"\nsecret = %q\n[listen]\ncaller = \"127.0.0.1:1\"\nfleet = \"127.0.0.1:2\"\noperator = %q\n[store]\nurl = %q\n",
				testSecret, strings.TrimPrefix(operatorServer.URL, "http://"), storeServer.URL)), 0o600))
			rulesFile := filepath.Join(dir, "rules.txt")
			is.NoErr(os.WriteFile(rulesFile, []byte(c.text), 0o600))
			storeStandin.SetFaults(c.faults)
			args := append([]string{"apply", "-settings", settingsFile, "-rules", rulesFile, "-wait", "300ms"}, c.args...)
			code, out, errs := call(args...)
			storeStandin.SetFaults(store.Faults{})
			if code != c.code {
				t.Fatalf("exit %d, want %d: %s%s", code, c.code, out, errs)
			}
			for _, w := range c.want {
				if !strings.Contains(out+errs, w) {
					t.Errorf("%q is missing in: %s%s", w, out, errs)
				}
			}
			after, err := rules.Repository{Store: storeStandin}.Read(context.Background())
			is.NoErr(err)
			is.Equal(int(after.Version), c.after)
			is.True(!strings.Contains(after.Text, "rules version"))
		})
	}
}
