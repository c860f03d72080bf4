package roster

import (
	"slices"
	"sync"
	"time"

	"jaywind"
)

const (
	silenceTime   = 2200 * time.Millisecond // without a call, after which a reader reports a VM as silent; they call at least each second
	forgetTime    = 8 * time.Second         // without a call, after which a VM that may follow another reader is forgotten; its lease has ended
	readerPause   = time.Second             // without any call, which shows that the reader itself stood still
	minPresent    = 4                       // VMs that must be heard of for the others to count as silent
	silenceMemory = 1500 * time.Millisecond // for which a report of a reader holds; there is one with each of its answers
)

// Presence is what a reader knows of the VMs that follow it, by their calls. Its zero value has heard of none.
type Presence struct {
	mu       sync.Mutex
	heardAt  map[jaywind.VM]time.Time
	lastCall time.Time
}

// Record records a call of a VM.
func (p *Presence) Record(vm jaywind.VM, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.heardAt == nil || now.Sub(p.lastCall) > readerPause {
		p.heardAt = map[jaywind.VM]time.Time{}
	}
	p.heardAt[vm], p.lastCall = now, now
}

// Silent returns the VMs that have stopped calling. It returns none if most have, as the fault is this VM's own then.
func (p *Presence) Silent(now time.Time) []jaywind.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	var silent []jaywind.VM
	for vm, at := range p.heardAt {
		switch quiet := now.Sub(at); {
		case quiet > forgetTime:
			delete(p.heardAt, vm)
		case quiet > silenceTime:
			silent = append(silent, vm)
		}
	}
	if present := len(p.heardAt) - len(silent); present < minPresent || present < len(silent) || now.Sub(p.lastCall) > readerPause {
		return nil
	}
	slices.Sort(silent)
	return silent
}

// ReportSilent records the VMs that this router's reader, or this router as a reader, has not heard of for a while. Callers
// are not sent to them, although their leases last longer.
func (r *Roster) ReportSilent(vms []jaywind.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.silent = map[jaywind.VM]time.Time{}
	for _, vm := range vms {
		r.silent[vm] = now
	}
}

// silentMembers returns the VMs that count as silent now; the caller holds mu.
func (r *Roster) silentMembers() map[jaywind.VM]bool {
	now, silent := time.Now(), map[jaywind.VM]bool{}
	for vm, at := range r.silent {
		if vm != r.Self.VM && now.Sub(at) < silenceMemory {
			silent[vm] = true
		}
	}
	return silent
}
