package history

import (
	"bufio"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	lineMost  = 4 << 20     // bytes of a snapshot
	breakMost = time.Minute // between two snapshots of a VM whose counts are compared
)

// History is what was recorded, in the order of time.
type History struct {
	Snapshots []Snapshot
	Bad       int // lines that could not be read
}

// Read reads what a Recorder has written; lines that are no snapshots are counted and left out.
func Read(r io.Reader) (History, error) {
	var h History
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, lineMost)
	for lines.Scan() {
		var s Snapshot
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil || s.VM == "" || s.At.IsZero() {
			h.Bad++
			continue
		}
		h.Snapshots = append(h.Snapshots, s)
	}
	slices.SortStableFunc(h.Snapshots, func(a, b Snapshot) int { return a.At.Compare(b.At) })
	return h, lines.Err()
}

// point is a value at a time after the first snapshot, in seconds.
type point struct{ at, value float64 }

// begin returns the time of the first snapshot.
func (h History) begin() time.Time { return h.Snapshots[0].At }

// rates returns how fast the sum of some counters grows over all VMs, a second; a counter that falls has been started
// anew with its VM.
func (h History) rates(counts func(name string) bool) []point {
	type seen struct {
		at    time.Time
		total float64
	}
	last := map[string]seen{}
	grown := map[int]float64{} // by whole second
	for _, s := range h.Snapshots {
		if s.Values == nil {
			continue
		}
		now := seen{at: s.At}
		for name, v := range s.Values {
			if counts(name) {
				now.total += v
			}
		}
		before, known := last[s.VM]
		last[s.VM] = now
		if !known {
			continue
		}
		if now.total < before.total {
			before.total = 0
		}
		h.spread(grown, before.at, now.at, now.total-before.total)
	}
	return sorted(grown)
}

// spread adds what has come between two times to the seconds between them; after a long break that says too little.
func (h History) spread(grown map[int]float64, from, to time.Time, n float64) {
	if to.Sub(from) > breakMost {
		return
	}
	first, last := int(from.Sub(h.begin()).Seconds()), int(to.Sub(h.begin()).Seconds())
	for second := first; second < max(last, first+1); second++ {
		grown[second] += n / float64(max(last-first, 1))
	}
}

// outer returns the least and the greatest of a gauge over the VMs, by whole second.
func (h History) outer(name string) (least, most []point) {
	low, high := map[int]float64{}, map[int]float64{}
	for _, s := range h.Snapshots {
		v, known := s.Values[name]
		if !known {
			continue
		}
		second := int(s.At.Sub(h.begin()).Seconds())
		if old, known := low[second]; !known || v < old {
			low[second] = v
		}
		if old, known := high[second]; !known || v > old {
			high[second] = v
		}
	}
	return sorted(low), sorted(high)
}

// answering returns how many VMs answered, by whole second.
func (h History) answering() []point {
	heard := map[int]map[string]bool{}
	for _, s := range h.Snapshots {
		second := int(s.At.Sub(h.begin()).Seconds())
		if heard[second] == nil {
			heard[second] = map[string]bool{}
		}
		if s.Values != nil {
			heard[second][s.VM] = true
		}
	}
	counts := map[int]float64{}
	for second, vms := range heard {
		counts[second] = float64(len(vms))
	}
	return sorted(counts)
}

func sorted(values map[int]float64) []point {
	points := make([]point, 0, len(values))
	for _, second := range slices.Sorted(maps.Keys(values)) {
		points = append(points, point{at: float64(second), value: values[second]})
	}
	return points
}

// ending tells of a name whether it is that of a request's counter with an outcome.
func ending(outcome string) func(string) bool {
	return func(name string) bool {
		return strings.HasPrefix(name, "jaywind_requests_") && strings.HasSuffix(name, "_"+outcome)
	}
}
