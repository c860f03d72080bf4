package place

import (
	"jaywind"
	"jaywind/internal/fleet/rendezvous"
)

const homeCount = 3 // routers that an organisation is sent to

// HomeRouters returns the home routers of an organisation, spread over failure domains; those in doubt only if there are no others.
func HomeRouters(members []jaywind.Member, o jaywind.Organisation) []jaywind.Member {
	var sure, doubtful []jaywind.Member
	for _, m := range members {
		switch {
		case m.Entry == "" || m.Leaving:
		case m.Liveness == jaywind.LivenessAlive:
			sure = append(sure, m)
		default:
			doubtful = append(doubtful, m)
		}
	}
	if len(sure) == 0 {
		sure = doubtful
	}
	return rendezvous.Pick("organisation/"+string(o), sure, homeCount, "")
}
