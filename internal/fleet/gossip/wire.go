package gossip

import (
	"time"

	"jaywind"
)

// member is a row on the wire.
type member struct {
	_           struct{} `cbor:",toarray"`
	VM          string
	Domain      string
	Fleet       string
	Entry       string
	Incarnation uint64
	Liveness    uint8
	Leaving     bool
	Rules       uint64
}

type note struct {
	_     struct{} `cbor:",toarray"`
	Kind  string
	Key   string
	Value []byte
}

// message is one message of membership; its fields have short names, since each message carries them.
type message struct {
	From    member   `cbor:"f"`
	Members []member `cbor:"m,omitempty"`
	Notes   []note   `cbor:"n,omitempty"`
	Relay   string   `cbor:"r,omitempty"`
	Reached bool     `cbor:"a,omitempty"`
	Join    bool     `cbor:"j,omitempty"`
	Whole   bool     `cbor:"w,omitempty"`
	Age     int64    `cbor:"s"`           // milliseconds; negative for never
	Ages    []int64  `cbor:"g,omitempty"` // seconds
}

func memberOf(m jaywind.Member) member {
	return member{
		VM:          string(m.VM),
		Domain:      string(m.Domain),
		Fleet:       string(m.Fleet),
		Entry:       string(m.Entry),
		Incarnation: m.Incarnation,
		Liveness:    uint8(m.Liveness),
		Leaving:     m.Leaving,
		Rules:       uint64(m.Rules),
	}
}

func (m member) member() jaywind.Member {
	return jaywind.Member{
		VM:          jaywind.VM(m.VM),
		Domain:      jaywind.Domain(m.Domain),
		Fleet:       jaywind.Address(m.Fleet),
		Entry:       jaywind.Address(m.Entry),
		Incarnation: m.Incarnation,
		Liveness:    min(jaywind.Liveness(m.Liveness), jaywind.LivenessDead),
		Leaving:     m.Leaving,
		Rules:       jaywind.RulesVersion(m.Rules),
	}
}

func messageOf(g jaywind.Gossip) message {
	w := message{
		From:    memberOf(g.From),
		Relay:   string(g.Relay),
		Reached: g.Reached,
		Join:    g.WantFullTable,
		Whole:   g.FullTable,
		Age:     -1,
	}
	if g.StoreAge >= 0 {
		w.Age = g.StoreAge.Milliseconds()
	}
	for _, m := range g.Members {
		w.Members = append(w.Members, memberOf(m))
	}
	for _, d := range g.Ages {
		w.Ages = append(w.Ages, int64(d/time.Second))
	}
	for _, n := range g.Notes {
		w.Notes = append(w.Notes, note{Kind: n.Kind, Key: n.Key, Value: n.Value})
	}
	return w
}

func (w message) gossip() jaywind.Gossip {
	g := jaywind.Gossip{
		From:          w.From.member(),
		Relay:         jaywind.Address(w.Relay),
		Reached:       w.Reached,
		WantFullTable: w.Join,
		FullTable:     w.Whole,
		StoreAge:      time.Duration(w.Age) * time.Millisecond,
	}
	for _, m := range w.Members {
		g.Members = append(g.Members, m.member())
	}
	for _, n := range w.Ages {
		g.Ages = append(g.Ages, time.Duration(n)*time.Second)
	}
	for _, n := range w.Notes {
		g.Notes = append(g.Notes, jaywind.Note{Kind: n.Kind, Key: n.Key, Value: n.Value})
	}
	return g
}

type headAsk struct{}

type head struct {
	Version uint64   `cbor:"v"`
	Chunks  []string `cbor:"c"`
}

type chunkAsk struct {
	Chunks []string `cbor:"c"`
}

type chunkList struct {
	Texts []string `cbor:"t"`
}
