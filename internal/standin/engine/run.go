package engine

import (
	"sync"
	"time"

	"jaywind"
)

// run is the engine's work on one request.
type run struct {
	ask completion

	mu        sync.Mutex
	tokens    []jaywind.Token
	digest    jaywind.Digest  // over tokens
	attempt   jaywind.Attempt // the highest that listens
	listeners int
	idleSince time.Time
	ended     bool
	cancelled bool
	changed   chan struct{} // closed and replaced on each change
}

func newRun(ask completion) *run {
	r := &run{ask: ask, attempt: jaywind.Attempt(ask.Attempt), changed: make(chan struct{}), idleSince: time.Now()}
	for _, p := range ask.Prefix {
		r.tokens = append(r.tokens, p.token())
	}
	r.digest = jaywind.DigestOf(r.tokens)
	return r
}

// produce makes tokens until the answer is whole, cancelled or nobody listens.
func (e *Engine) produce(r *run) {
	e.join(1)
	defer e.join(-1)
	time.Sleep(e.Prefill * time.Duration(len(r.ask.Prefix)) / 1000)
	e.count(len(r.ask.Prefix))
	for !e.isHalted() && !r.over(e.keep()) {
		time.Sleep(e.pace())
		e.waitWhilePaused()
		e.stick(r)
		r.add(e.Salt, e.Version)
		e.count(1)
	}
	r.finish()
}

func (e *Engine) count(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.made += n
}

func (r *run) add(salt uint64, version jaywind.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := Next(version, jaywind.Seed(r.ask.Seed), r.ask.Prompt, salt, r.digest)
	r.tokens = append(r.tokens, t)
	r.digest = r.digest.Add(t)
	r.signal()
}

func (r *run) over(keep time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	idle := r.listeners == 0 && time.Since(r.idleSince) > keep
	return r.cancelled || idle || len(r.tokens) >= r.ask.Limit
}

func (r *run) position() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.tokens)
}

func (r *run) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.signal()
}

func (r *run) cancel(a jaywind.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a < r.attempt {
		return
	}
	r.cancelled = true
	r.signal()
}

func (r *run) listen(a jaywind.Attempt, by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempt = max(r.attempt, a)
	r.listeners += by
	r.idleSince = time.Now()
}

// signal wakes all who wait for a change; the caller holds mu.
func (r *run) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// view returns the tokens from a position, whether the run has ended whole, and what to wait on for more.
func (r *run) view(from int) (tokens []jaywind.Token, whole, ended bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from < len(r.tokens) {
		tokens = r.tokens[from:len(r.tokens):len(r.tokens)]
	}
	whole = len(r.tokens) >= r.ask.Limit
	return tokens, whole, r.ended, r.changed
}
