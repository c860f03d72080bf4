// Command jaywind runs a router, and holds the tools by which operators manage the routers.
//
//	jaywind route -settings vm1.toml
//	jaywind check -settings vm1.toml -rules rules.txt
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// The exit codes of all subcommands.
const (
	exitOK    = 0
	exitFault = 1 // the command failed, or found errors
	exitUsage = 2 // the command line is invalid
)

// command is a subcommand.
type command struct {
	summary string
	example string
	run     func(ctx context.Context, c *console) int
}

var commands = map[string]command{
	"apply":   {"applies a rules file and waits until it is in force", "jaywind apply -settings vm1.toml -rules rules.txt", apply},
	"ask":     {"requests a generation and checks that the answer is complete", "jaywind ask -entry http://127.0.0.1:8101 -model heat fins for 40 W", ask},
	"burn":    {"reports error budget burn rates", "jaywind burn -settings vm1.toml -plot burn.png", burnReport},
	"check":   {"reports all errors in settings and rules", "jaywind check -settings vm1.toml -rules rules.txt", check},
	"entries": {"lists the entries that an organisation should use", "jaywind entries -entry http://127.0.0.1:8101 -organisation lagos", entries},
	"rules":   {"prints the rules in force and their version", "jaywind rules -settings vm1.toml", printRules},
	"status":  {"prints the routers, the moves and the endpoints that are leaving", "jaywind status -settings vm1.toml", status},
	"explain": {"reports from logs how a request ended and why", "jaywind explain -id 9c41d07be2a35f68 vm1.log vm2.log", explain},
	"record":  {"records snapshots of the routers' metrics", "jaywind record -for 1m vm1=http://127.0.0.1:9464/metrics > day.jsonl", record},
	"plot":    {"plots recorded metrics over time", "jaywind plot -out day.svg day.jsonl", drawHistory},
	"route":   {"runs a router", "jaywind route -settings vm1.toml", route},
	"version": {"prints the version", "jaywind version", version},
}

// console holds the arguments and the standard streams of a subcommand.
type console struct {
	name    string
	example string
	args    []string
	in      io.Reader
	out     io.Writer
	err     io.Writer
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	code := dispatch(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

func dispatch(ctx context.Context, args []string, in io.Reader, out, errs io.Writer) int {
	if len(args) == 0 || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" || args[0] == "help" {
		usage(out)
		return exitOK
	}
	c, known := commands[args[0]]
	if !known {
		_, _ = fmt.Fprintf(errs, "jaywind: unknown command %q; see jaywind -h\n", args[0])
		return exitUsage
	}
	return c.run(ctx, &console{name: args[0], example: c.example, args: args[1:], in: in, out: out, err: errs})
}

func usage(out io.Writer) {
	_, _ = fmt.Fprintln(out, "usage: jaywind COMMAND [flags]; run jaywind COMMAND -h for details")
	for _, name := range slices.Sorted(maps.Keys(commands)) {
		_, _ = fmt.Fprintf(out, "  %-8s %s\n", name, commands[name].summary)
	}
}

// flags returns a flag set whose help starts with the example.
func (c *console) flags() *flag.FlagSet {
	f := flag.NewFlagSet(c.name, flag.ContinueOnError)
	f.SetOutput(c.err)
	f.Usage = func() {
		_, _ = fmt.Fprintf(f.Output(), "example: %s\n", c.example)
		f.PrintDefaults()
	}
	return f
}

// parse parses the flags. When proceed is false, the command exits with code.
func (c *console) parse(f *flag.FlagSet) (code int, proceed bool) {
	err := f.Parse(c.args)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK, false
	}
	if err != nil {
		return exitUsage, false
	}
	return exitOK, true
}

// fail prints an error and returns exitFault.
func (c *console) fail(err error) int {
	_, _ = fmt.Fprintf(c.err, "jaywind %s: %v\n", c.name, err)
	return exitFault
}

// misuse prints a usage error and returns exitUsage.
func (c *console) misuse(what string) int {
	_, _ = fmt.Fprintf(c.err, "jaywind %s: %s; see jaywind %s -h\n", c.name, what, c.name)
	return exitUsage
}

func (c *console) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(c.out, format, args...)
}
