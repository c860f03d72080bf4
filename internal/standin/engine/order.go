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

// OrderFaults are the faults in handling orders.
type OrderFaults struct {
	Unfenced bool          // obey orders with an old fencing number
	Ignore   int           // answer so many orders without carrying them out
	LoadTime time.Duration // from a load order until the version is loaded
}

// SetOrderFaults replaces the faults in handling orders.
func (e *Engine) SetOrderFaults(o OrderFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orderFaults = o
}

// SetLoaded replaces the set of loaded versions.
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
		if _, _, ended, _ := u.snapshot(0); !ended {
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
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if jaywind.Fence(o.Fence) < e.fence && !e.orderFaults.Unfenced {
		http.Error(w, "fencing number is old", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, jaywind.Fence(o.Fence))
	w.WriteHeader(http.StatusNoContent)
	if e.orderFaults.Ignore > 0 {
		e.orderFaults.Ignore--
		return
	}
	e.carryOut(jaywind.Action(o.Action), jaywind.Version(o.Version))
}

// carryOut loads or unloads a version; the caller holds mu.
func (e *Engine) carryOut(a jaywind.Action, v jaywind.Version) {
	switch a {
	case jaywind.ActionLoad:
		after := e.orderFaults.LoadTime
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
