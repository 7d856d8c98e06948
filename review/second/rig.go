// Command rig plays the script cases of the second review: it starts instances of the project
// with the command of the deploy file, a store, servers and clients on loopback addresses, and
// judges what the clients and the servers have seen.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

var (
	started  = time.Now()
	cleanups []func()
	program  string // the binary of the project
)

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	quit(unable)
}

func quit(code int) {
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	os.Exit(code)
}

// recorder writes what was sent, answered and run.
type recorder struct {
	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
	// runs and arrivals hold the times at servers by request.
	events []serverEvent
}

type serverEvent struct {
	at               time.Time
	what, server, id string
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	r := &recorder{file: f, out: bufio.NewWriter(f)}
	cleanups = append(cleanups, func() { r.mu.Lock(); r.out.Flush(); f.Close(); r.mu.Unlock() })
	return r
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
}

// say writes to the record and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf("%8.3f  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) server(what, server, id string) {
	r.mu.Lock()
	r.events = append(r.events, serverEvent{time.Now(), what, server, id})
	r.mu.Unlock()
	r.line("server %s %s %s", server, what, id)
}

func (r *recorder) seen() []serverEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]serverEvent(nil), r.events...)
}

// instance is a process of the project.
type instance struct {
	name, zone, settings, front, ready string
	cmd                                *exec.Cmd
	exited                             chan struct{}
	log                                *os.File
}

// Ports of instances are below those that the system gives to outgoing connections.
const (
	firstPort = 10000
	ports     = 20000
)

var usedPorts = map[int]bool{}

// freePort returns a port that is free for TCP and UDP on an address.
func freePort(ip string) int {
	for range 500 {
		port := firstPort + rand.IntN(ports)
		if usedPorts[port] {
			continue
		}
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", ip, port))
		l.Close()
		if err == nil {
			u.Close()
			usedPorts[port] = true
			return port
		}
	}
	cannotRun("no free port")
	return 0
}

// deployment is what a case plays with.
type deployment struct {
	dir       string
	store     *store
	rec       *recorder
	instances []*instance
	memoryMB  int
	retention int
}

// newDeployment returns a deployment with a temporary folder that is removed at the end.
func newDeployment(recordPath string, limit int64) *deployment {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		cannotRun("%v", err)
	}
	d := &deployment{dir: dir, store: newStore(limit), rec: newRecorder(recordPath), memoryMB: 314, retention: 300}
	if os.Getenv("KEEP") == "" {
		cleanups = append(cleanups, func() { os.RemoveAll(dir) })
	} else {
		fmt.Println("kept:", dir)
	}
	return d
}

// addInstance prepares an instance with settings as deploy/settings.toml.tmpl renders them.
func (d *deployment) addInstance(zone string) *instance {
	i := &instance{name: fmt.Sprintf("front-%s-%d", zone, len(d.instances)+1), zone: zone}
	d.writeSettings(i)
	d.instances = append(d.instances, i)
	return i
}

// writeSettings writes the settings of an instance, with ports that are free.
func (d *deployment) writeSettings(i *instance) {
	ip := "127.0.0.1"
	i.front, i.ready = fmt.Sprintf("%s:%d", ip, freePort(ip)), fmt.Sprintf("%s:%d", ip, freePort(ip))
	i.settings = filepath.Join(d.dir, i.name+".conf")
	text := fmt.Sprintf(`instance = %q
data_centre = %q

[listen]
callers = %q
readiness = %q
ip = %q
first_port = %d

[limits]
memory_mb = %d
cores = 0.8
descriptors = 8200

[store]
address = %q
partitions = 8
record_bytes = 262144
call_bytes = 2097152
retention_s = %d

[drain]
grace_s = 8
`, i.name, i.zone, i.front, i.ready, ip, freePort(ip), d.memoryMB, d.store.address, d.retention)
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		cannotRun("%v", err)
	}
}

// start starts the process with the command of deploy/system.toml.
func (d *deployment) start(i *instance) {
	log, err := os.OpenFile(filepath.Join(d.dir, i.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	i.cmd = exec.Command(program, "serve", "--settings", i.settings)
	i.cmd.Stdout, i.cmd.Stderr = log, log
	i.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JACINTHNOTCH_BOOT=" + i.settings}
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.cmd.Start(); err != nil {
		cannotRun("%v", err)
	}
	exited, cmd := make(chan struct{}), i.cmd
	i.exited = exited
	go func() { cmd.Wait(); log.Close(); close(exited) }()
	cleanups = append(cleanups, func() { cmd.Process.Kill(); <-exited })
	d.rec.line("instance %s started, process %d", i.name, cmd.Process.Pid)
}

// awaitReady waits until an instance says that it is ready.
func (d *deployment) awaitReady(i *instance, timeout time.Duration) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-i.exited:
			// Another program has taken one of its ports.
			d.rec.line("instance %s ended, it gets other ports", i.name)
			d.writeSettings(i)
			d.start(i)
		default:
		}
		if response, err := http.Get("http://" + i.ready + "/readiness"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				d.rec.line("instance %s is ready", i.name)
				return
			}
		}
	}
	cannotRun("instance %s does not become ready", i.name)
}

// answer is what a client got. The status is zero if there was no complete answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// send sends one request on a new connection.
func (d *deployment) send(i *instance, method, host, target, id string, header map[string]string, body []byte, timeout time.Duration) answer {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	r, err := http.NewRequest(method, "http://"+i.front+target, bytes.NewReader(body))
	if err != nil {
		cannotRun("%v", err)
	}
	r.Host = host
	if id != "" {
		r.Header.Set("X-Request-Id", id)
	}
	for k, v := range header {
		r.Header.Set(k, v)
	}
	response, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{response.StatusCode, response.Header, raw, nil}
}
