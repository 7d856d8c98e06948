package proof

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/ident"
	"github.com/jacinthnotch/jacinthnotch/domain/record"
	"github.com/jacinthnotch/jacinthnotch/node/development"
	"github.com/jacinthnotch/jacinthnotch/standin/kit"
	"github.com/jacinthnotch/jacinthnotch/standin/plain"
)

// process is a running jacinthnotchd.
type process struct {
	name    string
	command *exec.Cmd
	// callers, operator and peer are the addresses of its listeners.
	callers, operator, peer string
}

// startProcesses builds jacinthnotchd and starts instances that use the stand-ins of
// the fleet. They are killed at the end of the test, or when the test process dies.
func startProcesses(t *testing.T, f *development.Fleet, names ...string) []*process {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "jacinthnotchd")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "./cmd/jacinthnotchd")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	started, stop, ended := make(chan error), make(chan struct{}), make(chan struct{})
	out := make([]*process, len(names))
	go func() {
		defer close(ended)
		// The parent death signal is sent when the thread that started the process ends.
		runtime.LockOSThread()
		var err error
		for i, name := range names {
			if out[i], err = startProcess(f, binary, t.TempDir(), name); err != nil {
				break
			}
		}
		started <- err
		<-stop
		for _, p := range out {
			if p != nil {
				_ = p.command.Process.Kill() // ends a stopped process too
				_ = p.command.Wait()
			}
		}
	}()
	t.Cleanup(func() { close(stop); <-ended })
	if err := <-started; err != nil {
		t.Fatal(err)
	}
	return out
}

func startProcess(f *development.Fleet, binary, dir, name string) (*process, error) {
	text := fmt.Sprintf("instance = %q\ndata_centre = \"dc-1\"\npartitions = %d\n[listen]\ncallers = %q\noperator = %q\npeer = %q\n[platform]\nlog = %q\nlist = %q\nweights = %q\n",
		name, partitions, "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "http://"+f.Standins.Log.Addr(), "http://"+f.Standins.List.Addr(), "http://"+f.Standins.Weights.Addr())
	path := filepath.Join(dir, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p := &process{name: name, command: exec.Command(binary, "run", "--settings", path)}
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdout, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	in := bufio.NewScanner(stdout)
	for p.peer == "" && in.Scan() {
		switch words := strings.Fields(in.Text()); {
		case len(words) != 3:
		case words[1] == "callers":
			p.callers = words[2]
		case words[1] == "operator":
			p.operator = words[2]
		case words[1] == "peer":
			p.peer = words[2]
		}
	}
	f.Standins.AddInstance(name, p.peer, "dc-1", 100, 0)
	return p, nil
}

func (p *process) ownedPartitions(t *testing.T) []int {
	var status struct {
		Owned []int `json:"owned_partitions"`
	}
	if r, err := trySend(t.Context(), "GET", p.operator, "/admin/members", ""); err == nil {
		_ = json.Unmarshal([]byte(r.body), &status)
	}
	return status.Owned
}

// Guards against a partition owner that is paused until it has been replaced and
// continues to write when it resumes: duplicate items, calls that run twice, lost
// results.
func TestPausedOwner(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the daemon and waits for the default timeouts of the membership protocol")
	}
	t.Parallel()
	o := fastEngine()
	o.DecodeRate = 60
	d, err := development.Start(development.Options{Servers: 6, Engine: o})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	f := &fleet{d, t}
	processes := startProcesses(t, d, "paused-1", "paused-2", "paused-3")
	f.waitFor("the instances", func() bool {
		total := 0
		for _, p := range processes {
			if r, err := trySend(t.Context(), "GET", p.operator, "/readyz", ""); err != nil || r.status != 200 {
				return false
			}
			total += len(p.ownedPartitions(t))
		}
		return total == partitions
	})
	bodies := itemBodies("paused", 400, 16)
	j := submit(t, processes[0].callers, "paused", bodies)
	partition, _ := ident.JobPartition(j.id)
	owner := slices.IndexFunc(processes, func(p *process) bool { return slices.Contains(p.ownedPartitions(t), partition) })
	if owner < 0 {
		t.Fatal("no owner")
	}
	paused, other, third := processes[owner], processes[(owner+1)%3], processes[(owner+2)%3]
	var key string
	for n := 0; key == ""; n++ {
		if k := fmt.Sprintf("paused-%d", n); ident.KeyPartition(workspace, k, partitions) == partition {
			key = k
		}
	}
	f.waitFor("some results", func() bool { return j.state(t, other.callers).Counts.Completed > 0 })
	// A confirmation sent through another instance is running when its owner is paused.
	f.setPlainFaults(plain.Faults{Latency: kit.Duration(300 * time.Millisecond)})
	var wg sync.WaitGroup
	var first response
	wg.Go(func() { first, _ = confirmBooking(t.Context(), other.callers, key) })
	f.waitFor("the run of the confirmation", func() bool { return f.actionCount(key) > 0 })
	if err := paused.command.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	f.waitFor("another owner", func() bool {
		return slices.Contains(other.ownedPartitions(t), partition) || slices.Contains(third.ownedPartitions(t), partition)
	})
	replacedAfter := time.Since(began)
	f.setPlainFaults(plain.Faults{})
	before := j.state(t, other.callers).Counts.Completed
	f.waitFor("results from the new owner", func() bool { return j.state(t, third.callers).Counts.Completed > before })
	if err := paused.command.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	// The resumed process serves callers: no result is duplicated, none is lost.
	j.checkExactlyOnce(t, paused.callers, "paused")
	wg.Wait()
	var again response
	f.waitFor("the response to the repeated call", func() bool {
		again, err = confirmBooking(t.Context(), paused.callers, key)
		return err == nil && again.outcome() != "not-run" && again.status != 409
	})
	if n := f.actionCount(key); n != 1 {
		t.Errorf("the confirmation ran %d times: %v, then %v", n, first, again)
	}
	if first.status == 200 && first.recorded() == "true" && again.body != first.body {
		t.Errorf("the recorded response changed: %v, then %v", first, again)
	}
	f.waitFor("one owner of each partition", func() bool {
		total := 0
		for _, p := range processes {
			total += len(p.ownedPartitions(t))
		}
		return total == partitions
	})
	t.Logf("replaced after %v; %d late batches of the paused owner on the streams, all void", replacedAfter.Round(time.Millisecond), f.countLateBatches(paused.name))
}

// countLateBatches returns the number of batches that an instance has appended after
// the claim of another instance, with an epoch from before that claim.
func (f *fleet) countLateBatches(instance string) (n int) {
	for p := range partitions {
		epoch := uint64(0)
		first, payloads := f.Standins.Log.Records(ident.PartitionStream(p))
		for i, payload := range payloads {
			b, err := record.Decode(payload)
			if err != nil {
				continue
			}
			for _, e := range b.Entries {
				if c := e.GetClaim(); c != nil && c.PrevEpoch == epoch {
					epoch = uint64(first) + uint64(i) + 1
				}
			}
			if b.Instance == instance && b.Epoch != 0 && b.Epoch < epoch {
				n++
			}
		}
	}
	return n
}
