package table

const (
	retryReserve = 10  // retries that may be spent ahead of first tries
	retryShare   = 0.1 // retries that one first try earns
)

// Earn counts a first try.
func (b *RetryBudget) Earn() {
	b.Spent = max(0, b.Spent-retryShare)
}

// Left tells whether a retry may be spent.
func (b *RetryBudget) Left() bool {
	return b.Spent+1 <= retryReserve
}

// Spend counts a retry.
func (b *RetryBudget) Spend() {
	b.Spent++
}

// Budget returns the retry budget that a key names.
func (s *State) Budget(k RetryKey) *RetryBudget {
	b := s.Retries[k]
	if b == nil {
		b = &RetryBudget{}
		s.Retries[k] = b
	}
	return b
}
