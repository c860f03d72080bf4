package operator

import (
	"time"

	"jaywind"
	"jaywind/embed"
)

type status struct {
	VM          string   `json:"vm"`
	Rules       uint64   `json:"rules"`
	Known       int      `json:"known"` // routers that count towards the quorum
	Live        int      `json:"live"`
	Partitioned bool     `json:"cut"`        // on the smaller side of a network partition, without the store
	StoreAge    float64  `json:"store"`      // seconds since any known router last reached the store; negative if none has
	Era         int64    `json:"era"`        // how many times the store has been restored from an older copy
	Incomplete  bool     `json:"incomplete"` // claims may be missing since then
	Requests    int      `json:"requests"`
	Stopping    bool     `json:"stopping"`
	Endpoints   int      `json:"endpoints"`
	Leaving     []string `json:"leaving"` // ids of endpoints that are leaving
	Routers     []member `json:"routers"`
	Moves       []move   `json:"moves"`
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
	Model    string    `json:"model"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	Deadline time.Time `json:"by"`
	State    string    `json:"state"`
	Reason   string    `json:"reason,omitempty"`
	Share    float64   `json:"share"`
}

var livenessNames = map[jaywind.Liveness]string{
	jaywind.LivenessAlive:   "alive",
	jaywind.LivenessSuspect: "suspect",
	jaywind.LivenessDead:    "dead",
}

func statusOf(s embed.Status) status {
	w := status{
		VM:          string(s.Self.VM),
		Rules:       uint64(s.Self.Rules),
		Known:       s.QuorumMembers,
		Live:        s.LiveMembers,
		Partitioned: s.Partitioned,
		StoreAge:    s.StoreAge.Seconds(),
		Era:         int64(s.StoreEra),
		Incomplete:  s.ClaimsIncomplete,
		Requests:    s.ActiveRequests,
		Stopping:    s.Stopping,
		Endpoints:   s.EndpointCount,
		Leaving:     []string{},
		Routers:     []member{memberOf(s.Self)},
		Moves:       []move{},
	}
	for _, m := range s.Members {
		w.Routers = append(w.Routers, memberOf(m))
	}
	for _, id := range s.LeavingEndpoints {
		w.Leaving = append(w.Leaving, string(id))
	}
	for _, m := range s.Moves {
		w.Moves = append(w.Moves, move{
			Model:    string(m.ID.Model),
			From:     string(m.ID.From),
			To:       string(m.ID.To),
			Deadline: time.Unix(m.ID.Deadline, 0).UTC(),
			State:    string(m.State),
			Reason:   m.Reason,
			Share:    m.Share,
		})
	}
	return w
}

func memberOf(m jaywind.Member) member {
	return member{
		VM:      string(m.VM),
		Domain:  string(m.Domain),
		Entry:   string(m.Entry),
		State:   livenessNames[m.Liveness],
		Leaving: m.Leaving,
		Rules:   uint64(m.Rules),
	}
}
