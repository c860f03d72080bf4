package rules

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"jaywind"
)

const pendingKey = "rules-pending"

// pendingWriter is one entry of the list of pending writers.
type pendingWriter struct {
	Nonce string `json:"nonce"`
	Base  uint64 `json:"base"`  // version that it wants to replace
	Count int    `json:"count"` // number of chunks that it may write
}

// writeChunks writes the chunks that base does not have, and sets the locations of all chunks in next.
func (b Repository) writeChunks(ctx context.Context, base Accepted, text string, next *head) error {
	have := map[jaywind.ChunkID]string{}
	for _, l := range base.head.Chunks {
		have[l.ID] = l.Key
	}
	chunks := SplitChunks(text)
	if err := b.addPending(ctx, pendingWriter{Nonce: b.Nonce, Base: uint64(base.Version), Count: len(chunks)}); err != nil {
		return err
	}
	for i, c := range chunks {
		id := ChunkIDOf(c)
		if have[id] == "" {
			key := chunkKey(b.Nonce, i)
			if err := b.writeChunk(ctx, key, c); err != nil {
				return err
			}
			have[id] = key
		}
		next.Chunks = append(next.Chunks, chunkLocation{ID: id, Key: have[id]})
	}
	return nil
}

func chunkKey(nonce string, i int) string {
	return "rules-chunk-" + nonce + "-" + strconv.Itoa(i)
}

func (b Repository) writeChunk(ctx context.Context, key, text string) error {
	_, err := b.swapUntilKnown(ctx, key, []byte(text), "", func(e jaywind.Entry) bool { return string(e.Value) == text })
	return err
}

func (b Repository) readChunks(ctx context.Context, locations []chunkLocation) (string, error) {
	chunks := map[jaywind.ChunkID]string{}
	ids := make([]jaywind.ChunkID, 0, len(locations))
	for _, l := range locations {
		ids = append(ids, l.ID)
		if b.Cache != nil {
			if c, found := b.Cache(l.ID); found {
				chunks[l.ID] = c
				continue
			}
		}
		e, err := b.Store.Get(ctx, l.Key)
		if errors.Is(err, jaywind.ErrKeyNotFound) {
			return "", fmt.Errorf("%w: %s", ErrBadChunk, l.Key)
		}
		if err != nil {
			return "", err
		}
		chunks[l.ID] = string(e.Value)
	}
	return JoinChunks(ids, chunks)
}

// addPending adds a writer to the list of pending writers.
func (b Repository) addPending(ctx context.Context, w pendingWriter) error {
	return b.editPending(ctx, func(list []pendingWriter) []pendingWriter {
		list = slices.DeleteFunc(list, func(v pendingWriter) bool { return v.Nonce == w.Nonce })
		return append(list, w)
	})
}

// editPending changes the list of pending writers by compare-and-swap. The edit must be idempotent,
// since it is applied again after a lost reply.
func (b Repository) editPending(ctx context.Context, edit func([]pendingWriter) []pendingWriter) error {
	var err error
	for i := range maxWriteAttempts {
		if i > 0 {
			sleep(ctx, writeBackoff)
		}
		var e jaywind.Entry
		e, err = b.Store.Get(ctx, pendingKey)
		if err != nil && !errors.Is(err, jaywind.ErrKeyNotFound) {
			continue
		}
		var list []pendingWriter
		if err == nil {
			if err = json.Unmarshal(e.Value, &list); err != nil {
				return fmt.Errorf("value of %q: %w", pendingKey, err)
			}
		}
		var body []byte
		if body, err = json.Marshal(edit(list)); err != nil {
			return err
		}
		if _, err = b.Store.Swap(ctx, pendingKey, body, e.Revision); err == nil {
			return nil
		}
	}
	return err
}

// removeUnused deletes the chunks that neither the new version nor a writer that can still commit uses. It is best effort.
func (b Repository) removeUnused(ctx context.Context, base Accepted, next head) {
	used := map[string]bool{}
	for _, l := range next.Chunks {
		used[l.Key] = true
	}
	for _, l := range base.head.Chunks {
		if !used[l.Key] {
			b.removeKey(ctx, l.Key)
		}
	}
	e, err := b.Store.Get(ctx, pendingKey)
	if err != nil {
		return
	}
	var list []pendingWriter
	if json.Unmarshal(e.Value, &list) != nil {
		return
	}
	done := map[string]bool{}
	for _, w := range list {
		if w.Base < next.Version {
			done[w.Nonce] = b.removeChunks(ctx, w, used)
		}
	}
	if len(done) == 0 {
		return
	}
	_ = b.editPending(ctx, func(list []pendingWriter) []pendingWriter {
		return slices.DeleteFunc(list, func(w pendingWriter) bool { return done[w.Nonce] })
	})
}

// removeChunks deletes the unused chunks of a writer and reports whether all of them are gone.
func (b Repository) removeChunks(ctx context.Context, w pendingWriter, used map[string]bool) bool {
	allGone := true
	for i := range w.Count {
		if key := chunkKey(w.Nonce, i); !used[key] {
			allGone = b.removeKey(ctx, key) && allGone
		}
	}
	return allGone
}

// removeKey deletes a key and reports whether it is gone.
func (b Repository) removeKey(ctx context.Context, key string) bool {
	e, err := b.Store.Get(ctx, key)
	if errors.Is(err, jaywind.ErrKeyNotFound) {
		return true
	}
	if err != nil {
		return false
	}
	err = b.Store.Delete(ctx, key, e.Revision)
	return err == nil || errors.Is(err, jaywind.ErrKeyNotFound)
}
