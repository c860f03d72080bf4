package table

const (
	retryBurst = 10  // retries allowed before any first attempts have paid for them
	retryRatio = 0.1 // retries allowed for each first attempt
)

// RecordRequest counts a first attempt.
func (b *RetryBudget) RecordRequest() {
	b.Spent = max(0, b.Spent-retryRatio)
}

// CanRetry tells whether the budget allows another retry.
func (b *RetryBudget) CanRetry() bool {
	return b.Spent+1 <= retryBurst
}

// RecordRetry counts a retry.
func (b *RetryBudget) RecordRetry() {
	b.Spent++
}

// RetryBudgetFor returns the retry budget for a key and creates it if there is none.
func (s *State) RetryBudgetFor(k RetryKey) *RetryBudget {
	b := s.Retries[k]
	if b == nil {
		b = &RetryBudget{}
		s.Retries[k] = b
	}
	return b
}
