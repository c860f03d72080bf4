package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

const callLimit = 2 * time.Second // for one call of the store

// Records keeps the final states of moves; the first one written stands.
type Records struct {
	Store jaywind.Store
}

type value struct {
	State  string    `json:"state"`
	Reason string    `json:"reason"`
	At     time.Time `json:"at"`
}

// Read returns what is recorded of a move; its state is table.MoveGoing when nothing is.
func (b Records) Read(ctx context.Context, id table.MoveID) (table.MoveRecorded, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	e, err := b.Store.Get(ctx, keyOf(id))
	if errors.Is(err, jaywind.ErrKeyNotFound) {
		return table.MoveRecorded{Move: id, State: table.MoveRunning}, nil
	}
	if err != nil {
		return table.MoveRecorded{}, err
	}
	var v value
	if err := json.Unmarshal(e.Value, &v); err != nil {
		return table.MoveRecorded{}, fmt.Errorf("value of %q: %w", e.Key, err)
	}
	state := table.MoveState(v.State)
	if state != table.MoveDone && state != table.MoveRolledBack {
		return table.MoveRecorded{}, fmt.Errorf("value of %q: state %q", e.Key, v.State)
	}
	return table.MoveRecorded{Move: id, State: state, Reason: v.Reason, At: v.At}, nil
}

// Write records the end of a move unless one is recorded, and returns the one that stands.
func (b Records) Write(ctx context.Context, r table.WriteMoveRecord) (table.MoveRecorded, error) {
	body, err := json.Marshal(value{State: string(r.State), Reason: r.Reason, At: r.At})
	if err != nil {
		return table.MoveRecorded{}, err
	}
	writing, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	_, err = b.Store.Swap(writing, keyOf(r.Move), body, "")
	if err != nil && !errors.Is(err, jaywind.ErrRevisionConflict) && !errors.Is(err, jaywind.ErrOutcomeUnknown) {
		return table.MoveRecorded{}, err
	}
	stands, err := b.Read(ctx, r.Move)
	if err == nil && stands.State == table.MoveRunning {
		return stands, fmt.Errorf("%w: the record of %s was not kept", jaywind.ErrOutcomeUnknown, r.Move.Model)
	}
	return stands, err
}

func keyOf(id table.MoveID) string {
	return "move." + url.QueryEscape(string(id.Model)) + "." + url.QueryEscape(string(id.From)) + "." +
		url.QueryEscape(string(id.To)) + "." + strconv.FormatInt(id.Deadline, 10)
}
