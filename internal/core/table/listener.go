package table

import "jaywind"

// Listener identifies a caller's connection to this router; numbers start at 1.
type Listener uint64

// AttachListener sends the rest of a request's answer to a listener.
type AttachListener struct {
	Request  jaywind.RequestID
	Listener Listener
}

func (AttachListener) command() {}
