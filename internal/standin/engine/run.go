package engine

import (
	"sync"
	"time"

	"jaywind"
)

// run is the engine's work on one request.
type run struct {
	request completionRequest

	mu            sync.Mutex
	tokens        []jaywind.Token
	digest        jaywind.Digest  // over tokens
	latestAttempt jaywind.Attempt // the highest attempt that has listened
	listeners     int
	idleSince     time.Time
	finished      bool
	cancelled     bool
	changed       chan struct{} // closed and replaced on each change
}

func newRun(request completionRequest) *run {
	r := &run{request: request, latestAttempt: jaywind.Attempt(request.Attempt), changed: make(chan struct{}), idleSince: time.Now()}
	for _, p := range request.Prefix {
		r.tokens = append(r.tokens, p.token())
	}
	r.digest = jaywind.DigestOf(r.tokens)
	return r
}

// produce computes tokens until the run is complete, cancelled or idle.
func (e *Engine) produce(r *run) {
	e.addActive(1)
	defer e.addActive(-1)
	time.Sleep(e.PrefillTime * time.Duration(len(r.request.Prefix)) / 1000)
	e.addComputed(len(r.request.Prefix))
	for !e.isHalted() && !r.shouldStop(e.idleTimeout()) {
		time.Sleep(e.batchedInterval())
		e.waitWhilePaused()
		e.stall(r)
		r.appendToken(e.Salt, e.Version)
		e.addComputed(1)
	}
	r.finish()
}

func (e *Engine) addComputed(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokensComputed += n
}

func (r *run) appendToken(salt uint64, version jaywind.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := NextToken(version, jaywind.Seed(r.request.Seed), r.request.Prompt, salt, r.digest)
	r.tokens = append(r.tokens, t)
	r.digest = r.digest.Add(t)
	r.notify()
}

func (r *run) shouldStop(idleTimeout time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	idle := r.listeners == 0 && time.Since(r.idleSince) > idleTimeout
	return r.cancelled || idle || len(r.tokens) >= r.request.MaxTokens
}

func (r *run) position() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.tokens)
}

func (r *run) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished = true
	r.notify()
}

func (r *run) cancel(a jaywind.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a < r.latestAttempt {
		return
	}
	r.cancelled = true
	r.notify()
}

func (r *run) addListeners(a jaywind.Attempt, by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latestAttempt = max(r.latestAttempt, a)
	r.listeners += by
	r.idleSince = time.Now()
}

// notify wakes all goroutines that wait for a change; the caller holds mu.
func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// snapshot returns the tokens from a position on, whether all tokens are computed, whether the run has ended, and a channel
// that is closed at the next change.
func (r *run) snapshot(from int) (tokens []jaywind.Token, complete, ended bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from < len(r.tokens) {
		tokens = r.tokens[from:len(r.tokens):len(r.tokens)]
	}
	complete = len(r.tokens) >= r.request.MaxTokens
	return tokens, complete, r.finished, r.changed
}
