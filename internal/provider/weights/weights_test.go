package weights

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"jaywind"
	standin "jaywind/internal/standin/weights"
)

// TestReserve holds for each implementation of jaywind.Weights.
func TestReserve(t *testing.T) {
	tests := map[string]struct {
		rate  float64
		down  bool
		calls int
		want  error // of the last call
	}{
		"no limit":       {calls: 5},
		"first turn":     {rate: 0.001, calls: 1},
		"rate is spent":  {rate: 0.001, calls: 2, want: jaywind.ErrBusy},
		"store is away":  {down: true, calls: 1, want: jaywind.ErrStoreUnavailable},
		"away, not busy": {rate: 0.001, down: true, calls: 2, want: jaywind.ErrStoreUnavailable},
	}
	kinds := map[string]func(t *testing.T, s *standin.Store) jaywind.WeightStore{
		"stand-in": func(_ *testing.T, s *standin.Store) jaywind.WeightStore { return s },
		"over HTTP": func(t *testing.T, s *standin.Store) jaywind.WeightStore {
			server := httptest.NewServer(s.Handler())
			t.Cleanup(server.Close)
			return &Client{URL: jaywind.Address(server.URL), Transport: &http.Transport{DisableKeepAlives: true}}
		},
	}
	for kind, open := range kinds {
		for name, c := range tests {
			t.Run(kind+", "+name, func(t *testing.T) {
				is := is.New(t)
				s := &standin.Store{Rate: c.rate}
				s.SetDown(c.down)
				w := open(t, s)
				var err error
				for range c.calls {
					err = w.Reserve(context.Background(), "heat", "v2")
				}
				is.True(errors.Is(err, c.want))
			})
		}
	}
}

func TestReserveWithoutServer(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	err := (&Client{URL: jaywind.Address(server.URL)}).Reserve(context.Background(), "heat", "v2")
	is.True(errors.Is(err, jaywind.ErrStoreUnavailable))
}
