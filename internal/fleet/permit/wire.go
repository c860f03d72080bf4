package permit

import (
	"time"

	"jaywind"
	"jaywind/internal/core/permit"
)

const (
	takePath   = "/fleet/permit/take"
	returnPath = "/fleet/permit/return"
)

const (
	maxSlots = 1 << 20
	maxLease = time.Hour
)

// reference is a jaywind.EndpointRef on the wire.
type reference struct {
	ID      string `cbor:"1,keyasint"`
	Born    int64  `cbor:"2,keyasint"` // jaywind.EndpointRef.Incarnation, in Unix milliseconds
	Address string `cbor:"3,keyasint"`
}

// question is a permit.Question on the wire.
type question struct {
	Endpoint  reference `cbor:"1,keyasint"`
	Slots     int       `cbor:"2,keyasint"`
	Tolerance int       `cbor:"3,keyasint"`
	Lease     int64     `cbor:"4,keyasint"` // milliseconds
	Onset     bool      `cbor:"5,keyasint"`
}

// answer is a permit.Grant on the wire.
type answer struct {
	ID   uint64 `cbor:"1,keyasint"` // 0 if refused
	Wait int64  `cbor:"2,keyasint"` // microseconds
}

// returned is the end of a call for which a permit was granted.
type returned struct {
	Endpoint reference `cbor:"1,keyasint"`
	ID       uint64    `cbor:"2,keyasint"`
	Rejected bool      `cbor:"3,keyasint"` // the endpoint has turned the call away for want of room
}

// returns tells an owner of permits that are not used any more.
type returns struct {
	Permits []returned `cbor:"1,keyasint"`
}

type emptyResponse struct{}

func encodeReference(e jaywind.EndpointRef) reference {
	return reference{ID: string(e.ID), Born: e.Incarnation, Address: string(e.Address)}
}

func (r reference) decode() jaywind.EndpointRef {
	return jaywind.EndpointRef{ID: jaywind.EndpointID(r.ID), Incarnation: r.Born, Address: jaywind.Address(r.Address)}
}

func encodeQuestion(e jaywind.EndpointRef, q permit.Question) *question {
	return &question{Endpoint: encodeReference(e), Slots: q.Slots, Tolerance: q.Tolerance, Lease: q.Lease.Milliseconds(), Onset: q.Onset}
}

// decode returns the question; values out of range count as the nearest in range.
func (q *question) decode() permit.Question {
	return permit.Question{
		Slots: min(max(q.Slots, 1), maxSlots), Tolerance: max(q.Tolerance, 0), Onset: q.Onset,
		Lease: time.Duration(min(max(q.Lease, 1), maxLease.Milliseconds())) * time.Millisecond,
	}
}

func (a *answer) decode() permit.Grant {
	return permit.Grant{ID: a.ID, Wait: time.Duration(min(max(a.Wait, 0), maxLease.Microseconds())) * time.Microsecond}
}
