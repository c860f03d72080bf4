package member

import (
	"jaywind"
	"jaywind/internal/core/table"
)

// Leave marks the endpoints that leave, by their own word or by the VM list; drain rules are read at placement.
type Leave struct{}

// Step takes the load reports and notes of the tick; endpoints are looked at again when what is known has changed.
func (Leave) Step(s *table.State) {
	for _, e := range s.Events {
		switch e := e.(type) {
		case table.Loaded:
			takeWord(s, e)
		case table.MachinesListed:
			listVMs(s, e.Machines)
		case table.Ruled:
			markVMs(s)
		}
	}
	for _, n := range s.Fleet.NotesIn {
		if n.Kind == NoteLeaving {
			s.Fleet.LeavingVMs[jaywind.VM(n.Key)] = true
			markVMs(s)
		}
	}
}

func takeWord(s *table.State, e table.Loaded) {
	row := s.Endpoints[e.Endpoint]
	if row == nil || e.Err != nil {
		return
	}
	row.Leaving = e.Load.Leaving || onLeavingVM(s, e.Endpoint)
}

// listVMs keeps which VMs are leaving, and tells all routers of those that were not known to be.
func listVMs(s *table.State, machines []jaywind.Machine) {
	f := &s.Fleet
	for _, m := range machines {
		if m.Leaving && !f.LeavingVMs[m.VM] {
			f.LeavingVMs[m.VM] = true
			f.Spread(jaywind.Note{Kind: NoteLeaving, Key: string(m.VM)})
		}
	}
	markVMs(s)
}

// markVMs marks the endpoints on leaving VMs.
func markVMs(s *table.State) {
	for id, row := range s.Endpoints {
		if onLeavingVM(s, id) {
			row.Leaving = true
		}
	}
}

func onLeavingVM(s *table.State, id jaywind.EndpointID) bool {
	if s.Rules == nil {
		return false
	}
	vm := s.Rules.Endpoints[id].VM
	return vm != "" && s.Fleet.LeavingVMs[vm]
}

// NoteLeaving is the kind of a note that names a VM which the platform's list says is leaving.
const NoteLeaving = "leaving"
