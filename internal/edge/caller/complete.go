package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/julienschmidt/httprouter"

	"jaywind"
	"jaywind/embed"
	"jaywind/internal/core/table"
)

func (h *Handler) complete(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var c completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", "body: "+err.Error(), 0)
		return
	}
	req, err := generationRequest(r, c, requestID(r), jaywind.Seed(rand.Uint64()))
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error(), 0)
		return
	}
	answer, err := h.Router.Generate(r.Context(), req)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "stopped", err.Error(), time.Second)
		return
	}
	defer answer.Close()
	w.Header().Set("X-Request-Id", string(req.ID))
	o := &answerWriter{w: w, control: http.NewResponseController(w), handler: h, request: req}
	if c.Stream {
		o.stream(r.Context(), answer)
		return
	}
	o.collect(r.Context(), answer)
}

// requestID returns the id that the caller gave the request, or a new random one.
func requestID(r *http.Request) jaywind.RequestID {
	if id := r.Header.Get("X-Request-Id"); id != "" {
		return jaywind.RequestID(id)
	}
	return jaywind.RequestID(strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36))
}

// answerWriter writes one answer.
type answerWriter struct {
	w           http.ResponseWriter
	control     *http.ResponseController
	handler     *Handler
	request     table.GenerationRequest
	started     bool
	partialRune string // bytes of an incomplete rune, not written yet
}

// stream writes the events of an answer as they arrive, and SSE comments as heartbeats in between.
func (o *answerWriter) stream(ctx context.Context, a *embed.Answer) {
	for {
		e, err := nextWithTimeout(ctx, a, heartbeatInterval)
		switch {
		case err == nil && e.Final != nil:
			o.writeFinal(e)
			return
		case err == nil:
			err = o.writeToken(e)
		case errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil:
			err = o.write(": waiting\n\n")
		}
		if err != nil {
			o.cutOff()
			return
		}
	}
}

// cutOff ends an answer that is not complete. The end of a body that has begun would look like that of the answer, so its connection is closed.
func (o *answerWriter) cutOff() {
	if o.started {
		panic(http.ErrAbortHandler)
	}
	status, code := statusOf(table.OutcomeFailed)
	writeJSON(o.w, status, errorResponse{Error: newErrorDetail(code, "the answer was cut off", true, 0)})
}

func nextWithTimeout(ctx context.Context, a *embed.Answer, limit time.Duration) (embed.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return a.Next(ctx)
}

func (o *answerWriter) writeToken(e embed.Event) error {
	// JSON text can hold only whole, valid runes. If that alters the token, Bytes carries it exactly.
	var text string
	text, o.partialRune = jaywind.SplitPartialRune(e.PartialRune + e.Token.Text)
	c := o.chunk(text, nil)
	c.Token = int64(e.Token.ID)
	if text != e.Token.Text || !utf8.ValidString(text) {
		c.Bytes = []byte(e.Token.Text)
	}
	return o.writeChunk(e.Bookmark, c)
}

func (o *answerWriter) writeFinal(e embed.Event) {
	f := e.Final
	if f.Outcome == table.OutcomeCompleted {
		finish := "stop"
		c := o.chunk(o.partialRune, &finish)
		c.Usage = &usage{CompletionTokens: int(e.Bookmark.Position)}
		c.Digest = strconv.FormatUint(uint64(e.Bookmark.Digest), 16)
		if o.writeChunk(e.Bookmark, c) == nil {
			_ = o.write("data: [DONE]\n\n")
		}
		return
	}
	status, code := statusOf(f.Outcome)
	if !o.started {
		writeError(o.w, status, code, f.Reason, f.RetryAfter)
		return
	}
	p := newErrorDetail(code, f.Reason, f.Outcome != table.OutcomeRefused, f.RetryAfter)
	text, err := json.Marshal(errorResponse{Error: p})
	if err == nil {
		_ = o.write(fmt.Sprintf("data: %s\n\n", text))
	}
}

func statusOf(outcome table.Outcome) (status int, code string) {
	switch outcome {
	case table.OutcomeRefused:
		return http.StatusServiceUnavailable, "not_run"
	case table.OutcomeBookmarkMismatch:
		return http.StatusConflict, "bookmark_mismatch"
	default:
		return http.StatusBadGateway, "generation_failed"
	}
}

func (o *answerWriter) chunk(text string, finish *string) chunk {
	return chunk{
		ID:      string(o.request.ID),
		Object:  "text_completion",
		Created: o.handler.Clock.Now().Unix(),
		Model:   string(o.request.Model),
		Choices: []choice{{Text: text, FinishReason: finish}},
	}
}

func (o *answerWriter) writeChunk(mark jaywind.Bookmark, c chunk) error {
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return o.write(fmt.Sprintf("id: %s\ndata: %s\n\n", mark, text))
}

// write sends text with a write deadline, so that a caller that does not read can't block the handler.
func (o *answerWriter) write(text string) error {
	if !o.started {
		o.started = true
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.Header().Set("Cache-Control", "no-store")
	}
	if err := o.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := o.w.Write([]byte(text)); err != nil {
		return err
	}
	return o.control.Flush()
}

// collect writes the whole answer as one JSON body, for a request that is not streamed.
func (o *answerWriter) collect(ctx context.Context, a *embed.Answer) {
	var text strings.Builder
	for {
		e, err := a.Next(ctx)
		if err != nil {
			o.cutOff()
			return
		}
		if e.Final == nil {
			text.WriteString(e.Token.Text)
			continue
		}
		if e.Final.Outcome != table.OutcomeCompleted {
			o.writeFinal(e)
			return
		}
		finish := "stop"
		c := o.chunk(text.String(), &finish)
		c.Usage = &usage{CompletionTokens: int(e.Bookmark.Position)}
		c.Digest = strconv.FormatUint(uint64(e.Bookmark.Digest), 16)
		writeJSON(o.w, http.StatusOK, c)
		return
	}
}
