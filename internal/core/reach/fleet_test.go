package reach_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"jaywind"
	"jaywind/internal/core/reach"
)

// modelVM is a VM of a fleet some of whose VMs have lost their links to all endpoints. All that is sent arrives at once, or never.
type modelVM struct {
	address jaywind.Address
	domain  int
	cut     bool
	links   reach.Links
	helpers reach.Helpers
	helped  int
}

const (
	modelHeadStart = 30 * time.Millisecond  // before the next way is tried
	modelTimeout   = 150 * time.Millisecond // of a connection
	modelEndpoints = 24
)

// modelFleet is a fleet under a steady load.
type modelFleet struct {
	vms    []*modelVM
	by     map[jaywind.Address]*modelVM
	random *rand.Rand
}

func newModelFleet(size, domains int, seed uint64) *modelFleet {
	f := &modelFleet{by: map[jaywind.Address]*modelVM{}, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range size {
		vm := &modelVM{address: jaywind.Address(fmt.Sprint("vm", i)), domain: i % domains}
		f.vms = append(f.vms, vm)
		f.by[vm.address] = vm
	}
	return f
}

// sample returns a few other VMs.
func (f *modelFleet) sample(self *modelVM) (others []jaywind.Address) {
	for _, i := range f.random.Perm(len(f.vms)) {
		if f.vms[i] != self && len(others) < 8 {
			others = append(others, f.vms[i].address)
		}
	}
	return others
}

// call connects a VM to an endpoint, and returns how long that takes and whether it succeeds.
func (f *modelFleet) call(vm *modelVM, at jaywind.Address, now time.Time) (took time.Duration, ok bool) {
	lost := vm.links.IsLost(at)
	if vm.links.TakeProbe(at, now) && !vm.cut {
		vm.links.RecordConnected(at)
	}
	if !lost && !vm.cut {
		return 0, true
	}
	if !lost {
		took += modelHeadStart
	}
	for _, h := range vm.helpers.Order(f.sample(vm), now) {
		helper := f.by[h]
		switch {
		case took >= modelTimeout:
			return took, false
		case !helper.cut:
			helper.helped++
			vm.helpers.RecordSuccess(h)
			vm.links.RecordLost(at, now)
			return took, true
		case helper.links.IsLost(at): // it says so at once
		default:
			took += modelHeadStart
		}
		vm.helpers.RecordFailure(h, now)
	}
	return took, false
}

// TestFirstTriesOfCutOffVMs guards against callers of cut-off VMs that are served worse than others (less than two thirds as often, or
// over 1 in 50 failing), and against helpers that bear much more than their part, at the sizes of the users' fleets.
func TestFirstTriesOfCutOffVMs(t *testing.T) {
	const (
		rate        = 10 // calls a second at each VM
		contactTime = 3 * time.Second
		length      = 10 * time.Second
		seeds       = 5
	)
	tests := map[string]func(f *modelFleet, i int) bool{
		"one VM":                 func(_ *modelFleet, i int) bool { return i == 0 },
		"a failure domain":       func(f *modelFleet, i int) bool { return f.vms[i].domain == 0 },
		"most of a domain":       func(f *modelFleet, i int) bool { return f.vms[i].domain == 0 && i%10 != 0 },
		"two thirds of the VMs":  func(_ *modelFleet, i int) bool { return i%3 != 0 },
		"four fifths of the VMs": func(_ *modelFleet, i int) bool { return i%5 != 0 },
	}
	for _, size := range []int{9, 73, 195, 300} {
		for name, isCut := range tests {
			t.Run(fmt.Sprintf("%d VMs, %s", size, name), func(t *testing.T) {
				for seed := range uint64(seeds) {
					f := newModelFleet(size, 3, seed)
					cut := 0
					for i, vm := range f.vms {
						if vm.cut = isCut(f, i); vm.cut {
							cut++
						}
					}
					early, late, lateFailed := 0, 0, 0
					for at := time.Duration(0); at < length; at += time.Second / rate {
						for _, i := range f.random.Perm(size) {
							endpoint := jaywind.Address(fmt.Sprint("e", f.random.IntN(modelEndpoints)))
							_, ok := f.call(f.vms[i], endpoint, start.Add(at))
							switch {
							case !f.vms[i].cut:
							case at < contactTime && !ok:
								early++
							case at >= contactTime:
								late++
								if !ok {
									lateFailed++
								}
							}
						}
					}
					most, total := 0, 0
					for _, vm := range f.vms {
						most, total = max(most, vm.helped), total+vm.helped
					}
					mean := float64(total) / float64(size-cut)
					t.Logf("seed %d: %d cut off; failed at them: %d before, %d of %d after %v; helped %.0f on average, %d at most", seed, cut, early, lateFailed, late, contactTime, mean, most)
					if lateFailed > late/50 {
						t.Errorf("%d of %d first tries failed", lateFailed, late)
					}
					if float64(most) > 3*mean+2*rate*length.Seconds() {
						t.Errorf("one helper has helped %d times, the average is %.0f", most, mean)
					}
				}
			})
		}
	}
}
