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
	defaultEvery = time.Second
	fetchLimit   = 800 * time.Millisecond // for the metrics of one VM
	fetchersMost = 32                     // VMs that are asked at the same time
	answerMost   = 1 << 20                // bytes of one VM's metrics that are read
)

// Snapshot is what one VM showed at one time.
type Snapshot struct {
	At     time.Time          `json:"at"`
	VM     string             `json:"vm"`               // as it was named to the recorder
	Error  string             `json:"error,omitempty"`  // why there are no values
	Values map[string]float64 `json:"values,omitempty"` // by name, with labels as they were shown
}

// Recorder writes snapshots; set its fields before Run.
type Recorder struct {
	VMs   map[string]string // URLs of metrics, by the VM's name
	Every time.Duration     // between two snapshots of a VM; one second when zero
	Out   io.Writer
	HTTP  *http.Client // the default client when nil
}

// Run writes snapshots until ctx ends, which is no error; a VM that does not answer is written with why.
func (r *Recorder) Run(ctx context.Context) error {
	every := r.Every
	if every <= 0 {
		every = defaultEvery
	}
	t := time.NewTicker(every)
	defer t.Stop()
	names := make([]string, 0, len(r.VMs))
	for name := range r.VMs {
		names = append(names, name)
	}
	for {
		if err := r.round(ctx, names); err != nil {
			return err
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// round asks all VMs once.
func (r *Recorder) round(ctx context.Context, names []string) error {
	mapper := iter.Mapper[string, Snapshot]{MaxGoroutines: fetchersMost}
	snapshots := mapper.Map(names, func(name *string) Snapshot { return r.fetch(ctx, *name) })
	if ctx.Err() != nil {
		return nil // what was cut short says nothing of the VMs
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
	ctx, cancel := context.WithTimeout(ctx, fetchLimit)
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
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	client := r.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	a, err := client.Do(q)
	if err != nil {
		return nil, err
	}
	defer func() { _ = a.Body.Close() }()
	return scrape.Read(io.LimitReader(a.Body, answerMost))
}
