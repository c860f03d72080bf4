package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"jaywind"
)

const bodyLimit = 4 << 20 // bytes of a request

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	e.noteAsked()
	var ask completion
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(&ask); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.refuses() {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	if e.errs() {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	u := e.start(ask)
	e.stream(w, r, u, jaywind.Attempt(ask.Attempt), len(ask.Prefix))
}

// start begins the work on a request, replacing that of an earlier attempt.
func (e *Engine) start(ask completion) *run {
	u := newRun(ask)
	id := jaywind.RequestID(ask.Request)
	e.mu.Lock()
	old := e.runs[id]
	e.runs[id] = u
	e.mu.Unlock()
	if old != nil {
		old.cancel(jaywind.Attempt(ask.Attempt))
	}
	e.group.Go(func() {
		e.produce(u)
		time.Sleep(e.keep())
		e.forget(id, u)
	})
	return u
}

func (e *Engine) forget(id jaywind.RequestID, u *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[id] == u {
		delete(e.runs, id)
	}
}

func (e *Engine) find(p httprouter.Params) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[jaywind.RequestID(p.ByName("request"))]
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	u := e.find(p)
	from, errFrom := strconv.Atoi(r.URL.Query().Get("from"))
	attempt, errAttempt := strconv.ParseUint(r.URL.Query().Get("attempt"), 10, 64)
	if errFrom != nil || errAttempt != nil || from < 0 {
		http.Error(w, "from and attempt must be whole numbers", http.StatusBadRequest)
		return
	}
	if u == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.stream(w, r, u, jaywind.Attempt(attempt), from)
}

func (e *Engine) progress(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	e.waitWhilePaused()
	u := e.find(p)
	if u == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	tokens, whole, _, _ := u.view(0)
	writeJSON(w, progress{Position: len(tokens), Done: whole})
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	attempt, err := strconv.ParseUint(r.URL.Query().Get("attempt"), 10, 64)
	if err != nil {
		http.Error(w, "attempt: "+err.Error(), http.StatusBadRequest)
		return
	}
	if u := e.find(p); u != nil {
		u.cancel(jaywind.Attempt(attempt))
	}
	w.WriteHeader(http.StatusNoContent)
}

// stream writes the tokens of a run from a position on.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, u *run, a jaywind.Attempt, from int) {
	u.listen(a, 1)
	defer u.listen(a, -1)
	w.Header().Set("Content-Type", "text/event-stream")
	s := writer{w: w, control: http.NewResponseController(w), engine: e, number: e.nextStream()}
	s.flush()
	before, _, _, _ := u.view(0)
	digest := jaywind.DigestOf(before[:min(from, len(before))])
	for {
		tokens, whole, ended, changed := u.view(from)
		for _, t := range tokens {
			digest = digest.Add(t)
			if !s.write(r, tokenChunk(u.ask.Request, a, from, t, digest)) {
				return
			}
			from++
		}
		if ended && whole {
			all, _, _, _ := u.view(0)
			s.write(r, endChunk(u.ask.Request, a, len(all), jaywind.DigestOf(all)))
			return
		}
		if ended {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) noteAsked() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked++
}

type counts struct {
	Asked int `json:"asked"`
}

func (e *Engine) counts(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, counts{Asked: e.Asked()})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
