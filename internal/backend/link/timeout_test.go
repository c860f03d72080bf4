package link

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"jaywind"
)

// TestLostConnectionIsNoSilence fails if a connection that the kernel has given up, after its peer acknowledged nothing, is read on as if
// its peer were silent.
func TestLostConnectionIsNoSilence(t *testing.T) {
	tests := map[string]struct {
		err    error
		silent bool
	}{
		"read deadline":   {&net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}, true},
		"connection lost": {&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}, false},
		"none":            {nil, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(isTimeout(c.err), c.silent)
			is.Equal(errors.Is(timeoutError(c.err), jaywind.ErrIdleTimeout), c.silent)
		})
	}
}
