package link

import (
	"net"
	"strings"
	"testing"
	"time"

	"jaywind"
)

// FuzzEvents checks that each returned event ends with a line end and is part of the input, for any input.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\nda")
	f.Add("\n\nid:1\n\n\n:x\nid: -4\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		a, b := net.Pipe()
		defer func() { _, _ = a.Close(), b.Close() }()
		s := NewEventReader(&Conn{conn: a}, strings.NewReader(text), jaywind.Reply{})
		for range 100 {
			e, err := s.Next(time.Second)
			if err != nil {
				return
			}
			if !strings.Contains(text, string(e.Raw)) || !strings.HasSuffix(string(e.Raw), "\n") {
				t.Fatalf("event %q is not in %q", e.Raw, text)
			}
		}
	})
}
