package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"

	"jaywind"
	backend "jaywind/internal/backend/engine"
	"jaywind/internal/standin/fleet"
)

// askEngines sends a request to a random engine.
func askEngines(ctx context.Context, f *fleet.Fleet, i int, token func()) error {
	n := f.EngineNodes[rand.IntN(len(f.EngineNodes))]
	stream, err := (&backend.Client{}).Open(ctx, n.Address, jaywind.Call{
		Request:   jaywind.RequestID(fmt.Sprint("load", i)),
		Attempt:   1,
		Model:     fleet.Model,
		Version:   fleet.Version,
		Prompt:    fmt.Sprint("load ", i),
		MaxTokens: tokens,
	})
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for {
		frame, err := stream.Next()
		if err == nil && !frame.End {
			token()
			continue
		}
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
}
