package rollout

// Action is what the lead writes to the store next.
type Action int

// The actions.
const (
	ActNone        Action = iota // nothing, as a different end is stored
	ActWriteState                // the state that all routers follow
	ActWriteStatus               // the status that the operator reads
)

// NextAction returns what the lead writes, given the state in the store, if any, and the state it has decided on. The
// status follows only once the state is stored, because the operator acts on an end at once. A stored end is never
// overwritten.
func NextAction(stored, decided State) Action {
	switch {
	case stored.Equal(decided):
		return ActWriteStatus
	case stored.Target == decided.Target && stored.Phase.Final():
		return ActNone
	}
	return ActWriteState
}
