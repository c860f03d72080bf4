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

const maxBodyBytes = 1 << 12

// Store grants turns to load versions; its zero value grants all.
type Store struct {
	Rate float64 // turns per second; no limit when zero

	mu      sync.Mutex
	limiter *rate.Limiter
	down    bool
	granted int
}

var _ jaywind.WeightStore = (*Store)(nil)

// SetDown starts or ends an outage, in which every turn is refused.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Granted returns the number of turns granted.
func (s *Store) Granted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.granted
}

// Reserve grants a turn, or returns an error that wraps jaywind.ErrBusy or jaywind.ErrStoreUnavailable.
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

type turnRequest struct {
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
	var t turnRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&t); err != nil {
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
