package claim_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/claim"
	"jaywind/internal/core/table"
)

// TestSilentStore has a once-only call arrive each tenth of a second at a router whose commits end as the row says.
func TestSilentStore(t *testing.T) {
	const pace = 100 * time.Millisecond
	tests := map[string]struct {
		answer  func(arrival int) (after time.Duration, err error) // of the commit of an arrival
		most    int                                                // calls of 60 that may wait for their claim
		least   int
		recover bool // whether the last ten all wait again
	}{
		"answers":         {answer: func(int) (time.Duration, error) { return pace, nil }, most: 60, least: 60, recover: true},
		"slow":            {answer: func(int) (time.Duration, error) { return 9 * pace, nil }, most: 60, least: 60, recover: true},
		"never answers":   {answer: func(int) (time.Duration, error) { return 20 * pace, jaywind.ErrOutcomeUnknown }, most: 16, least: 10},
		"refuses at once": {answer: func(int) (time.Duration, error) { return 0, jaywind.ErrStoreUnavailable }, most: 16, least: 10},
		"silent for two seconds": {answer: func(i int) (time.Duration, error) {
			if i < 20 {
				return 20 * pace, jaywind.ErrOutcomeUnknown
			}
			return pace, nil
		}, most: 55, least: 30, recover: true},
		"one in two fails": {answer: func(i int) (time.Duration, error) {
			if i%2 == 0 {
				return pace, jaywind.ErrOutcomeUnknown
			}
			return pace, nil
		}, most: 60, least: 60, recover: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newWorld(1).nodes[0].state
			answers := map[int][]table.Event{} // by the tick that they come in
			waited, last := 0, 0
			for i := range 60 {
				now := epoch.Add(time.Duration(i) * pace)
				id := jaywind.RequestID(fmt.Sprint("r", i))
				ask := table.CallRequest{ID: id, Service: "bind", Key: jaywind.IdempotencyKey(id), Nonce: jaywind.Nonce(i + 1), Deadline: now.Add(deadline)}
				s.BeginTick(now, true, append(answers[i], table.ServiceArrived{Request: ask}))
				claim.Claim{}.Step(s)
				for _, x := range s.TakeCommands() {
					x, ok := x.(table.CommitClaim)
					if !ok {
						continue
					}
					waited++
					if i >= 50 {
						last++
					}
					after, err := c.answer(i)
					due := i + max(1, int(after/pace))
					answers[due] = append(answers[due], table.CommitCompleted{Request: x.Request, Claim: x.Claim, Err: err})
				}
			}
			t.Logf("%d of 60 calls waited for their claim", waited)
			is.True(waited <= c.most && waited >= c.least)
			is.Equal(last == 10, c.recover)
		})
	}
}

// TestImpatientCallerIsRefusedEarly holds that a claim is given up with half of the caller's time left.
func TestImpatientCallerIsRefusedEarly(t *testing.T) {
	is := is.New(t)
	s := newWorld(1).nodes[0].state
	ask := table.CallRequest{ID: "r", Service: "bind", Key: "k", Nonce: 1, Deadline: epoch.Add(time.Second)}
	s.BeginTick(epoch, true, []table.Event{table.ServiceArrived{Request: ask}})
	claim.Claim{}.Step(s)
	s.TakeCommands()
	s.BeginTick(epoch.Add(time.Second/2), true, nil)
	claim.Claim{}.Step(s)
	told := errors.New("not told")
	for _, x := range s.TakeCommands() {
		if x, ok := x.(table.Respond); ok && x.Result == table.ResultNotRun {
			told = nil
		}
	}
	is.NoErr(told)
}
