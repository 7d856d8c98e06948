// Package mixed_test runs instances of this build and of the one before side by side, as processes of their own before
// stand-ins of the store and of backend servers, while they are replaced, killed and started again.
package mixed_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/platform"
	"github.com/jacinthnotch/jacinthnotch/standin/store"
)

const (
	// commitBefore is the commit of the build before.
	commitBefore = "72b3eb5"
	// waitTimeout limits how long a test waits for an expected condition.
	waitTimeout = 30 * time.Second
	// graceTime is the time that an instance has to end after SIGTERM.
	graceTime = 8 * time.Second
)

// builds holds the program of the build before and of this one.
var builds struct{ before, current string }

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the programs and runs the tests.
func run(m *testing.M) int {
	directory, err := os.MkdirTemp("", "mixed")
	if err == nil {
		defer os.RemoveAll(directory)
		err = build(directory)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// build builds both programs. A repository without the history of the build before has this build on both sides.
func build(directory string) error {
	builds.current = filepath.Join(directory, "current")
	if out, err := exec.Command("go", "build", "-o", builds.current, "..").CombinedOutput(); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	builds.before = builds.current
	if exec.Command("git", "cat-file", "-e", commitBefore+"^{commit}").Run() != nil {
		fmt.Fprintln(os.Stderr, "no history: instances of this build take the place of those of the build before")
		return nil
	}
	builds.before = filepath.Join(directory, "before")
	source := filepath.Join(directory, "source")
	script := `mkdir "$1" && git -C "$(git rev-parse --show-toplevel)" archive "$2" | tar -x -C "$1" && cd "$1" && go build -o "$3" ./cmd/jacinthnotchd`
	if out, err := exec.Command("sh", "-c", script, "sh", source, commitBefore, builds.before).CombinedOutput(); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}

// instance is an instance, whose processes follow each other.
type instance struct {
	name, settings, log, callers, readiness string
	mu                                      sync.Mutex
	command                                 *exec.Cmd
	ended                                   chan struct{}
	// draining is set from SIGTERM on, and killedAt is the time of the last SIGKILL.
	draining bool
	killedAt time.Time
}

// newInstances returns instances that are not started. Their ports are the same, and their loopback addresses differ.
func newInstances(t *testing.T, n int, s *store.Store) []*instance {
	t.Helper()
	directory := t.TempDir()
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, os.Getpid()/200%250, 10+i))
	}
	first := freePorts(t, ips)
	var list []*instance
	for i, ip := range ips {
		in := &instance{
			name: fmt.Sprint("n", i), settings: filepath.Join(directory, fmt.Sprintf("%d.toml", i)), log: filepath.Join(directory, fmt.Sprintf("%d.log", i)),
			callers: fmt.Sprintf("%s:%d", ip, first), readiness: fmt.Sprintf("%s:%d", ip, first+1),
		}
		text := fmt.Sprintf(`instance = %q
data_centre = "dc%d"
[listen]
callers = %q
readiness = %q
ip = %q
first_port = %d
[limits]
memory_mb = 256
cores = 1.0
[store]
address = %q
partitions = 4
record_bytes = 65536
call_bytes = 1048576
retention_s = 3600
[drain]
grace_s = %.1f
`, in.name, i%2, in.callers, in.readiness, ip, first+2, s.Address(), graceTime.Seconds())
		if err := os.WriteFile(in.settings, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(in.kill)
		list = append(list, in)
	}
	return list
}

// freePorts returns the first of five ports that are free on all the addresses.
func freePorts(t *testing.T, ips []string) int {
	t.Helper()
	free := func(first int) bool {
		for _, ip := range ips {
			for port := first; port < first+5; port++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
				if err != nil {
					return false
				}
				_ = l.Close()
			}
		}
		return true
	}
	for first := 14000; first < 30000; first += 8 {
		if free(first) {
			return first
		}
	}
	t.Fatal("no free ports")
	return 0
}

// start starts a process of the instance.
func (in *instance) start(t *testing.T, program string) {
	t.Helper()
	log, err := os.OpenFile(in.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	command := exec.Command(program, "serve", "--settings", in.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { defer close(ended); _ = command.Wait() }()
	in.mu.Lock()
	defer in.mu.Unlock()
	in.command, in.ended, in.draining = command, ended, false
}

// kill ends the process with SIGKILL.
func (in *instance) kill() {
	in.mu.Lock()
	command, ended := in.command, in.ended
	in.killedAt = time.Now()
	in.mu.Unlock()
	if command != nil {
		_ = command.Process.Kill()
		<-ended
	}
}

// pause stops the process for a while, after which it is killed.
func (in *instance) pause(d time.Duration) {
	in.mu.Lock()
	command := in.command
	in.killedAt = time.Now().Add(d)
	in.mu.Unlock()
	_ = command.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
}

// terminate drains the process, and reports whether it ends in time.
func (in *instance) terminate() bool {
	in.mu.Lock()
	command, ended := in.command, in.ended
	in.draining = true
	in.mu.Unlock()
	_ = command.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
		return true
	case <-time.After(graceTime + 2*time.Second):
		in.kill()
		return false
	}
}

// wasKilledSince reports whether the process got SIGKILL since a time.
func (in *instance) wasKilledSince(since time.Time) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.killedAt.After(since)
}

// ready reports whether the instance takes requests.
func (in *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + in.readiness + platform.ReadinessPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (in *instance) awaitReady(t *testing.T) {
	t.Helper()
	waitFor(t, in.name+" is not ready", in.ready)
}

func waitFor(t *testing.T, failure string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatal(failure)
}
