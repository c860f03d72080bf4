package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

var deskZones = []string{"lagos-marina", "apapa-port", "onne-terminal"}

// vm is a machine of the system with its process.
type vm struct {
	name, zone                             string
	front, ready, directory, control, oper string
	file, log                              string
	command                                *exec.Cmd
	ended                                  chan struct{}
}

// freePort returns an address of the loopback interface whose port is free now. The port lies below those that the kernel gives to
// outgoing connections, so that it stays free until it is used, and between the start of a process and the next.
func freePort() string {
	for {
		at := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))
		l, err := net.Listen("tcp", at)
		if err != nil {
			continue
		}
		_ = l.Close()
		if _, used := givenPorts.LoadOrStore(at, true); !used {
			return at
		}
	}
}

var givenPorts sync.Map

// fleet is the system under test.
type fleet struct {
	folder  string // temporary
	program string
	vms     []*vm
}

// newFleet renders the settings of n machines from the template of the deploy file.
func newFleet(store string, zones []string, n int) *fleet {
	folder, err := os.MkdirTemp("", "review-")
	check(err)
	f := &fleet{folder: folder, program: "target/jaywind"}
	template, err := os.ReadFile("deploy/settings.toml")
	check(err)
	var seeds []string
	for i := range n {
		m := &vm{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i+1), zone: zones[i%len(zones)]}
		m.front, m.ready, m.directory, m.control, m.oper = freePort(), freePort(), freePort(), freePort(), freePort()
		m.file, m.log = filepath.Join(folder, m.name+".toml"), filepath.Join(folder, m.name+".log")
		f.vms = append(f.vms, m)
		if len(seeds) < 3 {
			seeds = append(seeds, m.control)
		}
	}
	for _, m := range f.vms {
		values := []string{
			"{{nodeName}}", m.name, "{{zone}}", m.zone, "{{region}}", "ng-south", "{{ip}}:9464", m.oper,
			"{{listen.front}}", m.front, "{{listen.ready}}", m.ready, "{{listen.directory}}", m.directory, "{{listen.control}}", m.control,
			"{{platform.address}}", store, "{{limits.memoryMb}}", "284", "{{limits.linkMbps}}", "1000.0", "{{bounds.graceS}}", "8",
			"{{seeds}}", strings.Join(seeds, ","), "{{bounds.retryBudgetRatio}}", "0.8", "{{bounds.retryBudgetSlack}}", "150",
			"{{bounds.budgetWindowS}}", "10", "{{bounds.exposureShare}}", "0.1", "{{bounds.exposureSlack}}", "50",
		}
		text := strings.NewReplacer(values...).Replace(string(template))
		if strings.Contains(text, "{{") {
			panic("the case can't run: the template of the settings has an unknown field")
		}
		check(os.WriteFile(m.file, []byte(text), 0o600))
	}
	return f
}

// start starts the process of a machine with the command of the deploy file.
func (f *fleet) start(m *vm) {
	out, err := os.OpenFile(m.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	check(err)
	m.command = exec.Command(f.program, "route")
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "JAYWIND_BOOT=" + m.file}
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if the case itself is killed
	m.command.Stdout, m.command.Stderr = out, out
	check(m.command.Start())
	m.ended = make(chan struct{})
	c, ended := m.command, m.ended
	background.Go(func() {
		_ = c.Wait()
		close(ended)
		_ = out.Close()
	})
}

func (f *fleet) startAll() {
	for _, m := range f.vms {
		f.start(m)
	}
}

func (m *vm) signal(s syscall.Signal) { check(m.command.Process.Signal(s)) }

// isRunning reports whether the process has not ended.
func (m *vm) isRunning() bool {
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// stop ends all processes that were started.
func (f *fleet) stop() {
	for _, m := range f.vms {
		if m.command != nil && m.isRunning() {
			_ = m.command.Process.Signal(syscall.SIGCONT)
			_ = m.command.Process.Kill()
		}
	}
	for _, m := range f.vms {
		if m.command != nil {
			<-m.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// awaitReady waits until all machines are ready.
func (f *fleet) awaitReady(limit time.Duration) {
	end := time.Now().Add(limit)
	for _, m := range f.vms {
		for !isReady(m.ready) {
			if time.Now().After(end) {
				panic("the case can't run: " + m.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
