// Command standin runs a stand-in for an external system, such as an engine or the store, as a process.
//
//	standin engine -listen 127.0.0.1:9101 -id e1 -model heat -version v1
//	standin service -listen 127.0.0.1:9301 -name s1
//	standin store -listen 127.0.0.1:9200
//	standin platform -listen 127.0.0.1:9400
//	standin replica -listen 127.0.0.1:9401 -id i-1 -service pool -engine -store 127.0.0.1:9400
//	standin router -listen 127.0.0.1:9501 -settings vm1.toml
//	standin vms -listen 127.0.0.1:9300 -lag 5s
//
// Faults are injected by POST /faults with a JSON object.
package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"jaywind"
	"jaywind/internal/standin/engine"
	"jaywind/internal/standin/service"
	"jaywind/internal/standin/store"
	"jaywind/internal/standin/vms"
	"jaywind/internal/standin/weights"
	"jaywind/platform/standin"
)

var handlerFlags = map[string]func(*flag.FlagSet) func() http.Handler{
	"engine":   engineFlags,
	"platform": platformFlags,
	"replica":  replicaFlags,
	"service":  serviceFlags,
	"store":    storeFlags,
	"vms":      vmsFlags,
	"weights":  weightsFlags,
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
	if len(args) > 0 && args[0] == "router" {
		return runRouter(ctx, args[1:])
	}
	if len(args) == 0 || handlerFlags[args[0]] == nil {
		return errors.New("want a kind of stand-in: engine, platform, replica, router, service, store, vms or weights")
	}
	f := flag.NewFlagSet(args[0], flag.ContinueOnError)
	listen := f.String("listen", "127.0.0.1:0", "`address` to listen on")
	handler := handlerFlags[args[0]](f)
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
	prefill := f.Duration("prefill", 20*time.Millisecond, "prefill time for 1,000 tokens")
	batch := f.Int("batch", 0, "`number` of runs at full speed; more runs share the speed of these; no limit when 0")
	fenced := f.Bool("fenced", true, "refuse orders with an old fencing number")
	load := f.Duration("load", time.Second, "time from an order until the weights are loaded")
	empty := f.Bool("empty", false, "start with no version loaded")
	keep := f.Duration("keep", 10*time.Second, "how long a stream goes on without a listener")
	return func() http.Handler {
		e := &engine.Engine{
			ID:            jaywind.EndpointID(*id),
			Model:         jaywind.Model(*model),
			Version:       jaywind.Version(*version),
			TokenInterval: *gap,
			PrefillTime:   *prefill,
			BatchSize:     *batch,
			IdleTimeout:   *keep,
			Exit:          func() { os.Exit(1) },
		}
		e.SetOrderFaults(engine.OrderFaults{Unfenced: !*fenced, LoadTime: *load})
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
	lag := f.Duration("lag", 0, "delay until a change shows in the list")
	return func() http.Handler { return (&vms.List{Delay: *lag}).Handler() }
}

func serviceFlags(f *flag.FlagSet) func() http.Handler {
	name := f.String("name", "s1", "`name` given in the replies")
	return func() http.Handler { return (&service.Service{Name: *name}).Handler() }
}

func weightsFlags(f *flag.FlagSet) func() http.Handler {
	rate := f.Float64("rate", 0, "loads granted per second; no limit when 0")
	return func() http.Handler { return (&weights.Store{Rate: *rate}).Handler() }
}

func platformFlags(*flag.FlagSet) func() http.Handler {
	return func() http.Handler { return standin.NewStore() }
}

// replicaFlags defines a replica that registers itself with the platform's store, prints a JSON line for each run and
// for its end, takes faults by POST /faults and starts to drain on POST /drain.
func replicaFlags(f *flag.FlagSet) func() http.Handler {
	r := &standin.Replica{}
	f.StringVar(&r.ID, "id", "i-1", "`id` of the replica")
	f.StringVar(&r.Service, "service", "pool", "`name` of its service")
	f.StringVar(&r.Version, "version", "v1", "`version` of its software")
	bad := f.Bool("bad", false, "fail all requests, until POST /faults changes it")
	f.StringVar(&r.Zone, "zone", "a", "its `zone`")
	f.StringVar(&r.Address, "at", "", "`address` to register")
	f.BoolVar(&r.Engine, "engine", false, "stream events")
	f.DurationVar(&r.ServiceTime, "work", 10*time.Millisecond, "service time of a plain request")
	f.DurationVar(&r.EventInterval, "gap", 20*time.Millisecond, "`interval` between events")
	f.DurationVar(&r.PrefillTime, "read", 100*time.Millisecond, "prefill time of a prompt")
	f.IntVar(&r.EventCount, "events", 50, "`number` of events in a complete stream")
	store := f.String("store", "", "`address` of the platform's store")
	crash := f.String("crash", "", "exit when it begins to write on a prompt with this `part`, also after POST /faults")
	crashBody := f.String("crashbody", "", "exit when it runs a request whose body contains this `text`, also after POST /faults")
	return func() http.Handler {
		r.Incarnation = time.Now().UnixMilli()
		r.SetFaults(standin.Faults{InternalError: *bad, CrashPart: *crash, CrashBody: *crashBody})
		g := &standin.Registration{Replica: r, Store: *store}
		log := &runLog{}
		r.OnStart = func(run standin.Run) { log.write(run, g.DrainingSince(), "run") }
		r.OnRefuse = func(run standin.Run) { log.write(run, g.DrainingSince(), "refuse") }
		r.OnCrash = func(run standin.Run) {
			log.write(run, g.DrainingSince(), "crash")
			os.Exit(1)
		}
		r.OnEnd = func(run standin.Run, left bool) {
			event := "end"
			if left {
				event = "left"
			}
			log.write(run, g.DrainingSince(), event)
		}
		var group conc.WaitGroup
		group.Go(func() { g.Run(context.Background()) }) // runs until the process exits
		m := http.NewServeMux()
		m.Handle("/", r)
		m.HandleFunc("POST /drain", func(http.ResponseWriter, *http.Request) { g.Drain() })
		m.HandleFunc("POST /faults", func(w http.ResponseWriter, q *http.Request) {
			var faults standin.Faults
			if err := json.NewDecoder(q.Body).Decode(&faults); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			faults.CrashPart, faults.CrashBody = cmp.Or(faults.CrashPart, *crash), cmp.Or(faults.CrashBody, *crashBody)
			r.SetFaults(faults)
		})
		return m
	}
}

// runLog prints each run of a replica as it happens, so that the runs are known even after the replica was killed.
type runLog struct{ mu sync.Mutex }

func (j *runLog) write(r standin.Run, draining int64, what string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	_ = json.NewEncoder(os.Stdout).Encode(r.Event(what, draining)) // fails only when the parent process, which reads the output, is gone
}
