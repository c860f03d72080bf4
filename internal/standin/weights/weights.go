package weights

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/time/rate"

	"jaywind"
)

const bodyLimit = 1 << 12 // bytes

// Store grants turns to load versions; its zero value refuses none.
type Store struct {
	Rate float64 // turns a second; no limit when zero

	mu      sync.Mutex
	limiter *rate.Limiter
	down    bool
	granted int
}

var _ jaywind.WeightStore = (*Store)(nil)

// SetDown switches an outage.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Granted returns how many turns were granted.
func (s *Store) Granted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.granted
}

// Reserve grants a turn, or returns an error that wraps jaywind.ErrBusy or jaywind.ErrUnavailable.
func (s *Store) Reserve(context.Context, jaywind.Model, jaywind.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return fmt.Errorf("%w: outage", jaywind.ErrStoreUnavailable)
	}
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(rate.Limit(s.Rate), 1)
	}
	if s.Rate > 0 && !s.limiter.Allow() {
		return fmt.Errorf("%w: rate is spent", jaywind.ErrBusy)
	}
	s.granted++
	return nil
}

type turn struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Handler returns the HTTP interface of the service.
func (s *Store) Handler() http.Handler {
	m := httprouter.New()
	m.POST("/turns", s.serveTurn)
	return m
}

func (s *Store) serveTurn(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var t turn
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err := s.Reserve(r.Context(), jaywind.Model(t.Model), jaywind.Version(t.Version))
	switch {
	case err == nil:
		w.WriteHeader(http.StatusNoContent)
	case errors.Is(err, jaywind.ErrBusy):
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
