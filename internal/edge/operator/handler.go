package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"jaywind"
	"jaywind/embed"
	"jaywind/internal/fleet/cbor"
)

const (
	statusTimeout = time.Second
	maxBodyBytes  = 1 << 16
)

// router is the part of embed.Router that the handler uses.
type router interface {
	Status(ctx context.Context) (embed.Status, error)
	RulesText() (jaywind.RulesVersion, string)
}

// Handler serves the HTTP interface for operators. Set its fields before calling Mux.
type Handler struct {
	Router  router
	Secret  string
	Metrics http.Handler // serves /metrics; nil disables the path
	Burn    http.Handler // serves /burn; nil disables the path
}

// Mux returns the handler for all paths of the operator port.
func (h *Handler) Mux() http.Handler {
	m := httprouter.New()
	m.GET("/v1/status", h.status)
	m.GET("/v1/rules", h.rules)
	if h.Metrics != nil {
		m.Handler(http.MethodGet, "/metrics", h.Metrics)
	}
	if h.Burn != nil {
		m.Handler(http.MethodGet, "/burn", h.Burn)
	}
	public := httprouter.New()
	public.GET("/healthz", health)
	public.NotFound = cbor.RequireSecret(h.Secret, m)
	return http.MaxBytesHandler(public, maxBodyBytes)
}

func health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handler) status(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	s, err := h.Router.Status(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(statusOf(s))
}

// rules writes the rules in force, preceded by a comment line with their version.
func (h *Handler) rules(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	version, text := h.Router.RulesText()
	if version == 0 {
		http.Error(w, "no rules are known yet", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = fmt.Fprintf(w, "# rules version %d\n%s", version, text)
}
