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
	maxCallBodyBytes = 1 << 20
	maxKeyBytes      = 255 // bytes of an Idempotency-Key, and of an organisation's name
)

// services is the part of embed.Router that the handler uses for plain services.
type services interface {
	Call(ctx context.Context, req table.CallRequest) (table.Respond, error)
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
		m.Handle(method, "/services/:service/*path", h.trackRequest(h.callService))
	}
}

func (h *Handler) callService(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	req, reason := h.callRequest(w, r, p)
	if reason != "" {
		writeError(w, http.StatusBadRequest, "bad_request", reason, 0)
		return
	}
	w.Header().Set("X-Request-Id", string(req.ID))
	c, err := h.Services.Call(r.Context(), req)
	if err != nil {
		return // the caller has disconnected
	}
	writeResult(w, c)
}

// callRequest validates a service call and converts it for the router. The string is the reason why a call is invalid,
// or empty.
func (h *Handler) callRequest(w http.ResponseWriter, r *http.Request, p httprouter.Params) (table.CallRequest, string) {
	target, clean := cleanPath(p.ByName("path"))
	if !clean {
		return table.CallRequest{}, "path: must be without empty parts, . and .."
	}
	key := r.Header.Get("Idempotency-Key")
	if len(key) > maxKeyBytes {
		return table.CallRequest{}, "Idempotency-Key: want at most " + strconv.Itoa(maxKeyBytes) + " bytes"
	}
	if len(organisationOf(r)) > maxKeyBytes {
		return table.CallRequest{}, "OpenAI-Organization: want at most " + strconv.Itoa(maxKeyBytes) + " bytes"
	}
	limit, reason := timeoutOf(r)
	if reason != "" {
		return table.CallRequest{}, reason
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBodyBytes))
	if err != nil {
		return table.CallRequest{}, "body: " + err.Error()
	}
	uri := (&url.URL{Path: target, RawQuery: r.URL.RawQuery}).RequestURI()
	return table.CallRequest{
		ID:           jaywind.RequestID(strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36)),
		Organisation: organisationOf(r),
		Service:      jaywind.ServiceName(p.ByName("service")),
		Key:          jaywind.IdempotencyKey(key),
		Body:         requestDigest(r.Method, uri, body),
		HTTP:         jaywind.ServiceRequest{Method: r.Method, Path: uri, Header: r.Header.Clone(), Body: body},
		Deadline:     h.Services.CallDeadline(limit),
	}, ""
}

// cleanPath reports whether a path is in canonical form. A service might resolve any other form to a path that the
// rules don't match it with.
func cleanPath(p string) (string, bool) {
	cleaned := path.Clean(p)
	if strings.HasSuffix(p, "/") && cleaned != "/" {
		cleaned += "/"
	}
	return p, cleaned == p
}

// timeoutOf returns the timeout in the header X-Request-Timeout, or 0 without one. The string is the reason why the
// header is invalid, or empty.
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

func requestDigest(method, uri string, body []byte) jaywind.Digest {
	h := xxhash.New()
	_, _ = h.WriteString(method + " " + uri + "\n")
	_, _ = h.Write(body)
	return jaywind.Digest(h.Sum64())
}

// httpError is the HTTP status and error code that report a result without a reply.
type httpError struct {
	status     int
	code       string
	mayHaveRun bool // false only if the call certainly was not run
}

var httpErrors = map[table.Result]httpError{
	table.ResultNotRun:    {http.StatusServiceUnavailable, "not_run", false},
	table.ResultUnknown:   {http.StatusGatewayTimeout, "outcome_unknown", true},
	table.ResultKeyReused: {http.StatusUnprocessableEntity, "key_reused", false},
	table.ResultInvalid:   {http.StatusBadRequest, "bad_request", false},
	table.ResultFailed:    {http.StatusBadGateway, "no_answer", true},
}

func writeResult(w http.ResponseWriter, c table.Respond) {
	if c.Result == table.ResultReply {
		writeReply(w, c)
		return
	}
	v := httpErrors[c.Result]
	if c.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(c.RetryAfter.Seconds()))))
	}
	writeJSON(w, v.status, errorResponse{Error: newErrorDetail(v.code, c.Reason, v.mayHaveRun, c.RetryAfter)})
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
