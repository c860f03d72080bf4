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
func (b Records) Read(ctx context.Context, id table.MoveID) (table.Recorded, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e, err := b.Store.Get(ctx, recordKey(id))
	if errors.Is(err, jaywind.ErrAbsent) {
		return table.Recorded{Move: id, State: table.MoveGoing}, nil
	}
	if err != nil {
		return table.Recorded{}, err
	}
	var v storedRecord
	if err := json.Unmarshal(e.Value, &v); err != nil {
		return table.Recorded{}, fmt.Errorf("value of %q: %w", e.Key, err)
	}
	state := table.MoveState(v.State)
	if state != table.MoveDone && state != table.MoveBack {
		return table.Recorded{}, fmt.Errorf("value of %q: state %q", e.Key, v.State)
	}
	return table.Recorded{Move: id, State: state, Reason: v.Reason, At: v.At}, nil
}

// Write records the end of a move unless one is recorded already, and returns the recorded one.
func (b Records) Write(ctx context.Context, r table.Record) (table.Recorded, error) {
	body, err := json.Marshal(storedRecord{State: string(r.State), Reason: r.Reason, At: r.At})
	if err != nil {
		return table.Recorded{}, err
	}
	writing, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = b.Store.Swap(writing, recordKey(r.Move), body, "")
	if err != nil && !errors.Is(err, jaywind.ErrConflict) && !errors.Is(err, jaywind.ErrUnknown) {
		return table.Recorded{}, err
	}
	recorded, err := b.Read(ctx, r.Move)
	if err == nil && recorded.State == table.MoveGoing {
		return recorded, fmt.Errorf("%w: the record of the move of model %s is missing after the write", jaywind.ErrUnknown, r.Move.Model)
	}
	return recorded, err
}

func recordKey(id table.MoveID) string {
	return "move." + url.QueryEscape(string(id.Model)) + "." + url.QueryEscape(string(id.From)) + "." +
		url.QueryEscape(string(id.To)) + "." + strconv.FormatInt(id.By, 10)
}
