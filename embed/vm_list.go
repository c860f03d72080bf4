package embed

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"jaywind/internal/core/table"
)

const (
	vmListReaders       = 1 // routers per failure domain that read the VM list
	vmListPeriod        = 1500 * time.Millisecond
	vmListMaxRetryDelay = 5 * time.Second
)

// vmListReader reads the VM list once at the start, and periodically while this router is selected as a reader.
type vmListReader struct {
	router *Router
}

func (p *vmListReader) execute(context.Context, table.Command) bool { return false }

func (p *vmListReader) run(ctx context.Context) {
	r := p.router
	read := false
	delay := vmListPeriod
	for ctx.Err() == nil {
		if read && !selected("vm-list", r.Members(), r.Self, r.Domain, vmListReaders) {
			sleep(ctx, vmListPeriod)
			continue
		}
		vms, err := r.VMList.List(ctx)
		if err == nil {
			read = true
			delay = vmListPeriod
			r.post(table.VMsListed{VMs: vms})
		} else if ctx.Err() == nil {
			r.Log.Warn("vms: failed to read the VM list", zap.Error(err))
			delay = min(2*delay, vmListMaxRetryDelay)
		}
		sleep(ctx, delay/2+rand.N(delay/2))
	}
}
