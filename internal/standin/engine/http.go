package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"jaywind"
)

const maxBodyBytes = 4 << 20

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	e.countRequest()
	var request completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.refuses() {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	if e.failsRandomly() {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	u := e.startRun(request)
	e.serveStream(w, r, u, jaywind.Attempt(request.Attempt), len(request.Prefix))
}

// startRun starts a run for a request. It cancels the run of an earlier attempt.
func (e *Engine) startRun(request completionRequest) *run {
	u := newRun(request)
	id := jaywind.RequestID(request.Request)
	e.mu.Lock()
	old := e.runs[id]
	e.runs[id] = u
	e.mu.Unlock()
	if old != nil {
		old.cancel(jaywind.Attempt(request.Attempt))
	}
	e.group.Go(func() {
		e.produce(u)
		time.Sleep(e.idleTimeout())
		e.removeRun(id, u)
	})
	return u
}

func (e *Engine) removeRun(id jaywind.RequestID, u *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[id] == u {
		delete(e.runs, id)
	}
}

func (e *Engine) findRun(p httprouter.Params) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[jaywind.RequestID(p.ByName("request"))]
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	u := e.findRun(p)
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
	e.serveStream(w, r, u, jaywind.Attempt(attempt), from)
}

func (e *Engine) progress(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	e.waitWhilePaused()
	u := e.findRun(p)
	if u == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	tokens, complete, _, _ := u.snapshot(0)
	writeJSON(w, progress{Position: len(tokens), Done: complete})
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	attempt, err := strconv.ParseUint(r.URL.Query().Get("attempt"), 10, 64)
	if err != nil {
		http.Error(w, "attempt: "+err.Error(), http.StatusBadRequest)
		return
	}
	if u := e.findRun(p); u != nil {
		u.cancel(jaywind.Attempt(attempt))
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveStream writes the tokens of a run from a position on.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, u *run, a jaywind.Attempt, from int) {
	u.addListeners(a, 1)
	defer u.addListeners(a, -1)
	w.Header().Set("Content-Type", "text/event-stream")
	s := streamWriter{w: w, controller: http.NewResponseController(w), engine: e, number: e.nextStreamNumber()}
	s.flush()
	before, _, _, _ := u.snapshot(0)
	digest := jaywind.DigestOf(before[:min(from, len(before))])
	for {
		tokens, complete, ended, changed := u.snapshot(from)
		for _, t := range tokens {
			digest = digest.Add(t)
			if !s.write(r, tokenChunk(u.request.Request, a, from, t, digest)) {
				return
			}
			from++
		}
		if ended && complete {
			allTokens, _, _, _ := u.snapshot(0)
			s.write(r, endChunk(u.request.Request, a, len(allTokens), jaywind.DigestOf(allTokens)))
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

func (e *Engine) countRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.completionRequests++
}

type counts struct {
	Asked int `json:"asked"`
}

func (e *Engine) counts(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, counts{Asked: e.CompletionRequests()})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
