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
	bodyLimit    = 4 << 20 // bytes of a request
	heartbeat    = 250 * time.Millisecond
	writeLimit   = 10 * time.Second // for a caller to take one event
	entriesKeep  = 5 * time.Second  // how long a caller may keep the list of entries
	defaultLimit = 256              // tokens
	maxLimit     = 1 << 17          // tokens

	stoppingRetry = time.Second // another entry can be asked at once
	waitPeriod    = 20 * time.Millisecond
)

// router is what the handler needs of a router.
type router interface {
	Generate(ctx context.Context, ask table.GenerationRequest) (*embed.Answer, error)
	Ready() bool
	Stopping() bool
}

// Handler serves callers; set its fields before Mux is called.
type Handler struct {
	Router   router
	Services services                                     // plain services are not served when nil
	Entries  func(jaywind.Organisation) []jaywind.Address // the entries that an organisation should use
	Clock    jaywind.Clock                                // the machine's when nil
	Log      *zap.Logger                                  // silent when nil

	active atomic.Int64 // requests for work that are not answered
}

// Mux returns the HTTP interface for callers.
func (h *Handler) Mux() http.Handler {
	if h.Clock == nil {
		h.Clock = jaywind.SystemClock{}
	}
	if h.Log == nil {
		h.Log = zap.NewNop()
	}
	m := httprouter.New()
	m.POST("/v1/completions", h.work(h.complete))
	m.GET("/v1/entries", h.entries)
	h.handleServices(m)
	m.GET("/healthz", h.health)
	m.GET("/readyz", h.ready)
	return m
}

// work counts a request for work, so that a shutdown waits for it, and refuses it when the router is stopping.
func (h *Handler) work(next httprouter.Handle) httprouter.Handle {
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

// refuseStopping sends a caller to another entry; the request was certainly not run.
func (h *Handler) refuseStopping(w http.ResponseWriter, r *http.Request) {
	p := problemOf("not_run", "this router is stopping", false, stoppingRetry)
	if others := h.Entries(organisationOf(r)); len(others) > 0 {
		p.Entry = string(others[0])
	}
	w.Header().Set("Retry-After", strconv.Itoa(int(stoppingRetry.Seconds())))
	writeJSON(w, http.StatusServiceUnavailable, failure{Error: p})
}

// Wait returns when no request for work is left, or ctx ends.
func (h *Handler) Wait(ctx context.Context) {
	for h.active.Load() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(waitPeriod):
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
	Keep    float64  `json:"keep"` // seconds
}

func (h *Handler) entries(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	list := entryList{Entries: []string{}, Keep: entriesKeep.Seconds()}
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
