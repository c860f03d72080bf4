package suspect

import (
	"time"

	"jaywind"
	"jaywind/internal/core/suspect"
)

const (
	lossPath       = "/fleet/suspect/loss"
	soundPath      = "/fleet/suspect/sound"
	quarantinePath = "/fleet/suspect/quarantine"
)

// lossReport is what a router sends to a collector.
type lossReport struct {
	Losses []loss `cbor:"1,keyasint"`
}

// lossResponse is what a collector answers.
type lossResponse struct {
	Quarantined []group `cbor:"1,keyasint"` // groups in force which the losses are under
	Process     uint64  `cbor:"2,keyasint"` // drawn at random when the collector started; 0 of one that draws none
}

// loss is a suspect.Loss on the wire.
type loss struct {
	Service string   `cbor:"1,keyasint"`
	ID      string   `cbor:"2,keyasint"`
	Born    int64    `cbor:"3,keyasint"` // jaywind.EndpointRef.Incarnation, in Unix milliseconds
	Address string   `cbor:"4,keyasint"`
	Prompt  string   `cbor:"5,keyasint"`
	Shared  []string `cbor:"6,keyasint"`
	Age     int64    `cbor:"7,keyasint"` // since suspect.Loss.LostAt, in microseconds; a time of day would be that of another VM
	Ended   bool     `cbor:"8,keyasint"`
	Request string   `cbor:"9,keyasint"`
	Ran     int64    `cbor:"10,keyasint"` // microseconds
	Domain  string   `cbor:"11,keyasint"`
	Report  uint64   `cbor:"12,keyasint,omitempty"` // suspect.Loss.ID
}

// group is a suspect.Group on the wire.
type group struct {
	Service string   `cbor:"1,keyasint"`
	Parts   []string `cbor:"2,keyasint"`
	Lifted  bool     `cbor:"3,keyasint"` // the quarantine ends
}

// soundParts are the parts of a group under which runs have survived.
type soundParts struct {
	Parts []string `cbor:"1,keyasint"`
	Any   bool     `cbor:"2,keyasint"` // any run of the service has survived lately
}

// groupResponse is the answer to a group.
type groupResponse struct {
	Lifted bool `cbor:"1,keyasint,omitempty"` // its quarantine was lifted, so that the sender's news is late
}

func encodeLoss(l suspect.Loss, now time.Time) loss {
	return loss{Service: string(l.Service), ID: string(l.Engine.ID), Born: l.Engine.Incarnation, Address: string(l.Engine.Address),
		Prompt: string(l.Prompt), Shared: texts(l.Shared), Age: now.Sub(l.LostAt).Microseconds(), Ran: l.Ran.Microseconds(), Domain: string(l.Domain), Ended: l.Ended, Request: string(l.Request), Report: l.ID}
}

func (l loss) decode(now time.Time) suspect.Loss {
	return suspect.Loss{
		Service: jaywind.ServiceName(l.Service), Prompt: jaywind.PromptPart(l.Prompt), Shared: parts(l.Shared), Ended: l.Ended, Request: jaywind.PromptPart(l.Request),
		ID: l.Report, Domain: jaywind.Domain(l.Domain),
		LostAt: now.Add(-microseconds(l.Age)), Ran: microseconds(l.Ran),
		Engine: jaywind.EndpointRef{ID: jaywind.EndpointID(l.ID), Incarnation: l.Born, Address: jaywind.Address(l.Address)},
	}
}

// microseconds returns a duration from 0 to an hour.
func microseconds(n int64) time.Duration {
	return time.Duration(min(max(n, 0), time.Hour.Microseconds())) * time.Microsecond
}

func encodeGroup(g suspect.Group, lifted bool) group {
	return group{Service: string(g.Service), Parts: texts(g.Parts), Lifted: lifted}
}

func (g group) decode() suspect.Group {
	return suspect.Group{Service: jaywind.ServiceName(g.Service), Parts: parts(g.Parts)}
}

func texts(parts []jaywind.PromptPart) []string {
	out := make([]string, len(parts))
	for i, p := range parts {
		out[i] = string(p)
	}
	return out
}

func parts(texts []string) []jaywind.PromptPart {
	out := make([]jaywind.PromptPart, len(texts))
	for i, s := range texts {
		out[i] = jaywind.PromptPart(s)
	}
	return out
}
