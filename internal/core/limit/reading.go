package limit

import (
	"time"

	"jaywind"
)

const (
	minRate = 0.25 // requests per second to an endpoint that names less, since only an answer can show that its limit has ended
	maxRate = 1e6  // requests per second from which on a limit limits nothing
)

// Reading is what an endpoint said about its limit in an answer.
type Reading struct {
	Limited bool         // it named a limit
	Rate    jaywind.Rate // of all routers together; valid only with Limited
	// At is when it said so: the arrival of an answer that names a limit, but the sending of the request for one that names none,
	// as such an answer may have been under way while the limit was named.
	At time.Time
}

// NewReading returns the reading of a rate that was named at a time.
func NewReading(rate jaywind.Rate, at time.Time) Reading {
	if rate >= maxRate {
		return Reading{At: at}
	}
	return Reading{Limited: true, Rate: max(minRate, rate), At: at}
}

// differs reports whether two readings say different things.
func (r Reading) differs(o Reading) bool {
	return r.Limited != o.Limited || r.Limited && r.Rate != o.Rate
}

// supersedes reports whether a reading is newer than another one and says something else.
func (r Reading) supersedes(o Reading) bool { return r.differs(o) && r.At.After(o.At) }
