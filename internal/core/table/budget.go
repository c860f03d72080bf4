package table

// Budget bounds retries to a share of first attempts; its zero value has the whole reserve.
type Budget struct {
	spent float64 // of the reserve
}

const (
	budgetReserve = 10  // retries
	budgetShare   = 0.2 // retries that each first attempt earns
)

// Earn counts a first attempt.
func (b *Budget) Earn() {
	b.spent = max(0, b.spent-budgetShare)
}

// Left tells whether a retry may be spent.
func (b *Budget) Left() bool {
	return b.spent+1 <= budgetReserve
}

// Spend counts a retry.
func (b *Budget) Spend() {
	b.spent++
}
