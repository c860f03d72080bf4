package engine

// Halt ends all work at once and starts no more, as a crash of the process would.
func (e *Engine) Halt() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.halted = true
}

func (e *Engine) isHalted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.halted
}
