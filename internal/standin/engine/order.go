package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"jaywind"
)

type load struct {
	Running int       `json:"running"`
	Queued  int       `json:"queued"`
	At      time.Time `json:"at"`
	Version string    `json:"version"`
	Loaded  []string  `json:"loaded"`
}

type order struct {
	Fence   uint64 `json:"fence"`
	Version string `json:"version"`
	Action  string `json:"action"`
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	e.waitWhilePaused()
	e.mu.Lock()
	l := load{At: time.Now(), Version: string(e.Version)}
	for _, u := range e.runs {
		if _, _, ended, _ := u.view(0); !ended {
			l.Running++
		}
	}
	for v := range e.loaded {
		l.Loaded = append(l.Loaded, string(v))
	}
	e.mu.Unlock()
	writeJSON(w, l)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var o order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if jaywind.Fence(o.Fence) < e.fence {
		http.Error(w, "fencing number is old", http.StatusConflict)
		return
	}
	e.fence = jaywind.Fence(o.Fence)
	switch jaywind.Action(o.Action) {
	case jaywind.ActionLoad:
		e.loaded[jaywind.Version(o.Version)] = true
	case jaywind.ActionUnload:
		delete(e.loaded, jaywind.Version(o.Version))
	}
	w.WriteHeader(http.StatusNoContent)
}
