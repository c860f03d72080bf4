package jaywind

import "context"

// Record is what a peer keeps of a request for the router that serves it.
type Record struct {
	Request      RequestID
	Organisation Organisation
	Model        Model
	Mark         Bookmark // the place after Tokens
	From         Position // of the first of Tokens
	Tokens       []Token
	Before       []Token // from 0 to From, where the peer has them from the same attempt; they aren't sent
	Ended        bool    // the peer may forget it
}

// Journal speaks to the peers that keep the records of requests.
type Journal interface {
	// Keep hands over a batch of records and returns the requests of which the peer lacks the tokens before.
	Keep(ctx context.Context, at Address, records []Record) (gaps []RequestID, err error)
	// Recall returns what a peer keeps of a request, or ErrAbsent.
	Recall(ctx context.Context, at Address, id RequestID) (Record, error)
}
