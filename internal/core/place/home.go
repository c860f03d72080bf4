package place

import (
	"jaywind"
	"jaywind/internal/fleet/rendezvous"
)

const homesPerOrganisation = 3 // routers that an organisation's callers are directed to

// HomeRouters returns the home routers of an organisation, spread over failure domains. Routers that are not alive are used only if none
// is alive; leaving ones and those without an address for callers are never used.
func HomeRouters(members []jaywind.Member, o jaywind.Organisation) []jaywind.Member {
	var alive, uncertain []jaywind.Member
	for _, m := range members {
		switch {
		case m.Entry == "" || m.Leaving:
		case m.Liveness == jaywind.LivenessAlive:
			alive = append(alive, m)
		default:
			uncertain = append(uncertain, m)
		}
	}
	if len(alive) == 0 {
		alive = uncertain
	}
	return rendezvous.Pick("organisation/"+string(o), alive, homesPerOrganisation, "")
}
