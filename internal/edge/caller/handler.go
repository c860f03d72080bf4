package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/embed"
	"jaywind/internal/core/table"
)

const (
	bodyLimit    = 4 << 20 // bytes of a request
	heartbeat    = 2 * time.Second
	writeLimit   = 10 * time.Second // for a caller to take one event
	entriesKeep  = 5 * time.Second  // how long a caller may keep the list of entries
	defaultLimit = 256              // tokens
	maxLimit     = 1 << 17          // tokens
)

// router is what the handler needs of a router.
type router interface {
	Generate(ctx context.Context, ask table.Ask) (*embed.Answer, error)
	Ready() bool
}

// Handler serves callers; set its fields before Mux is called.
type Handler struct {
	Router   router
	Services services                                     // plain services are not served when nil
	Entries  func(jaywind.Organisation) []jaywind.Address // the entries that an organisation should use
	Clock    jaywind.Clock                                // the machine's when nil
	Log      *zap.Logger                                  // silent when nil
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
	m.POST("/v1/completions", h.complete)
	m.GET("/v1/entries", h.entries)
	h.handleServices(m)
	m.GET("/healthz", h.health)
	m.GET("/readyz", h.ready)
	return m
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
