package endpoint

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jaywind"
)

// Entry is what a registry says of one incarnation of an endpoint.
type Entry struct {
	ID          jaywind.EndpointID
	Service     jaywind.ServiceName
	Address     jaywind.Address
	Domain      jaywind.Domain
	Version     jaywind.Version // of its software
	Models      []jaywind.Model // that an engine serves; empty for a plain service
	Slots       int             // calls that it runs at once
	Leaving     bool            // takes no new work
	Incarnation int64           // start of the incarnation, in Unix milliseconds; 0 if unknown
}

// Endpoint is a row of the table. What says where it is never changes, so a user may read that at any time.
type Endpoint struct {
	Entry
	Calls         int // own calls that are open
	HeldTokens    int // tokens of memory that own calls and copies take
	PrefillTokens int // tokens of own prompts before their first event

	missing  time.Time // when the entry was missed; zero while it is there
	sighted  bool      // it is known by its own word only, as the registry is away
	failures int       // in a row
	closed   time.Time // takes new work again from then on
	spot     uint64    // on the ring of endpoints
}

// Table holds the endpoints that are known; its zero value is empty.
type Table struct {
	place, routers int // of this router among those that choose, from 0

	rows     map[jaywind.EndpointID]*Endpoint
	services map[jaywind.ServiceName][]*Endpoint
	shaken   map[jaywind.Domain]shake
	ending   map[jaywind.ServiceName]jaywind.Version // services of which only this version goes on
}

// shake is the last failure in a failure domain.
type shake struct {
	first jaywind.EndpointID // that failed
	at    time.Time
	till  time.Time // the domain is avoided until then
}

// Set adds an endpoint or replaces what is known of it, and returns whether that changed.
// An entry of an endpoint whose address has a younger one is not taken.
func (t *Table) Set(e Entry) bool {
	if t.rows == nil {
		t.rows = map[jaywind.EndpointID]*Endpoint{}
		t.services = map[jaywind.ServiceName][]*Endpoint{}
		t.shaken = map[jaywind.Domain]shake{}
	}
	old := t.rows[e.ID]
	if old != nil && old.Incarnation == e.Incarnation && old.Address == e.Address && old.Service == e.Service && old.Domain == e.Domain {
		changed := old.Leaving != e.Leaving || old.Version != e.Version || !old.missing.IsZero() || old.sighted
		old.Leaving, old.Version, old.Slots, old.Models = e.Leaving, e.Version, e.Slots, e.Models
		old.missing, old.sighted = time.Time{}, false
		return changed
	}
	if old != nil {
		t.Remove(e.ID)
	}
	for _, o := range t.rows {
		if o.Address == e.Address && o.Incarnation > e.Incarnation {
			return false
		}
	}
	t.supersede(e)
	row := &Endpoint{Entry: e, spot: xxhash.Sum64String(string(e.ID))}
	t.rows[e.ID] = row
	all := t.services[e.Service]
	at, _ := slices.BinarySearchFunc(all, row, func(a, b *Endpoint) int {
		return cmp.Or(cmp.Compare(a.spot, b.spot), cmp.Compare(a.ID, b.ID))
	})
	t.services[e.Service] = slices.Insert(all, at, row)
	return true
}

// supersede drops the endpoints that an address had before; their entries may stay in the registry for a while.
func (t *Table) supersede(e Entry) {
	for id, o := range t.rows {
		if o.Address == e.Address && o.Incarnation < e.Incarnation {
			t.Remove(id)
		}
	}
}

// SetPartition tells which of so many routers this one is, counted from 0. Each prefers its own part
// of a service's endpoints, where it knows all the work, and takes others when that is full.
func (t *Table) SetPartition(place, routers int) {
	t.place, t.routers = place, routers
}

// distance returns how far an endpoint, the i-th of n, is from this router's part: 0 inside and up to 1.
func (t *Table) distance(i, n int) float64 {
	if t.routers <= 1 {
		return 0
	}
	at := (float64(i) + 0.5) / float64(n) // on a ring of length 1
	if int(at*float64(t.routers)) == t.place {
		return 0
	}
	d := at - (float64(t.place)+0.5)/float64(t.routers)
	return 2 * math.Abs(d-math.Round(d))
}

// RetainVersion tells that only one version of a service goes on, so that copies are kept there; empty for all versions.
func (t *Table) RetainVersion(s jaywind.ServiceName, keep jaywind.Version) {
	if t.ending == nil {
		t.ending = map[jaywind.ServiceName]jaywind.Version{}
	}
	if t.ending[s] = keep; keep == "" {
		delete(t.ending, s)
	}
}

// EntriesOf returns what the registry says of a service's endpoints.
func (t *Table) EntriesOf(s jaywind.ServiceName) []Entry {
	all := make([]Entry, len(t.services[s]))
	for i, e := range t.services[s] {
		all[i] = e.Entry
	}
	return all
}

// Get returns the row of an endpoint, or nil.
func (t *Table) Get(id jaywind.EndpointID) *Endpoint {
	return t.rows[id]
}

// ByAddress returns the endpoint at an address, or nil.
func (t *Table) ByAddress(a jaywind.Address) *Endpoint {
	for _, e := range t.rows {
		if e.Address == a {
			return e
		}
	}
	return nil
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

// MarkMissing notes that the registry has no entry of an endpoint any more, though it may come back.
func (t *Table) MarkMissing(id jaywind.EndpointID, now time.Time) {
	if e := t.rows[id]; e != nil && e.missing.IsZero() {
		e.missing = now
	}
}

// AddUnregistered adds an endpoint that is known by its own word only; it lapses with those that are missed.
func (t *Table) AddUnregistered(e Entry) {
	if t.Set(e) {
		t.rows[e.ID].sighted = true
	}
}

// Expire removes the endpoints that were missed before a time, and those only sighted, and returns their ids.
func (t *Table) Expire(before time.Time) []jaywind.EndpointID {
	var gone []jaywind.EndpointID
	for id, e := range t.rows {
		if !e.missing.IsZero() && e.missing.Before(before) || e.sighted {
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
