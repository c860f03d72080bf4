package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"jaywind"
	"jaywind/internal/fleet/cbor"
	"jaywind/internal/operator/burn"
	"jaywind/internal/operator/settings"
)

const fetchTimeout = 2 * time.Second

func burnReport(ctx context.Context, c *console) int {
	f := c.flags()
	file := f.String("settings", "", "settings `file` with the service-level objectives and the routers' operator addresses")
	asJSON := f.Bool("json", false, "print the report as JSON")
	plot := f.String("plot", "", "also draw the report as a chart in this `file`, .png or .svg")
	if code, more := c.parse(f); !more {
		return code
	}
	s, err := loadSettings(*file)
	if err != nil {
		return c.fail(err)
	}
	counts, failures := fetchCounts(ctx, s)
	for _, err := range failures {
		_, _ = fmt.Fprintf(c.err, "jaywind burn: router not included: %v\n", err)
	}
	if len(counts) == 0 {
		return c.fail(fmt.Errorf("no router answered"))
	}
	report := burn.NewReport(objectivesOf(s.Objectives), counts)
	if err := writeReport(c, report, *asJSON); err != nil {
		return c.fail(err)
	}
	if *plot != "" {
		if err := report.WritePlot(*plot); err != nil {
			return c.fail(err)
		}
	}
	if len(failures) > 0 {
		return exitFault
	}
	return exitOK
}

func writeReport(c *console, r burn.Report, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(c.out).Encode(r)
	}
	c.printf("routers: %d\n", r.Routers)
	return r.WriteText(c.out)
}

// fetchCounts fetches the counts of all routers. Routers that do not answer are returned as errors.
func fetchCounts(ctx context.Context, s settings.Settings) ([]burn.Counts, []error) {
	client := cbor.NewHTTPClient(s.Secret)
	var counts []burn.Counts
	var failures []error
	for _, address := range operatorAddresses(s) {
		got, err := fetchFrom(ctx, client, address)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		counts = append(counts, got)
	}
	return counts, failures
}

func fetchFrom(ctx context.Context, client *http.Client, address jaywind.Address) (burn.Counts, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return burn.Fetch(ctx, client, address)
}

// operatorAddresses returns the operator addresses in the settings, or this router's own when none are listed.
func operatorAddresses(s settings.Settings) []jaywind.Address {
	if len(s.Fleet.Operators) == 0 {
		return []jaywind.Address{jaywind.Address("http://" + s.Listen.Operator)}
	}
	var out []jaywind.Address
	for _, u := range s.Fleet.Operators {
		out = append(out, jaywind.Address(u))
	}
	return out
}

func objectivesOf(o settings.Objectives) []burn.Objective {
	return []burn.Objective{
		{Name: burn.Completion, Target: o.Whole},
		{Name: burn.Resumption, Target: o.Resume},
		{Name: burn.FirstToken, Target: o.First},
		{Name: burn.TokenGap, Target: o.Gap},
		{Name: burn.IdempotentCall, Target: o.Lookup},
		{Name: burn.Move, Target: o.Move},
	}
}
