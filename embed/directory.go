package embed

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"jaywind/internal/core/table"
)

const (
	vmListReaders       = 1 // routers of each failure domain that read the VM list
	vmListPeriod        = 1500 * time.Millisecond
	vmListMaxRetryDelay = 5 * time.Second
)

// vmListReader reads the VM list while this router is chosen to, and at its start.
type vmListReader struct {
	router *Router
}

func (p *vmListReader) execute(context.Context, table.Command) bool { return false }

func (p *vmListReader) run(ctx context.Context) {
	r := p.router
	read := false
	wait := vmListPeriod
	for ctx.Err() == nil {
		if read && !selected("vm-list", r.Members(), r.Self, r.Domain, vmListReaders) {
			sleep(ctx, vmListPeriod)
			continue
		}
		machines, err := r.Directory.List(ctx)
		if err == nil {
			read = true
			wait = vmListPeriod
			r.post(table.MachinesListed{Machines: machines})
		} else if ctx.Err() == nil {
			r.Log.Warn("vms: list not read", zap.Error(err))
			wait = min(2*wait, vmListMaxRetryDelay)
		}
		sleep(ctx, wait/2+rand.N(wait/2))
	}
}
