package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/sourcegraph/conc"

	"jaywind/platform/standin"
)

const (
	hostileClients = 60 // that come together
	hostileStay    = 500 * time.Millisecond
	hostilePause   = time.Second // mean time between two groups of them
)

// sendHostile lets groups of hostile clients come to routers until ctx ends. They break no promise to others, and none is made to them.
func (r *Run) sendHostile(ctx context.Context) {
	texts := standin.HostileTexts()
	random := rand.New(rand.NewPCG(r.Plan.Seed, 0)) //nolint:gosec // not used for security
	for ctx.Err() == nil {
		at, text := r.fleet.routers[random.IntN(len(r.fleet.routers))].callerAddress, texts[random.IntN(len(texts))]
		var group conc.WaitGroup
		for range hostileClients {
			group.Go(func() { stayWith(ctx, at, text) })
		}
		group.Wait()
		time.Sleep(time.Duration(random.Int64N(int64(2 * hostilePause))))
	}
}

// stayWith sends a text to a router, which may refuse it at any byte, and closes the connection after a while.
func stayWith(ctx context.Context, at, text string) {
	conn, err := (&net.Dialer{Timeout: hostileStay}).DialContext(ctx, "tcp", at)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetWriteDeadline(time.Now().Add(hostileStay))
	_, _ = io.WriteString(conn, text)
	time.Sleep(hostileStay)
}
