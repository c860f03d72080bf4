package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/embed"
	"jaywind/internal/core/table"
)

const (
	maxBodyBytes      = 4 << 20
	heartbeatInterval = 250 * time.Millisecond
	writeTimeout      = 10 * time.Second // for writing one event to a caller
	entriesTTL        = 5 * time.Second  // how long a caller may cache the list of entries
	defaultMaxTokens  = 256              // tokens
	maxTokensLimit    = 1 << 17          // tokens

	stoppingRetryAfter = time.Second // the caller can try another entry at once
	waitPollInterval   = 20 * time.Millisecond
)

// router is the part of embed.Router that the handler uses.
type router interface {
	Generate(ctx context.Context, req table.GenerationRequest) (*embed.Answer, error)
	Ready() bool
	Stopping() bool
}

// Handler serves the HTTP interface for callers. Set its fields before calling Mux.
type Handler struct {
	Router   router
	Services services                                     // nil disables calls to plain services
	Entries  func(jaywind.Organisation) []jaywind.Address // returns the entries that an organisation should use
	Clock    jaywind.Clock                                // defaults to the system clock
	Log      *zap.Logger                                  // nil disables logging

	active atomic.Int64 // generations and service calls in flight
}

// Mux returns the handler for all paths of the caller port.
func (h *Handler) Mux() http.Handler {
	if h.Clock == nil {
		h.Clock = jaywind.SystemClock{}
	}
	if h.Log == nil {
		h.Log = zap.NewNop()
	}
	m := httprouter.New()
	m.POST("/v1/completions", h.trackRequest(h.complete))
	m.GET("/v1/entries", h.entries)
	h.handleServices(m)
	m.GET("/healthz", h.health)
	m.GET("/readyz", h.ready)
	return m
}

// trackRequest counts a generation or service call as active, so that a shutdown waits for it, and refuses it while the
// router is stopping.
func (h *Handler) trackRequest(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		h.active.Add(1)
		defer h.active.Add(-1)
		if h.Router.Stopping() {
			h.refuseStopping(w, r)
			return
		}
		next(w, r, p)
	}
}

// refuseStopping tells a caller that the request was not run and names another entry to try.
func (h *Handler) refuseStopping(w http.ResponseWriter, r *http.Request) {
	p := newErrorDetail("not_run", "this router is stopping", false, stoppingRetryAfter)
	if others := h.Entries(organisationOf(r)); len(others) > 0 {
		p.Entry = string(others[0])
	}
	w.Header().Set("Retry-After", strconv.Itoa(int(stoppingRetryAfter.Seconds())))
	writeJSON(w, http.StatusServiceUnavailable, errorResponse{Error: p})
}

// Wait blocks until no generation or service call is in flight, or ctx ends.
func (h *Handler) Wait(ctx context.Context) {
	for h.active.Load() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(waitPollInterval):
		}
	}
}

func (h *Handler) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !h.Router.Ready() {
		writeError(w, http.StatusServiceUnavailable, "not_ready", "the router is not ready", time.Second)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

type entryList struct {
	Entries []string `json:"entries"`
	TTL     float64  `json:"keep"` // seconds
}

func (h *Handler) entries(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	list := entryList{Entries: []string{}, TTL: entriesTTL.Seconds()}
	for _, a := range h.Entries(organisationOf(r)) {
		list.Entries = append(list.Entries, string(a))
	}
	writeJSON(w, http.StatusOK, list)
}

func organisationOf(r *http.Request) jaywind.Organisation {
	return jaywind.Organisation(r.Header.Get("OpenAI-Organization"))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
