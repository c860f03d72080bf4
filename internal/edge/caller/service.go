package caller

import (
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"

	"jaywind"
	"jaywind/internal/core/table"
)

const (
	serviceBodyLimit = 1 << 20 // bytes of a call to a service
	keyLimit         = 255     // bytes of an Idempotency-Key, and of an organisation's name
)

// services is what the handler needs of a router for plain services.
type services interface {
	Call(ctx context.Context, ask table.CallRequest) (table.Respond, error)
	CallDeadline(want time.Duration) time.Time
}

var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

func (h *Handler) handleServices(m *httprouter.Router) {
	if h.Services == nil {
		return
	}
	for _, method := range serviceMethods {
		m.Handle(method, "/services/:service/*path", h.work(h.callService))
	}
}

func (h *Handler) callService(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	ask, fault := h.serviceAsk(w, r, p)
	if fault != "" {
		writeError(w, http.StatusBadRequest, "bad_request", fault, 0)
		return
	}
	w.Header().Set("X-Request-Id", string(ask.ID))
	c, err := h.Services.Call(r.Context(), ask)
	if err != nil {
		return // the caller is gone
	}
	writeRespond(w, c)
}

// serviceAsk reads a call, or returns what is wrong with it.
func (h *Handler) serviceAsk(w http.ResponseWriter, r *http.Request, p httprouter.Params) (table.CallRequest, string) {
	target, clean := cleanPath(p.ByName("path"))
	if !clean {
		return table.CallRequest{}, "path: must be without empty parts, . and .."
	}
	key := r.Header.Get("Idempotency-Key")
	if len(key) > keyLimit {
		return table.CallRequest{}, "Idempotency-Key: want at most " + strconv.Itoa(keyLimit) + " bytes"
	}
	if len(organisationOf(r)) > keyLimit {
		return table.CallRequest{}, "OpenAI-Organization: want at most " + strconv.Itoa(keyLimit) + " bytes"
	}
	limit, fault := timeoutOf(r)
	if fault != "" {
		return table.CallRequest{}, fault
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, serviceBodyLimit))
	if err != nil {
		return table.CallRequest{}, "body: " + err.Error()
	}
	uri := (&url.URL{Path: target, RawQuery: r.URL.RawQuery}).RequestURI()
	return table.CallRequest{
		ID:           jaywind.RequestID(strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36)),
		Organisation: organisationOf(r),
		Service:      jaywind.ServiceName(p.ByName("service")),
		Key:          jaywind.IdempotencyKey(key),
		Body:         exchangeDigest(r.Method, uri, body),
		HTTP:         jaywind.ServiceRequest{Method: r.Method, Path: uri, Header: r.Header.Clone(), Body: body},
		Deadline:     h.Services.CallDeadline(limit),
	}, ""
}

// cleanPath refuses spellings of a path that a service may take for another one than the rules do.
func cleanPath(p string) (string, bool) {
	cleaned := path.Clean(p)
	if strings.HasSuffix(p, "/") && cleaned != "/" {
		cleaned += "/"
	}
	return p, cleaned == p
}

// timeoutOf returns the caller's X-Request-Timeout in seconds, or 0 without one.
func timeoutOf(r *http.Request) (time.Duration, string) {
	text := r.Header.Get("X-Request-Timeout")
	if text == "" {
		return 0, ""
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0 && seconds < math.MaxInt32) {
		return 0, "X-Request-Timeout: want seconds above 0, got " + strconv.Quote(text)
	}
	return time.Duration(seconds * float64(time.Second)), ""
}

func exchangeDigest(method, uri string, body []byte) jaywind.Digest {
	h := xxhash.New()
	_, _ = h.WriteString(method + " " + uri + "\n")
	_, _ = h.Write(body)
	return jaywind.Digest(h.Sum64())
}

// verdict is how a result is told over HTTP.
type verdict struct {
	status int
	code   string
	run    bool // false: certainly not run
}

var verdicts = map[table.Result]verdict{
	table.ResultNotRun:    {http.StatusServiceUnavailable, "not_run", false},
	table.ResultUnknown:   {http.StatusGatewayTimeout, "outcome_unknown", true},
	table.ResultKeyReused: {http.StatusUnprocessableEntity, "key_reused", false},
	table.ResultInvalid:   {http.StatusBadRequest, "bad_request", false},
	table.ResultFailed:    {http.StatusBadGateway, "no_answer", true},
}

func writeRespond(w http.ResponseWriter, c table.Respond) {
	if c.Result == table.ResultReply {
		writeReply(w, c)
		return
	}
	v := verdicts[c.Result]
	if c.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(c.RetryAfter.Seconds()))))
	}
	writeJSON(w, v.status, failure{Error: problemOf(v.code, c.Reason, v.run, c.RetryAfter)})
}

func writeReply(w http.ResponseWriter, c table.Respond) {
	for name, values := range c.Reply.Header {
		w.Header()[name] = values
	}
	if c.Replayed {
		w.Header().Set("Idempotent-Replayed", "true")
	}
	w.WriteHeader(c.Reply.Status)
	_, _ = w.Write(c.Reply.Body)
}
