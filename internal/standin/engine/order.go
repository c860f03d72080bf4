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

// Orders are the switches for how the engine treats orders.
type Orders struct {
	Unfenced bool          // obey old fencing numbers
	Lose     int           // answer so many orders and do nothing
	LoadTime time.Duration // from the order until the version is loaded
}

// SetOrders replaces the switches for orders.
func (e *Engine) SetOrders(o Orders) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = o
}

// SetLoaded replaces the loaded versions.
func (e *Engine) SetLoaded(versions ...jaywind.Version) {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.loaded)
	for _, v := range versions {
		e.loaded[v] = true
	}
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
	if jaywind.Fence(o.Fence) < e.fence && !e.orders.Unfenced {
		http.Error(w, "fencing number is old", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, jaywind.Fence(o.Fence))
	w.WriteHeader(http.StatusNoContent)
	if e.orders.Lose > 0 {
		e.orders.Lose--
		return
	}
	e.obey(jaywind.Action(o.Action), jaywind.Version(o.Version))
}

// obey brings about the wanted state; the caller holds mu.
func (e *Engine) obey(a jaywind.Action, v jaywind.Version) {
	switch a {
	case jaywind.ActionLoad:
		after := e.orders.LoadTime
		e.group.Go(func() {
			time.Sleep(after)
			e.mu.Lock()
			defer e.mu.Unlock()
			e.loaded[v] = true
		})
	case jaywind.ActionUnload:
		delete(e.loaded, v)
	}
}
