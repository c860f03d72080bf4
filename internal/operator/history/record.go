package history

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/sourcegraph/conc/iter"

	"jaywind/internal/operator/scrape"
)

const (
	defaultInterval      = time.Second
	fetchTimeout         = 800 * time.Millisecond // for the metrics of one VM
	maxConcurrentFetches = 32
	maxReplyBytes        = 1 << 20 // of one VM's metrics; the rest is ignored
)

// Snapshot holds the metrics of one VM at one time.
type Snapshot struct {
	At     time.Time          `json:"at"`
	VM     string             `json:"vm"`               // its name in Recorder.VMs
	Error  string             `json:"error,omitempty"`  // why there are no values
	Values map[string]float64 `json:"values,omitempty"` // by metric name with its labels
}

// Recorder writes snapshots. Set its fields before calling Run.
type Recorder struct {
	VMs      map[string]string // URL of the metrics by name of the VM
	Interval time.Duration     // between two snapshots of a VM; defaults to one second
	Out      io.Writer
	HTTP     *http.Client // defaults to http.DefaultClient
}

// Run writes snapshots until ctx ends, and then returns nil. For a VM that does not reply, it writes a snapshot with the
// error.
func (r *Recorder) Run(ctx context.Context) error {
	every := r.Interval
	if every <= 0 {
		every = defaultInterval
	}
	t := time.NewTicker(every)
	defer t.Stop()
	names := make([]string, 0, len(r.VMs))
	for name := range r.VMs {
		names = append(names, name)
	}
	for {
		if err := r.fetchAll(ctx, names); err != nil {
			return err
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// fetchAll fetches and writes one snapshot of each VM.
func (r *Recorder) fetchAll(ctx context.Context, names []string) error {
	mapper := iter.Mapper[string, Snapshot]{MaxGoroutines: maxConcurrentFetches}
	snapshots := mapper.Map(names, func(name *string) Snapshot { return r.fetch(ctx, *name) })
	if ctx.Err() != nil {
		return nil // fetches were cancelled, so their errors say nothing about the VMs
	}
	enc := json.NewEncoder(r.Out)
	for _, s := range snapshots {
		if err := enc.Encode(s); err != nil {
			return err
		}
	}
	return nil
}

func (r *Recorder) fetch(ctx context.Context, name string) Snapshot {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	s := Snapshot{At: time.Now(), VM: name}
	values, err := r.get(ctx, r.VMs[name])
	if err != nil {
		s.Error = err.Error()
		return s
	}
	s.Values = values
	return s
}

func (r *Recorder) get(ctx context.Context, url string) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	client := r.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return scrape.Read(io.LimitReader(response.Body, maxReplyBytes))
}
