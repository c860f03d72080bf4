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
	callLimit = time.Second
	bodyLimit = 1 << 16 // bytes of a request
)

// router is what the handler needs of a router.
type router interface {
	Status(ctx context.Context) (embed.Status, error)
	RulesText() (jaywind.RulesVersion, string)
}

// Handler serves operators; set its fields before Mux is called.
type Handler struct {
	Router  router
	Secret  string
	Metrics http.Handler // serves /metrics; not served when nil
	Burn    http.Handler // serves /burn; not served when nil
}

// Mux returns the HTTP interface for operators.
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
	open := httprouter.New()
	open.GET("/healthz", health)
	open.NotFound = cbor.Guard(h.Secret, m)
	return http.MaxBytesHandler(open, bodyLimit)
}

func health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handler) status(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ctx, cancel := context.WithTimeout(r.Context(), callLimit)
	defer cancel()
	s, err := h.Router.Status(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(statusOf(s))
}

// rules answers with the text in force under a line that states its version.
func (h *Handler) rules(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	version, text := h.Router.RulesText()
	if version == 0 {
		http.Error(w, "no rules are known yet", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = fmt.Fprintf(w, "# rules version %d\n%s", version, text)
}
