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
	maxLineBytes = 4 << 20
	maxInterval  = time.Minute // between two snapshots of a VM that a rate is calculated from
)

// History is a list of snapshots, sorted by time.
type History struct {
	Snapshots []Snapshot
	BadLines  int // lines that could not be read
}

// Read reads the output of a Recorder. It skips lines that are not snapshots, and counts them in BadLines.
func Read(r io.Reader) (History, error) {
	var h History
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var s Snapshot
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil || s.VM == "" || s.At.IsZero() {
			h.BadLines++
			continue
		}
		h.Snapshots = append(h.Snapshots, s)
	}
	slices.SortStableFunc(h.Snapshots, func(a, b Snapshot) int { return a.At.Compare(b.At) })
	return h, lines.Err()
}

// point is a value at a time after the first snapshot, in seconds.
type point struct{ seconds, value float64 }

// begin returns the time of the first snapshot.
func (h History) begin() time.Time { return h.Snapshots[0].At }

// rates returns the rate per second of the sum of the selected counters over all VMs. If a VM's sum has decreased, its
// counters were reset by a restart.
func (h History) rates(counts func(name string) bool) []point {
	type sample struct {
		at    time.Time
		total float64
	}
	last := map[string]sample{}
	increases := map[int]float64{} // by whole second
	for _, s := range h.Snapshots {
		if s.Values == nil {
			continue
		}
		now := sample{at: s.At}
		for name, v := range s.Values {
			if counts(name) {
				now.total += v
			}
		}
		previous, known := last[s.VM]
		last[s.VM] = now
		if !known {
			continue
		}
		if now.total < previous.total {
			previous.total = 0
		}
		h.addToSeconds(increases, previous.at, now.at, now.total-previous.total)
	}
	return sortedPoints(increases)
}

// addToSeconds distributes an increase evenly over the seconds between two snapshots. It ignores snapshots more than
// maxInterval apart, since the distribution over a longer time is not known.
func (h History) addToSeconds(increases map[int]float64, from, to time.Time, n float64) {
	if to.Sub(from) > maxInterval {
		return
	}
	first, last := int(from.Sub(h.begin()).Seconds()), int(to.Sub(h.begin()).Seconds())
	for second := first; second < max(last, first+1); second++ {
		increases[second] += n / float64(max(last-first, 1))
	}
}

// extremes returns the minimum and the maximum of a gauge over all VMs, by whole second.
func (h History) extremes(name string) (least, most []point) {
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
	return sortedPoints(low), sortedPoints(high)
}

// answering returns the number of VMs that replied, by whole second.
func (h History) answering() []point {
	replied := map[int]map[string]bool{}
	for _, s := range h.Snapshots {
		second := int(s.At.Sub(h.begin()).Seconds())
		if replied[second] == nil {
			replied[second] = map[string]bool{}
		}
		if s.Values != nil {
			replied[second][s.VM] = true
		}
	}
	counts := map[int]float64{}
	for second, vms := range replied {
		counts[second] = float64(len(vms))
	}
	return sortedPoints(counts)
}

func sortedPoints(values map[int]float64) []point {
	points := make([]point, 0, len(values))
	for _, second := range slices.Sorted(maps.Keys(values)) {
		points = append(points, point{seconds: float64(second), value: values[second]})
	}
	return points
}

// hasOutcome returns a function that reports whether a name is that of a request counter with the outcome.
func hasOutcome(outcome string) func(string) bool {
	return func(name string) bool {
		return strings.HasPrefix(name, "jaywind_requests_") && strings.HasSuffix(name, "_"+outcome)
	}
}
