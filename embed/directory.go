package embed

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"jaywind/internal/core/table"
)

const (
	listReaders   = 1 // routers of each failure domain that read the VM list
	listPeriod    = 1500 * time.Millisecond
	listLastRetry = 5 * time.Second
)

// directory reads the VM list while this router is chosen to, and at its start.
type directory struct {
	router *Router
}

func (p *directory) execute(context.Context, table.Command) bool { return false }

func (p *directory) run(ctx context.Context) {
	r := p.router
	read := false
	wait := listPeriod
	for ctx.Err() == nil {
		if read && !chosen("vm-list", r.Members(), r.Self, r.Domain, listReaders) {
			pause(ctx, listPeriod)
			continue
		}
		machines, err := r.Directory.List(ctx)
		if err == nil {
			read = true
			wait = listPeriod
			r.post(table.MachinesListed{Machines: machines})
		} else if ctx.Err() == nil {
			r.Log.Warn("vms: list not read", zap.Error(err))
			wait = min(2*wait, listLastRetry)
		}
		pause(ctx, wait/2+rand.N(wait/2))
	}
}
