package burn

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"jaywind"
)

const maxReplyBytes = 1 << 16

// Handler serves the recorder's counts as JSON.
func Handler(r *Recorder, c jaywind.Clock) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(r.Counts(c.Now()))
	})
}

// Fetch returns the counts of the router whose operator port is at an address.
func Fetch(ctx context.Context, client *http.Client, at jaywind.Address) (Counts, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, string(at)+"/burn", nil)
	if err != nil {
		return Counts{}, err
	}
	response, err := client.Do(request)
	if err != nil {
		return Counts{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Counts{}, fmt.Errorf("%s returned status %s", at, response.Status)
	}
	var c Counts
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&c); err != nil {
		return Counts{}, fmt.Errorf("%s: %w", at, err)
	}
	return c, nil
}
