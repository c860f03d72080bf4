package rollout

// Action is what a lead writes next.
type Action int

// The actions.
const (
	ActNone   Action = iota // another end stands
	ActSteps                // the steps that all routers follow
	ActStatus               // what the operator reads
)

// Act returns what is written when a lead has decided on steps and others, or none, are in the store. The operator is told
// only of steps that are there, as it acts on an end at once; and an end that some lead has written stands.
func Act(stored, decided Steps) Action {
	switch {
	case stored == decided:
		return ActStatus
	case stored.Target == decided.Target && stored.Phase.Final():
		return ActNone
	}
	return ActSteps
}
