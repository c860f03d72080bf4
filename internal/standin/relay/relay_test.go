package relay

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const readTimeout = 50 * time.Millisecond

// echo sends back what each connection receives.
func echo(l net.Listener) {
	var group conc.WaitGroup
	defer group.Wait()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		group.Go(func() {
			_, _ = io.Copy(c, c)
			_ = c.Close()
		})
	}
}

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		faults      Faults
		open, later bool // whether data is echoed on a connection opened before the fault, and on one opened after it
		healed      bool // whether data held on the first connection arrives once the fault is gone
	}{
		"none":   {open: true, later: true, healed: true},
		"silent": {faults: Faults{Blackhole: true}, later: true},
		"forth":  {faults: Faults{HoldToTarget: true}, healed: true},
		"back":   {faults: Faults{HoldFromTarget: true}, healed: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			r := &Relay{Target: target.Addr().String()}
			var group conc.WaitGroup
			group.Go(func() { echo(target) })
			group.Go(func() { _ = r.Serve(l) })
			defer group.Wait()
			defer func() {
				_ = l.Close()
				r.Close()
				_ = target.Close()
			}()
			open := dial(t, l)
			_, _ = io.WriteString(open, "a")
			is.True(receivesWithin(open, "a", startTimeout)) // the connection works before the fault
			r.Set(c.faults)
			is.Equal(echoed(open, "b"), c.open)
			later := dial(t, l)
			is.Equal(echoed(later, "c"), c.later)
			r.Set(Faults{})
			if !c.open {
				is.Equal(receives(open, "b"), c.healed) // a fault that is removed loses no data
			}
		})
	}
}

func dial(t *testing.T, l net.Listener) net.Conn {
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func echoed(c net.Conn, text string) bool {
	_, _ = io.WriteString(c, text)
	return receives(c, text)
}

func receives(c net.Conn, text string) bool { return receivesWithin(c, text, readTimeout) }

// startTimeout bounds the first echo, on a machine that may be busy with other work.
const startTimeout = 10 * time.Second

func receivesWithin(c net.Conn, text string, limit time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	got := make([]byte, 1)
	n, _ := c.Read(got)
	return string(got[:n]) == text
}
