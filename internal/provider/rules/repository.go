package rules

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"jaywind"
	"jaywind/internal/core/rule"
)

const (
	headKey          = "rules"
	maxInlineBytes   = 64 << 10 // largest text that is stored in the head itself
	maxWriteAttempts = 5        // attempts at a write that fails or whose outcome is unknown
	maxRecentNonces  = 16       // number of versions whose nonces are kept
	writeBackoff     = 200 * time.Millisecond
	versionKey       = "rules-beat"
	maxAnnouncements = 2 // attempts at an announcement, which another writer may have overtaken
)

// ErrInvalid is returned for a text that rule.Parse rejects.
var ErrInvalid = errors.New("the rules are invalid")

// ErrBadChunk is returned when a chunk is missing or does not match its id.
var ErrBadChunk = errors.New("chunk of the rules is missing or damaged")

// Accepted is a version of the rules that the store holds.
type Accepted struct {
	Version  jaywind.RulesVersion
	Text     string
	Set      *rule.Set
	Revision jaywind.Revision
	Nonce    string // of the writer of this version
	Previous string // text of the previous version, truncated to the inline limit; empty if Text is stored in chunks

	head head
}

// Repository reads the accepted rules and commits new versions.
type Repository struct {
	Store jaywind.Store
	Nonce string // unique per writer; required by Accept

	// Cache returns chunks that are known locally and need not be read; nil means none.
	Cache func(jaywind.ChunkID) (string, bool)

	// Parser caches parsed chunks between reads; when nil, each read parses the whole text.
	Parser *Parser
}

// head is the JSON value of headKey.
type head struct {
	Version  uint64          `json:"version"`
	Nonce    string          `json:"nonce"`
	Recent   []string        `json:"recent"` // nonces of the last versions, oldest first, including this one's
	Text     string          `json:"text,omitempty"`
	Previous string          `json:"previous,omitempty"`
	Chunks   []chunkLocation `json:"chunks,omitempty"`
}

// chunkLocation is the store key of a chunk.
type chunkLocation struct {
	ID  jaywind.ChunkID `json:"id"`
	Key string          `json:"key"`
}

// Read returns the accepted rules, or jaywind.ErrKeyNotFound if there are none yet.
func (b Repository) Read(ctx context.Context) (Accepted, error) {
	e, err := b.Store.Get(ctx, headKey)
	if err != nil {
		return Accepted{}, err
	}
	return b.decode(ctx, e)
}

// Watch waits until the revision of the accepted rules is not last, and returns them.
func (b Repository) Watch(ctx context.Context, last jaywind.Revision) (Accepted, error) {
	e, err := b.Store.Watch(ctx, headKey, last)
	if err != nil {
		return Accepted{}, err
	}
	return b.decode(ctx, e)
}

// Accept commits text as the version after base; a zero base means that there are no rules yet.
//
// It returns jaywind.ErrRevisionConflict when another writer has committed
// since base. After a lost reply it looks for its nonce in the head to find out
// whether the write took effect.
func (b Repository) Accept(ctx context.Context, base Accepted, text string) (Accepted, error) {
	set, findings := rule.Parse(headKey, text)
	if len(findings) > 0 {
		return Accepted{}, fmt.Errorf("%w: %s", ErrInvalid, findings[0])
	}
	next := head{Version: uint64(base.Version) + 1, Nonce: b.Nonce, Recent: appendRecent(base.head.Recent, b.Nonce)}
	if len(text) <= maxInlineBytes {
		next.Text = text
		next.Previous = base.Text[:min(len(base.Text), maxInlineBytes)]
	} else if err := b.writeChunks(ctx, base, text, &next); err != nil {
		return Accepted{}, err
	}
	revision, err := b.swapHead(ctx, base, next)
	if errors.Is(err, jaywind.ErrRevisionConflict) && len(next.Chunks) > 0 {
		b.removeChunks(ctx, pendingWriter{Nonce: b.Nonce, Count: len(next.Chunks)}, nil)
	}
	if err != nil {
		return Accepted{}, err
	}
	b.removeUnused(ctx, base, next)
	b.announce(ctx, jaywind.RulesVersion(next.Version))
	return Accepted{Version: jaywind.RulesVersion(next.Version), Text: text, Set: set, Revision: revision, Nonce: b.Nonce, head: next}, nil
}

// announce writes the newest version to a key that is cheap to read. It makes up for watches whose connections have gone silent, so a failure
// only delays those.
func (b Repository) announce(ctx context.Context, version jaywind.RulesVersion) {
	for range maxAnnouncements {
		e, err := b.Store.Get(ctx, versionKey)
		if err != nil && !errors.Is(err, jaywind.ErrKeyNotFound) || decodeVersion(e.Value) >= version {
			return
		}
		if _, err = b.Store.Swap(ctx, versionKey, strconv.AppendUint(nil, uint64(version), 10), e.Revision); err == nil {
			return
		}
	}
}

// Announced returns the newest version that was announced; 0 for none. The error is that of the store.
func (b Repository) Announced(ctx context.Context) (jaywind.RulesVersion, error) {
	e, err := b.Store.Get(ctx, versionKey)
	if errors.Is(err, jaywind.ErrKeyNotFound) {
		return 0, nil
	}
	return decodeVersion(e.Value), err
}

// decodeVersion decodes an announced version; what is none counts as 0.
func decodeVersion(value []byte) jaywind.RulesVersion {
	n, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return 0
	}
	return jaywind.RulesVersion(n)
}

// appendRecent appends a nonce and drops the oldest beyond the limit.
func appendRecent(nonces []string, next string) []string {
	out := append(slices.Clone(nonces), next)
	return out[max(0, len(out)-maxRecentNonces):]
}

// swapHead swaps the head and resolves a lost reply.
func (b Repository) swapHead(ctx context.Context, base Accepted, next head) (jaywind.Revision, error) {
	body, err := json.Marshal(next)
	if err != nil {
		return "", err
	}
	return b.swapUntilKnown(ctx, headKey, body, base.Revision, func(e jaywind.Entry) bool {
		var h head
		return json.Unmarshal(e.Value, &h) == nil && slices.Contains(h.Recent, b.Nonce)
	})
}

// swapUntilKnown writes a key until the outcome is known; mine reports whether an entry was written by this writer.
func (b Repository) swapUntilKnown(ctx context.Context, key string, body []byte, old jaywind.Revision, mine func(jaywind.Entry) bool) (jaywind.Revision, error) {
	var err error
	for i := range maxWriteAttempts {
		if i > 0 {
			sleep(ctx, writeBackoff<<min(i, 3))
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

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (b Repository) decode(ctx context.Context, e jaywind.Entry) (Accepted, error) {
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
		return Accepted{}, fmt.Errorf("%w: %s", ErrInvalid, findings[0])
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
