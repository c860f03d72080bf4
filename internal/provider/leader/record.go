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

const storeTimeout = 2 * time.Second // for one store operation

// Records stores the final states of moves. The first state written for a move is final.
type Records struct {
	Store jaywind.Store
}

type storedRecord struct {
	State  string    `json:"state"`
	Reason string    `json:"reason"`
	At     time.Time `json:"at"`
}

// Read returns the record of a move; its state is table.MoveRunning when there is none.
func (b Records) Read(ctx context.Context, id table.MoveID) (table.MoveRecorded, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e, err := b.Store.Get(ctx, recordKey(id))
	if errors.Is(err, jaywind.ErrKeyNotFound) {
		return table.MoveRecorded{Move: id, State: table.MoveRunning}, nil
	}
	if err != nil {
		return table.MoveRecorded{}, err
	}
	var v storedRecord
	if err := json.Unmarshal(e.Value, &v); err != nil {
		return table.MoveRecorded{}, fmt.Errorf("value of %q: %w", e.Key, err)
	}
	state := table.MoveState(v.State)
	if state != table.MoveDone && state != table.MoveRolledBack {
		return table.MoveRecorded{}, fmt.Errorf("value of %q: state %q", e.Key, v.State)
	}
	return table.MoveRecorded{Move: id, State: state, Reason: v.Reason, At: v.At}, nil
}

// Write records the end of a move unless one is recorded already, and returns the recorded one.
func (b Records) Write(ctx context.Context, r table.WriteMoveRecord) (table.MoveRecorded, error) {
	body, err := json.Marshal(storedRecord{State: string(r.State), Reason: r.Reason, At: r.At})
	if err != nil {
		return table.MoveRecorded{}, err
	}
	writing, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = b.Store.Swap(writing, recordKey(r.Move), body, "")
	if err != nil && !errors.Is(err, jaywind.ErrRevisionConflict) && !errors.Is(err, jaywind.ErrOutcomeUnknown) {
		return table.MoveRecorded{}, err
	}
	recorded, err := b.Read(ctx, r.Move)
	if err == nil && recorded.State == table.MoveRunning {
		return recorded, fmt.Errorf("%w: the record of the move of model %s is missing after the write", jaywind.ErrOutcomeUnknown, r.Move.Model)
	}
	return recorded, err
}

func recordKey(id table.MoveID) string {
	return "move." + url.QueryEscape(string(id.Model)) + "." + url.QueryEscape(string(id.From)) + "." +
		url.QueryEscape(string(id.To)) + "." + strconv.FormatInt(id.Deadline, 10)
}
