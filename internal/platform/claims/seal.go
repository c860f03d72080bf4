package claims

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jaywind"
)

// write swaps in a head with the changed records, after sealing one that has grown large.
func (h *Shard) write(ctx context.Context, changed map[jaywind.ClaimKey]jaywind.Claim) error {
	next, err := h.next(ctx)
	if err != nil {
		return err
	}
	next.Rows = replaceRows(next.Rows, changed)
	value, err := encode(next)
	if err != nil {
		return err
	}
	if len(value) > jaywind.MaxValue {
		return fmt.Errorf("%w: head of %d bytes", jaywind.ErrUnavailable, len(value))
	}
	revision, err := h.Store.Swap(ctx, h.key(), value, h.revision)
	if err != nil {
		return err
	}
	h.adopt(next, revision)
	h.forget()
	return nil
}

// replaceRows returns rows with the changed ones put in order of their first record.
func replaceRows(rows []row, changed map[jaywind.ClaimKey]jaywind.Claim) []row {
	out := make([]row, 0, len(rows)+len(changed))
	done := map[jaywind.ClaimKey]bool{}
	for _, r := range rows {
		k := r.claim().ID()
		if c, found := changed[k]; found {
			r = rowOf(c)
			done[k] = true
		}
		out = append(out, r)
	}
	for k, c := range changed {
		if !done[k] {
			out = append(out, rowOf(c))
		}
	}
	return out
}

// next returns the head to add to: the current one, or one whose rows were sealed.
func (h *Shard) next(ctx context.Context) (head, error) {
	value, err := encode(h.head)
	if err != nil || len(value) < sealSize {
		return h.head, err
	}
	n, err := h.seal(ctx, h.head.Rows)
	if err != nil {
		return head{}, err
	}
	next := head{Form: form, Sealed: slices.Clone(h.head.Sealed)}
	next.Sealed = append(next.Sealed, n)
	next.Sealed = slices.DeleteFunc(next.Sealed, func(n name) bool { return n.expired(h.now()) })
	return h.compact(ctx, next)
}

// seal writes rows under the hash of their content; a value that is there already is the same one.
func (h *Shard) seal(ctx context.Context, rows []row) (name, error) {
	value, err := encode(segment{Form: form, Rows: rows})
	if err != nil {
		return name{}, err
	}
	n := name{Hash: xxhash.Sum64(value), Size: len(value), Until: h.now().Add(retention).Unix()}
	if _, err := h.Store.Swap(ctx, h.segmentKey(n), value, ""); err != nil && !errors.Is(err, jaywind.ErrConflict) {
		return name{}, err
	}
	h.keep(n.Hash, index(rows))
	return n, nil
}

// compact merges the latest small segments into one when there are many of them.
func (h *Shard) compact(ctx context.Context, next head) (head, error) {
	start := len(next.Sealed)
	size := 0
	for start > 0 && size+next.Sealed[start-1].Size <= mergeSize {
		start--
		size += next.Sealed[start].Size
	}
	if len(next.Sealed)-start < mergeCount {
		return next, nil
	}
	latest := map[jaywind.ClaimKey]jaywind.Claim{}
	for _, n := range next.Sealed[start:] {
		claims, err := h.read(ctx, n)
		if err != nil {
			return head{}, err
		}
		maps.Copy(latest, claims)
	}
	n, err := h.seal(ctx, sortedRows(latest))
	if err != nil {
		return head{}, err
	}
	next.Sealed = append(next.Sealed[:start:start], n)
	return next, nil
}

func sortedRows(claims map[jaywind.ClaimKey]jaywind.Claim) []row {
	rows := replaceRows(nil, claims)
	slices.SortFunc(rows, compareRows)
	return rows
}

func compareRows(a, b row) int {
	return slices.Compare([]string{a.Organisation, a.Service, a.Key}, []string{b.Organisation, b.Service, b.Key})
}

// loadSealed reads the segments that are not known yet.
func (h *Shard) loadSealed(ctx context.Context, names []name) error {
	for _, n := range names {
		if _, known := h.sealed[n.Hash]; known {
			continue
		}
		if _, err := h.read(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// contents is a segment as it was read.
type contents struct {
	hash   uint64
	claims map[jaywind.ClaimKey]jaywind.Claim
}

// read returns what a segment holds.
func (h *Shard) read(ctx context.Context, n name) (map[jaywind.ClaimKey]jaywind.Claim, error) {
	for _, c := range h.cache {
		if c.hash == n.Hash {
			return c.claims, nil
		}
	}
	e, err := h.Store.Get(ctx, h.segmentKey(n))
	if err != nil {
		return nil, fmt.Errorf("%w: segment %x: %w", jaywind.ErrUnavailable, n.Hash, err)
	}
	g, err := decodeSegment(e.Value)
	if err != nil {
		return nil, err
	}
	claims := index(g.Rows)
	h.keep(n.Hash, claims)
	return claims, nil
}

// keep notes the hashes of a segment's keys, and its claims for a while.
func (h *Shard) keep(hash uint64, claims map[jaywind.ClaimKey]jaywind.Claim) {
	hashes := make([]uint64, 0, len(claims))
	for k := range claims {
		hashes = append(hashes, k.Hash())
	}
	slices.Sort(hashes)
	if h.sealed == nil {
		h.sealed = map[uint64][]uint64{}
	}
	h.sealed[hash] = hashes
	h.cache = append(h.cache, contents{hash: hash, claims: claims})
	if len(h.cache) > cacheCount {
		h.cache = slices.Delete(h.cache, 0, 1)
	}
}

// forget drops the segments that the head no longer names.
func (h *Shard) forget() {
	for hash := range h.sealed {
		named := slices.ContainsFunc(h.head.Sealed, func(n name) bool { return n.Hash == hash })
		if !named {
			delete(h.sealed, hash)
		}
	}
}

func (h *Shard) segmentKey(n name) string {
	return fmt.Sprintf("claims-%d-%x", h.Number, n.Hash)
}
