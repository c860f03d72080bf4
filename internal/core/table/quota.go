package table

import (
	"math"
	"time"

	"jaywind"
)

// Demand is an estimate of the requests a second, which fades when none come.
type Demand struct {
	Rate float64
	At   time.Time
}

// Add counts a request; span is the time over which requests are averaged.
func (d *Demand) Add(now time.Time, span time.Duration) {
	d.Rate = d.RateAt(now, span) + 1/span.Seconds()
	d.At = now
}

// RateAt returns the requests a second as of now.
func (d *Demand) RateAt(now time.Time, span time.Duration) float64 {
	if d.Rate == 0 {
		return 0
	}
	return d.Rate * math.Exp(-now.Sub(d.At).Seconds()/span.Seconds())
}

// PeerDemand is what another home router has said of an organisation's demand there.
type PeerDemand struct {
	Rate   float64   // requests a second
	Heard  time.Time // the last word
	Active time.Time // the last word of any demand
	Told   time.Time // when it was last told of the demand here
	Missed int       // calls in a row that it did not answer
}

// Quotas is the state of the exchange of demands.
type Quotas struct {
	Pressing map[jaywind.Organisation]*Organisation // whose demand here is over an even share
	NextCall time.Time
}

// DemandsTold is a message from another home router that waits for a reply.
type DemandsTold struct {
	Ask     uint64
	From    jaywind.VM
	Demands []jaywind.Demand
}

// DemandsAnswered is the reply to a TellDemands, or its failure.
type DemandsAnswered struct {
	From    jaywind.VM
	Asked   []jaywind.Demand // what was told
	Demands []jaywind.Demand
	Err     error
}

// TellDemands tells another home router of the demands here.
type TellDemands struct {
	VM      jaywind.VM
	At      jaywind.Address
	Demands []jaywind.Demand
	Limit   time.Duration
}

// ReplyDemands answers a DemandsTold.
type ReplyDemands struct {
	Ask     uint64
	Demands []jaywind.Demand
}

func (DemandsTold) event()     {}
func (DemandsAnswered) event() {}
func (TellDemands) command()   {}
func (ReplyDemands) command()  {}
