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

const silence = 50 * time.Millisecond

// echo answers each connection with what it sends.
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
		faults     Faults
		open, anew bool // whether a connection that was open, and one made since, is answered
		healed     bool // whether the open one is answered once the fault is gone
	}{
		"none":   {open: true, anew: true, healed: true},
		"silent": {faults: Faults{Silent: true}, anew: true},
		"forth":  {faults: Faults{Forth: true}, healed: true},
		"back":   {faults: Faults{Back: true}, healed: true},
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
			is.True(answered(open, "a"))
			r.Set(c.faults)
			is.Equal(answered(open, "b"), c.open)
			anew := dial(t, l)
			is.Equal(answered(anew, "c"), c.anew)
			r.Set(Faults{})
			if !c.open {
				is.Equal(heard(open, "b"), c.healed) // nothing is lost by a cut that heals
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

func answered(c net.Conn, text string) bool {
	_, _ = io.WriteString(c, text)
	return heard(c, text)
}

func heard(c net.Conn, text string) bool {
	_ = c.SetReadDeadline(time.Now().Add(silence))
	got := make([]byte, 1)
	n, _ := c.Read(got)
	return string(got[:n]) == text
}
