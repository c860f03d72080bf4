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

// writer is one entry of the list of pending writers.
type writer struct {
	Nonce string `json:"nonce"`
	Base  uint64 `json:"base"`
	Count int    `json:"count"` // chunks that it may write
}

// writeChunks writes the chunks that base does not have and fills in their locations.
func (b Book) writeChunks(ctx context.Context, base Accepted, text string, next *head) error {
	have := map[jaywind.ChunkID]string{}
	for _, l := range base.head.Chunks {
		have[l.ID] = l.Key
	}
	chunks := Split(text)
	if err := b.enter(ctx, writer{Nonce: b.Nonce, Base: uint64(base.Version), Count: len(chunks)}); err != nil {
		return err
	}
	for i, c := range chunks {
		id := IDOf(c)
		if have[id] == "" {
			key := chunkKey(b.Nonce, i)
			if err := b.writeChunk(ctx, key, c); err != nil {
				return err
			}
			have[id] = key
		}
		next.Chunks = append(next.Chunks, location{ID: id, Key: have[id]})
	}
	return nil
}

func chunkKey(nonce string, i int) string {
	return "rules-chunk-" + nonce + "-" + strconv.Itoa(i)
}

func (b Book) writeChunk(ctx context.Context, key, text string) error {
	_, err := b.settle(ctx, key, []byte(text), "", func(e jaywind.Entry) bool { return string(e.Value) == text })
	return err
}

func (b Book) readChunks(ctx context.Context, at []location) (string, error) {
	chunks := map[jaywind.ChunkID]string{}
	ids := make([]jaywind.ChunkID, 0, len(at))
	for _, l := range at {
		ids = append(ids, l.ID)
		if b.Cache != nil {
			if c, found := b.Cache(l.ID); found {
				chunks[l.ID] = c
				continue
			}
		}
		e, err := b.Store.Get(ctx, l.Key)
		if errors.Is(err, jaywind.ErrKeyNotFound) {
			return "", fmt.Errorf("%w: %s", ErrChunk, l.Key)
		}
		if err != nil {
			return "", err
		}
		chunks[l.ID] = string(e.Value)
	}
	return Join(ids, chunks)
}

// enter puts a writer on the list of pending ones.
func (b Book) enter(ctx context.Context, w writer) error {
	return b.editPending(ctx, func(list []writer) []writer {
		list = slices.DeleteFunc(list, func(v writer) bool { return v.Nonce == w.Nonce })
		return append(list, w)
	})
}

// editPending changes the list by compare-and-swap; the change is idempotent.
func (b Book) editPending(ctx context.Context, edit func([]writer) []writer) error {
	var err error
	for i := range writeTries {
		if i > 0 {
			pause(ctx, writePause)
		}
		var e jaywind.Entry
		e, err = b.Store.Get(ctx, pendingKey)
		if err != nil && !errors.Is(err, jaywind.ErrKeyNotFound) {
			continue
		}
		var list []writer
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

// sweep removes what no version and no writer that can still win refers to; it does what it can.
func (b Book) sweep(ctx context.Context, base Accepted, next head) {
	used := map[string]bool{}
	for _, l := range next.Chunks {
		used[l.Key] = true
	}
	for _, l := range base.head.Chunks {
		if !used[l.Key] {
			b.remove(ctx, l.Key)
		}
	}
	e, err := b.Store.Get(ctx, pendingKey)
	if err != nil {
		return
	}
	var list []writer
	if json.Unmarshal(e.Value, &list) != nil {
		return
	}
	done := map[string]bool{}
	for _, w := range list {
		if w.Base < next.Version {
			done[w.Nonce] = b.removeAll(ctx, w, used)
		}
	}
	if len(done) == 0 {
		return
	}
	_ = b.editPending(ctx, func(list []writer) []writer {
		return slices.DeleteFunc(list, func(w writer) bool { return done[w.Nonce] })
	})
}

// removeAll removes the chunks of a writer that are not used, and returns whether none is left.
func (b Book) removeAll(ctx context.Context, w writer, used map[string]bool) bool {
	whole := true
	for i := range w.Count {
		if key := chunkKey(w.Nonce, i); !used[key] {
			whole = b.remove(ctx, key) && whole
		}
	}
	return whole
}

// remove deletes a key and returns whether it is gone.
func (b Book) remove(ctx context.Context, key string) bool {
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
