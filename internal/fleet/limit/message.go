package limit

import (
	"time"

	"jaywind"
	"jaywind/internal/core/limit"
)

const (
	askPath    = "/fleet/limit/ask"
	noticePath = "/fleet/limit/notice"
)

// reading is a limit.Reading of an endpoint on the wire. It has an age in place of a time, as clocks differ between VMs.
type reading struct {
	ID      string  `cbor:"1,keyasint"`
	Born    int64   `cbor:"2,keyasint"` // jaywind.EndpointRef.Incarnation, in Unix milliseconds
	Address string  `cbor:"3,keyasint"`
	Limited bool    `cbor:"4,keyasint"`
	Rate    float64 `cbor:"5,keyasint"` // requests per second
	Age     int64   `cbor:"6,keyasint"` // microseconds
}

// question is a limit.Question on the wire.
type question struct {
	Reading  reading `cbor:"1,keyasint"`
	Count    int     `cbor:"2,keyasint"`
	Priority int     `cbor:"3,keyasint"`
}

// answer is a limit.Grant on the wire.
type answer struct {
	Owner    bool    `cbor:"1,keyasint"` // the asked router is an owner; it answers nothing else if not
	Reading  reading `cbor:"2,keyasint"`
	Released bool    `cbor:"3,keyasint"`
	Count    int     `cbor:"4,keyasint"`
	Wait     int64   `cbor:"5,keyasint"` // microseconds
}

// notice announces the readings of endpoints that have become limited.
type notice struct {
	Readings []reading `cbor:"1,keyasint"`
}

type emptyResponse struct{}

func encodeReading(e jaywind.EndpointRef, r limit.Reading, now time.Time) reading {
	return reading{ID: string(e.ID), Born: e.Incarnation, Address: string(e.Address), Limited: r.Limited, Rate: float64(r.Rate), Age: now.Sub(r.At).Microseconds()}
}

// decode returns the endpoint and its reading; values out of range count as the nearest in range.
func (r reading) decode(now time.Time) (jaywind.EndpointRef, limit.Reading) {
	e := jaywind.EndpointRef{ID: jaywind.EndpointID(r.ID), Incarnation: r.Born, Address: jaywind.Address(r.Address)}
	at := now.Add(-microseconds(r.Age))
	if !r.Limited {
		return e, limit.Reading{Rate: jaywind.Rate(r.Rate), At: at}
	}
	return e, limit.NewReading(jaywind.Rate(r.Rate), at)
}

func (q question) decode(now time.Time) (jaywind.EndpointRef, limit.Question) {
	e, r := q.Reading.decode(now)
	p := jaywind.Priority(min(max(q.Priority, 0), int(jaywind.PriorityUrgent)))
	return e, limit.Question{Reading: r, Count: min(max(q.Count, 1), maxCount), Priority: p}
}

func encodeGrant(e jaywind.EndpointRef, g limit.Grant, now time.Time) answer {
	return answer{Owner: true, Reading: encodeReading(e, g.Reading, now), Released: g.Released, Count: g.Count, Wait: g.Wait.Microseconds()}
}

func (a answer) decode(asked int, now time.Time) limit.Grant {
	_, r := a.Reading.decode(now)
	return limit.Grant{Reading: r, Released: a.Released, Count: min(max(a.Count, 0), asked), Wait: microseconds(a.Wait)}
}

// microseconds returns a duration from 0 to maxAge.
func microseconds(n int64) time.Duration {
	return time.Duration(min(max(n, 0), maxAge.Microseconds())) * time.Microsecond
}

const (
	maxCount = 10_000    // requests in one question
	maxAge   = time.Hour // of a reading; an older one counts as this old
)
