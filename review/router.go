package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// router is a process of the program under test.
type router struct {
	name, ip                string
	front, ready, directory string
	settings                string
	log                     *os.File
	cmd                     *exec.Cmd
	exited                  chan struct{}
}

func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

var placeholder = regexp.MustCompile(`\{\{([^}]+)\}\}`)

// deployFile returns the command and the template of the router's role in the deploy file.
func deployFile(root string) (command []string, template string, err error) {
	b, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, "", err
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		name, value, _ := strings.Cut(line, "=")
		value = strings.Trim(strings.TrimSpace(value), `"`)
		switch strings.TrimSpace(name) {
		case "run":
			command = strings.Fields(value)
		case "template":
			template = value
		}
	}
	if len(command) == 0 || template == "" {
		return nil, "", fmt.Errorf("deploy/system.toml names no command or no template")
	}
	return command, template, nil
}

// newRouters prepares a router for each address of the store, with settings like those of the site, on loopback addresses of their own.
func newRouters(root, dir string, stores, zones []string) ([]*router, error) {
	count := len(stores)
	_, template, err := deployFile(root)
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(filepath.Join(root, template))
	if err != nil {
		return nil, err
	}
	var all []*router
	controls := []string{}
	for i := range count {
		r := &router{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i/len(zones)+1)}
		for host := 1 + i; ; host += count { // the metrics port is fixed, so each router needs an address where it is free
			if host > 250 {
				return nil, fmt.Errorf("no loopback address has port 9464 free")
			}
			r.ip = fmt.Sprintf("127.0.%d.%d", 1+os.Getpid()%250, host)
			if l, err := net.Listen("tcp", r.ip+":9464"); err == nil {
				_ = l.Close()
				break
			}
		}
		control := ""
		for _, at := range []*string{&r.front, &r.ready, &r.directory, &control} {
			if *at, err = freePort(r.ip); err != nil {
				return nil, err
			}
		}
		controls = append(controls, control)
		all = append(all, r)
	}
	for i, r := range all {
		values := map[string]string{
			"nodeName": r.name, "zone": zones[i%len(zones)], "region": "ng-south", "ip": r.ip,
			"listen.front": r.front, "listen.ready": r.ready, "listen.directory": r.directory, "listen.control": controls[i],
			"platform.address": stores[i], "limits.memoryMb": "284", "limits.linkMbps": "1000.0", "seeds": strings.Join(controls[:min(3, count)], ","),
			"bounds.graceS": "8", "bounds.retryBudgetRatio": "0.8", "bounds.retryBudgetSlack": "150", "bounds.budgetWindowS": "10",
			"bounds.exposureShare": "0.1", "bounds.exposureSlack": "50",
		}
		missing := ""
		out := placeholder.ReplaceAllStringFunc(string(text), func(p string) string {
			v, found := values[strings.Trim(p, "{}")]
			if !found {
				missing = p
			}
			return v
		})
		if missing != "" {
			return nil, fmt.Errorf("the template has an unknown placeholder %s", missing)
		}
		r.settings = filepath.Join(dir, r.name+".toml")
		if err := os.WriteFile(r.settings, []byte(out), 0o600); err != nil {
			return nil, err
		}
		if r.log, err = os.Create(filepath.Join(dir, r.name+".log")); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// start starts the process.
func (r *router) start(root string) error {
	command, _, err := deployFile(root)
	if err != nil {
		return err
	}
	r.cmd = exec.Command(filepath.Join(root, command[0]), command[1:]...)
	r.cmd.Dir = root
	r.cmd.Env = []string{"JAYWIND_BOOT=" + r.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	r.cmd.Stdout, r.cmd.Stderr = r.log, r.log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return err
	}
	exited, cmd := make(chan struct{}), r.cmd
	r.exited = exited
	background.Go(func() { _ = cmd.Wait(); close(exited) })
	return nil
}

// stop ends the process if it runs.
func (r *router) stop() {
	if r.cmd == nil || r.cmd.Process == nil {
		return
	}
	_ = r.cmd.Process.Kill()
	<-r.exited
}

// awaitReady waits until the readiness check succeeds.
func (r *router) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + r.ready + "/api/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready after %v", r.name, limit)
}
