package tunnel

// Path is the HTTP path of the handler.
const Path = "/fleet/tunnel"

// upward is a message from the router that asks to its helper.
type upward struct {
	Endpoint string `cbor:"1,keyasint,omitempty"` // address to connect to; in the first message only
	Data     []byte `cbor:"2,keyasint,omitempty"`
}

// downward is a message from a helper.
type downward struct {
	Opened outcome `cbor:"1,keyasint,omitempty"` // of the connection to the endpoint; in the first message only
	Data   []byte  `cbor:"2,keyasint,omitempty"`
	End    ending  `cbor:"3,keyasint,omitempty"` // set in the last message

	// Written is the number of bytes that the endpoint's connection has taken; in the last message only, nil from older routers.
	Written *int64 `cbor:"4,keyasint,omitempty"`
}

// outcome says how the opening of a connection has ended.
type outcome int

// The outcomes; of another router's none is zero.
const (
	outcomeFailed      outcome = iota // no answer, or one that is not understood
	outcomeConnected                  // the endpoint has accepted
	outcomeRefused                    // the endpoint's VM answers, and nothing listens there
	outcomeUnreachable                // the endpoint does not answer the helper either
	outcomeLinkLost                   // the helper's own link to the endpoint is lost
	outcomeUnavailable                // the helper takes no call for the endpoint now
)

// String returns the outcome for logs.
func (o outcome) String() string {
	switch o {
	case outcomeConnected:
		return "connected"
	case outcomeRefused:
		return "refused by the endpoint"
	case outcomeUnreachable:
		return "endpoint does not answer"
	case outcomeLinkLost:
		return "link of the helper is lost"
	case outcomeUnavailable:
		return "helper is not available"
	}
	return "no answer"
}

// ending says how the endpoint has ended a connection.
type ending int

// The endings.
const (
	endingNone ending = iota
	endingClosed
	endingReset
)
