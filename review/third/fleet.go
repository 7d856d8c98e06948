package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// instance is one process of the project, started with the command of the deploy file.
type instance struct {
	name, ip, callers, readiness, settings, dir string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// fleet starts and ends instances.
type fleet struct {
	root, dir string
	list      []*instance
}

// ports are the same on all instances, which differ in their loopback address.
type ports struct{ callers, readiness, first int }

// freePorts picks ports that are free on all the addresses.
func freePorts(ips []string) ports {
	free := func(p int) bool {
		for _, ip := range ips {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				return false
			}
			l.Close()
		}
		return true
	}
	base := 20000 + os.Getpid()%8000
	for ; base < 32000; base += 8 {
		ok := true
		for p := base; p < base+5 && ok; p++ {
			ok = free(p)
		}
		if ok {
			return ports{base, base + 1, base + 2}
		}
	}
	panic(cannotRun("no free ports"))
}

func newFleet(n int, storeAddr string) *fleet {
	root, err := filepath.Abs("../..")
	check(err)
	dir, err := os.MkdirTemp("", "review3-")
	check(err)
	f := &fleet{root: root, dir: dir}
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.0.%d.%d", 40+os.Getpid()%100, 10+i))
	}
	p := freePorts(ips)
	for i, ip := range ips {
		in := &instance{
			name: fmt.Sprintf("front-%c-%d", "abcd"[i%4], i/4+1), ip: ip, callers: fmt.Sprintf("%s:%d", ip, p.callers), readiness: fmt.Sprintf("%s:%d", ip, p.readiness),
			settings: filepath.Join(dir, fmt.Sprintf("settings-%d.toml", i)), dir: root,
		}
		// The template of the deploy file, filled in with the figures of the KME sheet.
		text := fmt.Sprintf(`instance = %q
data_centre = "bp-%c"

[listen]
callers = %q
readiness = %q
ip = %q
first_port = %d

[limits]
memory_mb = 314
cores = 0.8
descriptors = 8200

[store]
address = %q
partitions = 8
record_bytes = 262144
call_bytes = 2097152
retention_s = 300

[drain]
grace_s = 8

[servers]
heartbeat_ms = 1200
`, in.name, "abcd"[i%4], in.callers, in.readiness, ip, p.first, storeAddr)
		check(os.WriteFile(in.settings, []byte(text), 0o600))
		f.list = append(f.list, in)
	}
	return f
}

func (in *instance) start() {
	in.mu.Lock()
	defer in.mu.Unlock()
	log, err := os.OpenFile(in.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	in.cmd = exec.Command(filepath.Join(in.dir, "target/jacinthnotchd"), "serve", "--settings", in.settings)
	in.cmd.Dir, in.cmd.Stdout, in.cmd.Stderr = in.dir, log, log
	in.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(in.cmd.Start())
	done := make(chan struct{})
	in.done = done
	cmd := in.cmd
	go func() { _ = cmd.Wait(); log.Close(); close(done) }()
}

// signal sends a signal to the process that this script started.
func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cmd != nil && in.cmd.Process != nil {
		_ = in.cmd.Process.Signal(s)
	}
}

func (in *instance) running() bool {
	select {
	case <-in.done:
		return false
	default:
		return true
	}
}

// kill ends the process with SIGKILL and waits until it is gone.
func (in *instance) kill() {
	in.signal(syscall.SIGKILL)
	<-in.done
}

func (in *instance) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	r, err := c.Get("http://" + in.readiness + "/readiness")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (in *instance) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if in.ready() {
			return
		}
	}
	panic(cannotRun(in.name + " is not ready"))
}

func (f *fleet) startAll() {
	for _, in := range f.list {
		in.start()
	}
	for _, in := range f.list {
		in.awaitReady(10 * time.Second)
	}
}

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	for _, in := range f.list {
		if in.done == nil {
			continue
		}
		in.signal(syscall.SIGCONT)
		in.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}
