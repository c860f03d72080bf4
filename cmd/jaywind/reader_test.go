package main

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	standin "jaywind/internal/standin/engine"
)

const readBeforeFault = 100 // tokens; more than a replica may generate again without a record of them

// readText reads up to limit events of an answer from one router, and resumes by Last-Event-ID only.
func readText(ctx context.Context, t *testing.T, at, id, lastEventID string, limit int) (text, last string, complete bool) {
	is := is.New(t)
	body := `{"model":"heat","prompt":"fins","stream":true,"max_tokens":150,"seed":3}`
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at+"/v1/completions", strings.NewReader(body))
	is.NoErr(err)
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("Last-Event-ID", lastEventID)
	response, err := noKeepAliveTransport.RoundTrip(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	is.Equal(response.StatusCode, http.StatusOK)
	for lines := bufio.NewScanner(response.Body); limit > 0 && lines.Scan(); {
		if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
			last = id
		}
		data, found := strings.CutPrefix(lines.Text(), "data: {")
		if !found {
			continue
		}
		var c struct{ Choices []struct{ Text string } }
		is.NoErr(json.Unmarshal([]byte("{"+data), &c))
		is.Equal(len(c.Choices), 1)
		text += c.Choices[0].Text
		limit--
		complete = strings.Contains(data, `"finish_reason":"stop"`)
	}
	return text, last, complete
}

// TestTextReaderSurvivesProcesses guards against lost text when a caller that keeps no tokens reconnects to another router.
func TestTextReaderSurvivesProcesses(t *testing.T) {
	tests := map[string]struct{ engine bool }{
		"router is killed":             {},
		"router and engine are killed": {engine: true},
	}
	f := newFleet(t)
	f.apply()
	var want string
	for _, token := range standin.Tokens("v1", 3, "fins", 0, answerTokens) {
		want += token.Text
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
			defer cancel()
			id := strings.ReplaceAll(name, " ", "-")
			before, last, _ := readText(ctx, t, f.address("vm1.caller"), id, "", readBeforeFault)
			mark, err := jaywind.ParseBookmark(last)
			is.NoErr(err)
			f.kill("vm1")
			if c.engine {
				f.kill(string(mark.Endpoint))
			}
			start := time.Now()
			first, last, _ := readText(ctx, t, f.address("vm2.caller"), id, last, 1)
			t.Logf("next token after %d ms", time.Since(start).Milliseconds())
			is.True(time.Since(start) <= resumeTarget)
			after, _, complete := readText(ctx, t, f.address("vm2.caller"), id, last, answerTokens)
			is.True(complete)
			is.Equal(before+first+after, want)
			f.startRouter("vm1")
			if c.engine {
				f.startEngine(string(mark.Endpoint))
			}
			f.waitReady()
		})
	}
}
