package endpoint

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jaywind"
)

// Entry is what a registry says of one incarnation of an endpoint.
type Entry struct {
	ID      jaywind.EndpointID
	Service jaywind.ServiceName
	Address jaywind.Address
	Domain  jaywind.Domain
	Version jaywind.Version // of its software
	Models  []jaywind.Model // that an engine serves; empty for a plain service
	Slots   int             // calls that it runs at once
	Leaving bool            // takes no new work
	Born    int64           // start of the incarnation, in Unix milliseconds; 0 if unknown
}

// Endpoint is a row of the table.
type Endpoint struct {
	Entry
	Calls   int // own calls that are open
	Held    int // tokens of memory that own calls and copies take
	Reading int // tokens of own prompts before their first event

	missing  time.Time // when the entry was missed; zero while it is there
	failures int       // in a row
	closed   time.Time // takes new work again from then on
	offset   float64   // of this router's preference, 0 to 1
}

// Table holds the endpoints that are known; set Self before use.
type Table struct {
	Self jaywind.VM // whose preference among equals decides

	rows     map[jaywind.EndpointID]*Endpoint
	services map[jaywind.ServiceName][]*Endpoint
	shaken   map[jaywind.Domain]shake
}

// shake is the last failure in a failure domain.
type shake struct {
	first jaywind.EndpointID // that failed
	at    time.Time
	till  time.Time // the domain is avoided until then
}

// Set adds an endpoint or replaces what is known of it, and returns whether that changed.
func (t *Table) Set(e Entry) bool {
	if t.rows == nil {
		t.rows = map[jaywind.EndpointID]*Endpoint{}
		t.services = map[jaywind.ServiceName][]*Endpoint{}
		t.shaken = map[jaywind.Domain]shake{}
	}
	old := t.rows[e.ID]
	if old != nil && old.Born == e.Born && old.Address == e.Address && old.Service == e.Service {
		changed := old.Leaving != e.Leaving || old.Version != e.Version || !old.missing.IsZero()
		old.Entry = e
		old.missing = time.Time{}
		return changed
	}
	if old != nil {
		t.Remove(e.ID)
	}
	row := &Endpoint{Entry: e, offset: preference(t.Self, e.ID)}
	t.rows[e.ID] = row
	t.services[e.Service] = append(t.services[e.Service], row)
	return true
}

// preference differs from router to router, so that routers which see the same load choose different endpoints.
func preference(self jaywind.VM, id jaywind.EndpointID) float64 {
	return float64(xxhash.Sum64String(string(self)+"\x00"+string(id))>>11) / (1 << 53)
}

// Get returns the row of an endpoint, or nil.
func (t *Table) Get(id jaywind.EndpointID) *Endpoint {
	return t.rows[id]
}

// Remove forgets an endpoint.
func (t *Table) Remove(id jaywind.EndpointID) {
	e := t.rows[id]
	if e == nil {
		return
	}
	delete(t.rows, id)
	t.services[e.Service] = slices.DeleteFunc(t.services[e.Service], func(o *Endpoint) bool { return o == e })
}

// Miss notes that the registry has no entry of an endpoint any more, though it may come back.
func (t *Table) Miss(id jaywind.EndpointID, now time.Time) {
	if e := t.rows[id]; e != nil && e.missing.IsZero() {
		e.missing = now
	}
}

// Expire removes the endpoints that were missed before a time and returns their ids.
func (t *Table) Expire(before time.Time) []jaywind.EndpointID {
	var gone []jaywind.EndpointID
	for id, e := range t.rows {
		if !e.missing.IsZero() && e.missing.Before(before) {
			gone = append(gone, id)
		}
	}
	for _, id := range gone {
		t.Remove(id)
	}
	return gone
}

// Count returns how many endpoints are known.
func (t *Table) Count() int {
	return len(t.rows)
}

// IDs returns the ids of all endpoints.
func (t *Table) IDs() []jaywind.EndpointID {
	ids := make([]jaywind.EndpointID, 0, len(t.rows))
	for id := range t.rows {
		ids = append(ids, id)
	}
	return ids
}
