package generate_test

import (
	"fmt"
	"testing"

	"jaywind"
	"jaywind/internal/core/generate"
	"jaywind/internal/core/table"
)

// BenchmarkTextlessToken measures accepting a token after many tokens without text, as from an engine that
// sends token ids only.
func BenchmarkTextlessToken(b *testing.B) {
	for _, n := range []int{16, 1024, 16384} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := table.New(1)
			r := &table.Request{
				ID: "r1", Attempt: 1, Listener: 1, Phase: table.PhaseStreaming,
				Tokens: make([]jaywind.Token, n, n+1),
			}
			s.Requests[r.ID] = r
			f := jaywind.Frame{Request: r.ID, Attempt: 1, Position: jaywind.Position(n), Token: jaywind.Token{ID: 5}}
			events := []table.Event{table.FrameReceived{Request: r.ID, Attempt: 1, Frame: f}}
			for b.Loop() {
				r.Tokens = r.Tokens[:n]
				s.BeginTick(s.Now, false, events)
				generate.EventHandler{}.Step(s)
				s.TakeCommands()
			}
		})
	}
}
