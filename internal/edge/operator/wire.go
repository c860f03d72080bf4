package operator

import (
	"time"

	"jaywind"
	"jaywind/embed"
)

type status struct {
	VM        string   `json:"vm"`
	Rules     uint64   `json:"rules"`
	Known     int      `json:"known"` // routers that count for a majority
	Live      int      `json:"live"`
	Cut       bool     `json:"cut"`
	Store     float64  `json:"store"` // seconds since a known router reached the store; negative for never
	Requests  int      `json:"requests"`
	Stopping  bool     `json:"stopping"`
	Endpoints int      `json:"endpoints"`
	Leaving   []string `json:"leaving"` // endpoints
	Routers   []member `json:"routers"`
	Moves     []move   `json:"moves"`
}

type member struct {
	VM      string `json:"vm"`
	Domain  string `json:"domain"`
	Entry   string `json:"entry"`
	State   string `json:"state"`
	Leaving bool   `json:"leaving"`
	Rules   uint64 `json:"rules"`
}

type move struct {
	Model  string    `json:"model"`
	From   string    `json:"from"`
	To     string    `json:"to"`
	By     time.Time `json:"by"`
	State  string    `json:"state"`
	Reason string    `json:"reason,omitempty"`
	Share  float64   `json:"share"`
}

var states = map[jaywind.Liveness]string{
	jaywind.LivenessAlive:   "alive",
	jaywind.LivenessSuspect: "suspect",
	jaywind.LivenessDead:    "dead",
}

func statusOf(s embed.Status) status {
	w := status{
		VM:        string(s.Self.VM),
		Rules:     uint64(s.Self.Rules),
		Known:     s.Known,
		Live:      s.Live,
		Cut:       s.Cut,
		Store:     s.StoreAge.Seconds(),
		Requests:  s.Requests,
		Stopping:  s.Stopping,
		Endpoints: s.Endpoints,
		Leaving:   []string{},
		Routers:   []member{routerOf(s.Self)},
		Moves:     []move{},
	}
	for _, m := range s.Members {
		w.Routers = append(w.Routers, routerOf(m))
	}
	for _, id := range s.Leaving {
		w.Leaving = append(w.Leaving, string(id))
	}
	for _, m := range s.Moves {
		w.Moves = append(w.Moves, move{
			Model:  string(m.ID.Model),
			From:   string(m.ID.From),
			To:     string(m.ID.To),
			By:     time.Unix(m.ID.Deadline, 0).UTC(),
			State:  string(m.State),
			Reason: m.Reason,
			Share:  m.Share,
		})
	}
	return w
}

func routerOf(m jaywind.Member) member {
	return member{
		VM:      string(m.VM),
		Domain:  string(m.Domain),
		Entry:   string(m.Entry),
		State:   states[m.Liveness],
		Leaving: m.Leaving,
		Rules:   uint64(m.Rules),
	}
}
