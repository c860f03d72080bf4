package rules

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/rule"
)

const (
	headKey     = "rules"
	inlineSize  = 64 << 10 // bytes of text that stand in the head itself
	writeTries  = 5        // of a write whose outcome is unknown or that could not be made
	recentLimit = 16       // versions whose nonces are kept
	writePause  = 200 * time.Millisecond
)

// ErrFindings is returned for a text that Parse finds fault with.
var ErrFindings = errors.New("the rules have findings")

// ErrChunk is returned when a chunk is missing or is not what its id says.
var ErrChunk = errors.New("chunk of the rules is missing or damaged")

// Accepted is a set of rules that the store holds.
type Accepted struct {
	Version  jaywind.RulesVersion
	Text     string
	Set      *rule.Set
	Revision jaywind.Revision
	Nonce    string // of the writer
	Previous string // the text before, where it is kept in the head

	head head
}

// Book reads and accepts rules.
type Book struct {
	Store jaywind.Store
	Nonce string // marks the writes of one writer; needed by Accept

	// Cache returns chunks that need not be read again; none when nil.
	Cache func(jaywind.ChunkID) (string, bool)

	// Parser keeps what has been parsed from one reading to the next; each reads all anew when nil.
	Parser *Parser
}

// head is the value that is swapped.
type head struct {
	Version  uint64     `json:"version"`
	Nonce    string     `json:"nonce"`
	Recent   []string   `json:"recent"` // nonces of the last versions, this one's last
	Text     string     `json:"text,omitempty"`
	Previous string     `json:"previous,omitempty"`
	Chunks   []location `json:"chunks,omitempty"`
}

// location says where a chunk stands.
type location struct {
	ID  jaywind.ChunkID `json:"id"`
	Key string          `json:"key"`
}

// Read returns the accepted rules, or jaywind.ErrAbsent before the first.
func (b Book) Read(ctx context.Context) (Accepted, error) {
	e, err := b.Store.Get(ctx, headKey)
	if err != nil {
		return Accepted{}, err
	}
	return b.decode(ctx, e)
}

// Watch waits for rules whose revision is not last.
func (b Book) Watch(ctx context.Context, last jaywind.Revision) (Accepted, error) {
	e, err := b.Store.Watch(ctx, headKey, last)
	if err != nil {
		return Accepted{}, err
	}
	return b.decode(ctx, e)
}

// Accept swaps in a new text after base, whose zero value stands for no rules yet.
//
// It returns jaywind.ErrConflict when another writer was first. A write whose
// reply was lost is settled by reading back the nonce.
func (b Book) Accept(ctx context.Context, base Accepted, text string) (Accepted, error) {
	set, findings := rule.Parse(headKey, text)
	if len(findings) > 0 {
		return Accepted{}, fmt.Errorf("%w: %s", ErrFindings, findings[0])
	}
	next := head{Version: uint64(base.Version) + 1, Nonce: b.Nonce, Recent: recent(base.head.Recent, b.Nonce)}
	if len(text) <= inlineSize {
		next.Text = text
		next.Previous = base.Text[:min(len(base.Text), inlineSize)]
	} else if err := b.writeChunks(ctx, base, text, &next); err != nil {
		return Accepted{}, err
	}
	revision, err := b.commit(ctx, base, next)
	if errors.Is(err, jaywind.ErrRevisionConflict) && len(next.Chunks) > 0 {
		b.removeAll(ctx, writer{Nonce: b.Nonce, Count: len(next.Chunks)}, nil)
	}
	if err != nil {
		return Accepted{}, err
	}
	b.sweep(ctx, base, next)
	return Accepted{Version: jaywind.RulesVersion(next.Version), Text: text, Set: set, Revision: revision, Nonce: b.Nonce, head: next}, nil
}

// recent returns the nonces of the last versions with the new one, the oldest left out.
func recent(nonces []string, next string) []string {
	out := append(slices.Clone(nonces), next)
	return out[max(0, len(out)-recentLimit):]
}

// commit swaps the head and settles a lost reply.
func (b Book) commit(ctx context.Context, base Accepted, next head) (jaywind.Revision, error) {
	body, err := json.Marshal(next)
	if err != nil {
		return "", err
	}
	return b.settle(ctx, headKey, body, base.Revision, func(e jaywind.Entry) bool {
		var h head
		return json.Unmarshal(e.Value, &h) == nil && slices.Contains(h.Recent, b.Nonce)
	})
}

// settle writes a key until the outcome is known; mine tells this writer's own value from another's.
func (b Book) settle(ctx context.Context, key string, body []byte, old jaywind.Revision, mine func(jaywind.Entry) bool) (jaywind.Revision, error) {
	var err error
	for i := range writeTries {
		if i > 0 {
			pause(ctx, writePause<<min(i, 3))
		}
		var revision jaywind.Revision
		revision, err = b.Store.Swap(ctx, key, body, old)
		if err == nil {
			return revision, nil
		}
		if !errors.Is(err, jaywind.ErrRevisionConflict) {
			continue
		}
		e, readErr := b.Store.Get(ctx, key)
		if readErr == nil && mine(e) {
			return e.Revision, nil
		}
		if readErr == nil || errors.Is(readErr, jaywind.ErrKeyNotFound) {
			return "", err
		}
		err = fmt.Errorf("%w: %w", jaywind.ErrOutcomeUnknown, readErr)
	}
	return "", err
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (b Book) decode(ctx context.Context, e jaywind.Entry) (Accepted, error) {
	var h head
	if err := json.Unmarshal(e.Value, &h); err != nil {
		return Accepted{}, fmt.Errorf("value of %q: %w", headKey, err)
	}
	text := h.Text
	if len(h.Chunks) > 0 {
		var err error
		if text, err = b.readChunks(ctx, h.Chunks); err != nil {
			return Accepted{}, err
		}
	}
	set, findings := b.Parser.Parse(headKey, text)
	if len(findings) > 0 {
		return Accepted{}, fmt.Errorf("%w: %s", ErrFindings, findings[0])
	}
	return Accepted{
		Version:  jaywind.RulesVersion(h.Version),
		Text:     text,
		Set:      set,
		Revision: e.Revision,
		Nonce:    h.Nonce,
		Previous: h.Previous,
		head:     h,
	}, nil
}
