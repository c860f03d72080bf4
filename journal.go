package jaywind

import "context"

// Record is the state of a request that a peer keeps for the router that serves it.
type Record struct {
	Request      RequestID
	Organisation Organisation
	Model        Model
	Bookmark     Bookmark // the position after Tokens
	From         Position // position of the first of Tokens
	Tokens       []Token
	Before       []Token // tokens from 0 to From, if the peer has them from the same attempt; not sent
	Ended        bool    // the peer may delete the record
}

// Journal is a client of the peers that keep records of requests.
type Journal interface {
	// Keep sends a batch of records and returns the requests whose earlier tokens the peer lacks.
	Keep(ctx context.Context, at Address, records []Record) (missing []RequestID, err error)
	// Recall returns a peer's record of a request, or ErrKeyNotFound.
	Recall(ctx context.Context, at Address, id RequestID) (Record, error)
}
