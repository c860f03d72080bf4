package claim_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/table"
)

// TestLateAnswerCountsForItsEndpoint fails if the answer to an earlier attempt closes the circuit breaker of another endpoint.
func TestLateAnswerCountsForItsEndpoint(t *testing.T) {
	is := is.New(t)
	l := newLookups(2)
	l.answer = func(_ *lookups, e jaywind.EndpointID) (time.Duration, error) {
		if e == "s0" {
			return 600 * time.Millisecond, nil // after the call was sent to s1 as well
		}
		return -1, nil
	}
	l.state.Endpoints["s0"].Failures = 1
	l.state.Endpoints["s1"].Failures = 1
	l.run(1, time.Millisecond, sameOrganisation)
	is.Equal(l.sends, 2)
	is.Equal(l.results[table.ResultReply], 1)
	is.Equal(l.state.Endpoints["s0"].Failures, 0)
	is.Equal(l.state.Endpoints["s1"].Failures, 1)
	is.Equal(l.state.Endpoints["s0"].Inflight, 0)
	is.Equal(l.state.Endpoints["s1"].Inflight, 0)
}
