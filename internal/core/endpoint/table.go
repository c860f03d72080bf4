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
	Version     jaywind.Version // software version
	Models      []jaywind.Model // models that an engine serves; empty for a plain service
	Slots       int             // calls that it can run concurrently
	Leaving     bool            // takes no new work
	Incarnation int64           // start time of the incarnation, in Unix milliseconds; 0 if unknown
}

// Ref returns the reference to the incarnation.
func (e *Entry) Ref() jaywind.EndpointRef {
	return jaywind.EndpointRef{ID: e.ID, Incarnation: e.Incarnation, Address: e.Address}
}

// Endpoint is a row of the table. Its ID, Service, Address, Domain and Incarnation never change, so
// they may be read at any time.
type Endpoint struct {
	Entry
	Calls         int // open calls of this router
	HeldTokens    int // memory in tokens that calls and copies of this router take
	PrefillTokens int // prompt tokens of calls that have had no event yet
	Fleet         FleetLoad

	missingSince    time.Time // when its registry entry disappeared; zero while there is one
	unregistered    bool      // known from its own identity only, because the registry can't be read
	failures        int       // consecutive
	closedUntil     time.Time // it takes no new work before then
	pausedUntil     time.Time // it gets no calls at all before then, as it has asked for
	heldUntil       time.Time // no calls are assigned to it before then, as its limit is used up
	urgentHeldUntil time.Time // the same for urgent calls
	returning       bool      // it has not completed a call since its last pause
	ringHash        uint64    // position on the ring of endpoints
}

// Table holds the known endpoints. The zero value is an empty table.
type Table struct {
	index, routers int // index of this router, from 0, and number of routers that choose endpoints

	rows           map[jaywind.EndpointID]*Endpoint
	services       map[jaywind.ServiceName][]*Endpoint
	domainFailures map[jaywind.Domain]domainFailure
	retained       map[jaywind.ServiceName]jaywind.Version // services of which only this version remains
	departures     departures
	pauses         map[incarnation]time.Time // ends of the pauses of endpoints without a row
}

// domainFailure is the last failure in a failure domain.
type domainFailure struct {
	endpoint   jaywind.EndpointID // the endpoint that failed
	at         time.Time
	avoidUntil time.Time // the domain is avoided before then
}

// Set adds or updates an endpoint, and reports whether anything changed. An entry is ignored if a
// younger endpoint has the same address.
func (t *Table) Set(e Entry) bool {
	if t.rows == nil {
		t.rows = map[jaywind.EndpointID]*Endpoint{}
		t.services = map[jaywind.ServiceName][]*Endpoint{}
		t.domainFailures = map[jaywind.Domain]domainFailure{}
	}
	if started := (incarnation{e.ID, e.Incarnation}); e.Leaving {
		t.departures.add(started)
	} else {
		e.Leaving = t.departures.known[started]
	}
	old := t.rows[e.ID]
	if old != nil && old.Incarnation == e.Incarnation && old.Address == e.Address && old.Service == e.Service && old.Domain == e.Domain {
		changed := old.Leaving != e.Leaving || old.Version != e.Version || !old.missingSince.IsZero() || old.unregistered
		old.Leaving, old.Version, old.Slots, old.Models = e.Leaving, e.Version, e.Slots, e.Models
		old.missingSince, old.unregistered = time.Time{}, false
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
	t.removeOlder(e)
	row := &Endpoint{Entry: e, ringHash: xxhash.Sum64String(string(e.ID)), pausedUntil: t.pauses[incarnation{e.ID, e.Incarnation}]}
	row.returning = !row.pausedUntil.IsZero()
	t.rows[e.ID] = row
	all := t.services[e.Service]
	at, _ := slices.BinarySearchFunc(all, row, func(a, b *Endpoint) int {
		return cmp.Or(cmp.Compare(a.ringHash, b.ringHash), cmp.Compare(a.ID, b.ID))
	})
	t.services[e.Service] = slices.Insert(all, at, row)
	return true
}

// removeOlder removes older endpoints with the same address, whose entries may stay in the registry for a while.
func (t *Table) removeOlder(e Entry) {
	for id, o := range t.rows {
		if o.Address == e.Address && o.Incarnation < e.Incarnation {
			t.Remove(id)
		}
	}
}

// SetPartition sets the index of this router, from 0, and the number of routers. Each router prefers
// its own part of a service's endpoints, where it knows all the work, and uses others when that part
// is full.
func (t *Table) SetPartition(index, routers int) {
	t.index, t.routers = index, routers
}

// distance returns the ring distance of the i-th of n endpoints from this router's part: 0 inside, up to 1.
func (t *Table) distance(i, n int) float64 {
	if t.routers <= 1 {
		return 0
	}
	at := (float64(i) + 0.5) / float64(n) // position on a ring of circumference 1
	if int(at*float64(t.routers)) == t.index {
		return 0
	}
	d := at - (float64(t.index)+0.5)/float64(t.routers)
	return 2 * math.Abs(d-math.Round(d))
}

// RetainVersion sets the only version of a service that remains, so that copies are kept at its
// endpoints; empty for all versions.
func (t *Table) RetainVersion(s jaywind.ServiceName, version jaywind.Version) {
	if t.retained == nil {
		t.retained = map[jaywind.ServiceName]jaywind.Version{}
	}
	if t.retained[s] = version; version == "" {
		delete(t.retained, s)
	}
}

// EntriesOf returns the registry entries of a service's endpoints.
func (t *Table) EntriesOf(s jaywind.ServiceName) []Entry {
	all := make([]Entry, len(t.services[s]))
	for i, e := range t.services[s] {
		all[i] = e.Entry
	}
	return all
}

// Versions returns the versions of a service's endpoints that are not leaving, each once.
func (t *Table) Versions(s jaywind.ServiceName) []jaywind.Version {
	var all []jaywind.Version
	for _, e := range t.services[s] {
		if !e.Leaving && !slices.Contains(all, e.Version) {
			all = append(all, e.Version)
		}
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

// Remove removes an endpoint from the table.
func (t *Table) Remove(id jaywind.EndpointID) {
	e := t.rows[id]
	if e == nil {
		return
	}
	delete(t.rows, id)
	t.keepPause(e)
	t.services[e.Service] = slices.DeleteFunc(t.services[e.Service], func(o *Endpoint) bool { return o == e })
}

// MarkMissing records that the registry no longer has the entry of an endpoint. The entry may reappear.
func (t *Table) MarkMissing(id jaywind.EndpointID, now time.Time) {
	if e := t.rows[id]; e != nil && e.missingSince.IsZero() {
		e.missingSince = now
	}
}

// AddUnregistered adds an endpoint that is known from its own identity only. The next Expire removes
// it unless the registry has listed it by then.
func (t *Table) AddUnregistered(e Entry) {
	if t.Set(e) {
		t.rows[e.ID].unregistered = true
	}
}

// Expire removes the endpoints that have been missing since before a time, and all unregistered
// ones, and returns their ids.
func (t *Table) Expire(before time.Time) []jaywind.EndpointID {
	var gone []jaywind.EndpointID
	for id, e := range t.rows {
		if !e.missingSince.IsZero() && e.missingSince.Before(before) || e.unregistered {
			gone = append(gone, id)
		}
	}
	for _, id := range gone {
		t.Remove(id)
	}
	return gone
}

// Count returns the number of endpoints.
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
