package table

import "jaywind"

// Listener numbers the connections of callers to one router, from 1.
type Listener uint64

// Join says that the answer to a request goes to a listener from now on.
type Join struct {
	Request  jaywind.RequestID
	Listener Listener
}

func (Join) command() {}
