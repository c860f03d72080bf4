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
	var c completion
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(&c); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", "body: "+err.Error(), 0)
		return
	}
	ask, err := askOf(r, c, requestID(r), jaywind.Seed(rand.Uint64()))
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error(), 0)
		return
	}
	answer, err := h.Router.Generate(r.Context(), ask)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "stopped", err.Error(), time.Second)
		return
	}
	defer answer.Close()
	w.Header().Set("X-Request-Id", string(ask.ID))
	o := &output{w: w, control: http.NewResponseController(w), handler: h, ask: ask}
	if c.Stream {
		o.stream(r.Context(), answer)
		return
	}
	o.collect(r.Context(), answer)
}

// requestID returns the caller's id for the request, or a new one.
func requestID(r *http.Request) jaywind.RequestID {
	if id := r.Header.Get("X-Request-Id"); id != "" {
		return jaywind.RequestID(id)
	}
	return jaywind.RequestID(strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36))
}

// output writes one answer.
type output struct {
	w       http.ResponseWriter
	control *http.ResponseController
	handler *Handler
	ask     table.GenerationRequest
	started bool
	tail    string // the bytes of a rune that are not written yet
}

// stream writes the events of an answer as they come, and comments while none do.
func (o *output) stream(ctx context.Context, a *embed.Answer) {
	for {
		e, err := nextWithin(ctx, a, heartbeat)
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
			return
		}
	}
}

func nextWithin(ctx context.Context, a *embed.Answer, limit time.Duration) (embed.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return a.Next(ctx)
}

func (o *output) writeToken(e embed.Event) error {
	// The text holds whole runes only; where it is not the token's, the bytes tell.
	var whole string
	whole, o.tail = jaywind.SplitPartialRune(e.Tail + e.Token.Text)
	c := o.chunk(whole, nil)
	c.Token = int64(e.Token.ID)
	if whole != e.Token.Text || !utf8.ValidString(whole) {
		c.Bytes = []byte(e.Token.Text)
	}
	return o.writeChunk(e.Mark, c)
}

func (o *output) writeFinal(e embed.Event) {
	f := e.Final
	if f.Outcome == table.OutcomeCompleted {
		finish := "stop"
		c := o.chunk(o.tail, &finish)
		c.Usage = &usage{Completion: int(e.Mark.Position)}
		c.Digest = strconv.FormatUint(uint64(e.Mark.Digest), 16)
		if o.writeChunk(e.Mark, c) == nil {
			_ = o.write("data: [DONE]\n\n")
		}
		return
	}
	status, code := statusOf(f.Outcome)
	if !o.started {
		writeError(o.w, status, code, f.Reason, f.RetryAfter)
		return
	}
	p := problemOf(code, f.Reason, f.Outcome != table.OutcomeRefused, f.RetryAfter)
	text, err := json.Marshal(failure{Error: p})
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

func (o *output) chunk(text string, finish *string) chunk {
	return chunk{
		ID:      string(o.ask.ID),
		Object:  "text_completion",
		Created: o.handler.Clock.Now().Unix(),
		Model:   string(o.ask.Model),
		Choices: []choice{{Text: text, Finish: finish}},
	}
}

func (o *output) writeChunk(mark jaywind.Bookmark, c chunk) error {
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return o.write(fmt.Sprintf("id: %s\ndata: %s\n\n", mark, text))
}

// write sends text and gives the caller a bounded time to take it.
func (o *output) write(text string) error {
	if !o.started {
		o.started = true
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.Header().Set("Cache-Control", "no-store")
	}
	if err := o.control.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
		return err
	}
	if _, err := o.w.Write([]byte(text)); err != nil {
		return err
	}
	return o.control.Flush()
}

// collect answers a request that is not streamed.
func (o *output) collect(ctx context.Context, a *embed.Answer) {
	var text strings.Builder
	for {
		e, err := a.Next(ctx)
		if err != nil {
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
		c.Usage = &usage{Completion: int(e.Mark.Position)}
		c.Digest = strconv.FormatUint(uint64(e.Mark.Digest), 16)
		writeJSON(o.w, http.StatusOK, c)
		return
	}
}
