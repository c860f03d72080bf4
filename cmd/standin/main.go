// Command standin runs one stand-in for an outside system as a process.
//
//	standin engine -listen 127.0.0.1:9101 -id e1 -model heat -version v1
//	standin service -listen 127.0.0.1:9301 -name s1
//	standin store -listen 127.0.0.1:9200
//	standin vms -listen 127.0.0.1:9300 -lag 5s
//
// Faults are switched by POST /faults with the switches as JSON.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"jaywind"
	"jaywind/internal/standin/engine"
	"jaywind/internal/standin/service"
	"jaywind/internal/standin/store"
	"jaywind/internal/standin/vms"
	"jaywind/internal/standin/weights"
)

var kinds = map[string]func(*flag.FlagSet) func() http.Handler{
	"engine":  engineFlags,
	"service": serviceFlags,
	"store":   storeFlags,
	"vms":     vmsFlags,
	"weights": weightsFlags,
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, os.Args[1:])
	stop()
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	if len(args) == 0 || kinds[args[0]] == nil {
		return errors.New("want a kind: engine, service, store, vms or weights")
	}
	f := flag.NewFlagSet(args[0], flag.ContinueOnError)
	listen := f.String("listen", "127.0.0.1:0", "`address` to listen on")
	handler := kinds[args[0]](f)
	if err := f.Parse(args[1:]); err != nil {
		return err
	}
	server := &http.Server{Addr: *listen, Handler: handler(), ReadHeaderTimeout: 5 * time.Second}
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func engineFlags(f *flag.FlagSet) func() http.Handler {
	id := f.String("id", "e1", "endpoint `id`")
	model := f.String("model", "heat", "model `name`")
	version := f.String("version", "v1", "model `version`")
	gap := f.Duration("gap", 5*time.Millisecond, "time between tokens")
	prefill := f.Duration("prefill", 20*time.Millisecond, "time for 1,000 tokens of prefix")
	batch := f.Int("batch", 0, "runs at full speed; more share the speed of these; no limit when 0")
	fenced := f.Bool("fenced", true, "refuse an order with an old fencing number")
	load := f.Duration("load", time.Second, "time from an order until the weights are loaded")
	empty := f.Bool("empty", false, "start with no version loaded")
	keep := f.Duration("keep", 10*time.Second, "how long a stream without a listener goes on")
	return func() http.Handler {
		e := &engine.Engine{
			ID:      jaywind.EndpointID(*id),
			Model:   jaywind.Model(*model),
			Version: jaywind.Version(*version),
			Gap:     *gap,
			Prefill: *prefill,
			Batch:   *batch,
			Keep:    *keep,
			Exit:    func() { os.Exit(1) },
		}
		e.SetOrders(engine.Orders{Unfenced: !*fenced, LoadTime: *load})
		h := e.Handler()
		if *empty {
			e.SetLoaded()
		}
		return h
	}
}

func storeFlags(*flag.FlagSet) func() http.Handler {
	return func() http.Handler { return (&store.Store{}).Handler() }
}

func vmsFlags(f *flag.FlagSet) func() http.Handler {
	lag := f.Duration("lag", 0, "time from a change to its appearance")
	return func() http.Handler { return (&vms.List{Lag: *lag}).Handler() }
}

func serviceFlags(f *flag.FlagSet) func() http.Handler {
	name := f.String("name", "s1", "`name` that the replies tell")
	return func() http.Handler { return (&service.Service{Name: *name}).Handler() }
}

func weightsFlags(f *flag.FlagSet) func() http.Handler {
	turns := f.Float64("rate", 0, "loads granted a second; no limit when 0")
	return func() http.Handler { return (&weights.Store{Rate: *turns}).Handler() }
}
