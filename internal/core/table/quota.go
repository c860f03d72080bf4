package table

import (
	"math"
	"time"

	"jaywind"
)

// Demand is an exponentially decaying estimate of the requests per second.
type Demand struct {
	Rate float64   // requests per second as of At
	At   time.Time // last request
}

// Add counts a request; span is the time constant of the decay.
func (d *Demand) Add(now time.Time, span time.Duration) {
	d.Rate = d.RateAt(now, span) + 1/span.Seconds()
	d.At = now
}

// RateAt returns the estimate as of now.
func (d *Demand) RateAt(now time.Time, span time.Duration) float64 {
	if d.Rate == 0 {
		return 0
	}
	return d.Rate * math.Exp(-now.Sub(d.At).Seconds()/span.Seconds())
}

// PeerDemand is the demand for an organisation that another home router has reported.
type PeerDemand struct {
	Rate       float64   // requests per second
	HeardAt    time.Time // when it last reported
	ActiveAt   time.Time // when it last reported a demand above zero
	SentAt     time.Time // when this router's demand was last sent to it
	Unanswered int       // consecutive calls that it did not answer
}

// Quotas is the state of the exchange of demands among home routers.
type Quotas struct {
	OverShare map[jaywind.Organisation]*Organisation // those whose demand at this router exceeds an even share of the limit
	NextCall  time.Time
}

// DemandsReceived is a message from another home router that has to be answered.
type DemandsReceived struct {
	ReplyTo uint64
	From    jaywind.VM
	Demands []jaywind.Demand
}

// DemandsReplied is the reply to a SendDemands, or its failure.
type DemandsReplied struct {
	From    jaywind.VM
	Sent    []jaywind.Demand // the demands that were sent
	Demands []jaywind.Demand
	Err     error
}

// SendDemands sends this router's demands to another home router.
type SendDemands struct {
	VM      jaywind.VM
	Address jaywind.Address
	Demands []jaywind.Demand
	Limit   time.Duration
}

// ReplyDemands answers a DemandsReceived.
type ReplyDemands struct {
	ReplyTo uint64
	Demands []jaywind.Demand
}

func (DemandsReceived) event() {}
func (DemandsReplied) event()  {}
func (SendDemands) command()   {}
func (ReplyDemands) command()  {}
