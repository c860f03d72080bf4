package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"jaywind/internal/operator/logs"
)

// TestReload: a hangup never ends the process; it reads the settings again and says what became of them.
func TestReload(t *testing.T) {
	base, err := os.ReadFile("../../examples/vm1.toml")
	if err != nil {
		t.Fatal(err)
	}
	sound := string(base)
	tests := map[string]struct {
		text string
		want string // in the log
	}{
		"as they were":    {sound, `"needs_restart":false`},
		"another level":   {strings.Replace(sound, `level = "info"`, `level = "warn"`, 1), ""},
		"another address": {strings.Replace(sound, "127.0.0.1:8101", "127.0.0.1:8111", 1), `"needs_restart":true`},
		"unreadable":      {"vm = = 1", "the old ones stay"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "vm.toml")
			is.NoErr(os.WriteFile(file, base, 0o600))
			first, err := loadSettings(file)
			is.NoErr(err)
			is.NoErr(os.WriteFile(file, []byte(c.text), 0o600))
			var out bytes.Buffer
			synctest.Test(t, func(t *testing.T) {
				log, err := logs.New("info", &out)
				is.NoErr(err)
				ctx, cancel := context.WithCancel(context.Background())
				hangups := make(chan os.Signal, 1)
				var group conc.WaitGroup
				group.Go(func() { reload(ctx, hangups, file, first, log) })
				hangups <- os.Interrupt // any signal stands for a hangup
				synctest.Wait()
				cancel()
				group.Wait()
				log.Close()
			})
			is.True(strings.Contains(out.String(), c.want))
		})
	}
}
