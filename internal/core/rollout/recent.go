package rollout

import "jaywind/internal/core/table"

const (
	recentWindows   = 4    // of an evaluationInterval, the one in progress included
	minRecent       = 8    // answers of the new version for a judgement
	maxExtraBadRate = 0.25 // by which the rate of its bad answers may exceed that of the old version
)

// recentAnswers counts the answers of the last windows. A version that has just turned bad shows here, whereas its score needs some
// windows, and its totals hold the good answers of before. Its zero value is ready for use.
type recentAnswers struct {
	windows [recentWindows]answerWindow // the one in progress is the first
}

// answerWindow counts the answers of both versions; the index is 1 for the new one.
type answerWindow struct {
	answers, bad [2]uint64
}

// add counts outcomes in the window in progress. An answer counts once as an answer, and as bad if it failed or its first response was late.
func (a *recentAnswers) add(key table.OutcomeKey, n table.OutcomeCounts) {
	w, version := &a.windows[0], 0
	if key.New {
		version = 1
	}
	switch key.Measure {
	case table.MeasureFailure:
		w.answers[version] += n.Good + n.Bad
		w.bad[version] += n.Bad
	case table.MeasureFirstToken:
		w.bad[version] += n.Bad
	}
}

// advance ends the window in progress.
func (a *recentAnswers) advance() {
	copy(a.windows[1:], a.windows[:recentWindows-1])
	a.windows[0] = answerWindow{}
}

// areBad reports whether the recent answers of the new version are much worse than those of the old one.
func (a *recentAnswers) areBad() bool {
	var sum answerWindow
	for _, w := range a.windows {
		for v := range sum.answers {
			sum.answers[v] += w.answers[v]
			sum.bad[v] += w.bad[v]
		}
	}
	if sum.answers[1] < minRecent {
		return false
	}
	rate := func(version int) float64 { return float64(sum.bad[version]) / float64(max(1, sum.answers[version])) }
	return rate(1) > rate(0)+maxExtraBadRate
}
