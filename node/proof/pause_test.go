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
	name                    string
	command                 *exec.Cmd
	callers, operator, peer string
}

// launch builds the daemon and starts instances of it against the stand-ins of
// the fleet. They end with the test, and with the test process if that dies.
func launch(t *testing.T, f *development.Fleet, names ...string) []*process {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "jacinthnotchd")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "./cmd/jacinthnotchd")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	started, over, ended := make(chan error), make(chan struct{}), make(chan struct{})
	out := make([]*process, len(names))
	go func() {
		defer close(ended)
		// The death signal goes with the thread that started the process.
		runtime.LockOSThread()
		var err error
		for i, name := range names {
			if out[i], err = run(f, binary, t.TempDir(), name); err != nil {
				break
			}
		}
		started <- err
		<-over
		for _, p := range out {
			if p != nil {
				_ = p.command.Process.Kill() // ends a stopped process too
				_ = p.command.Wait()
			}
		}
	}()
	t.Cleanup(func() { close(over); <-ended })
	if err := <-started; err != nil {
		t.Fatal(err)
	}
	return out
}

func run(f *development.Fleet, binary, dir, name string) (*process, error) {
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
	f.Standins.EnterInstance(name, p.peer, "dc-1", 100, 0)
	return p, nil
}

func (p *process) owned(t *testing.T) []int {
	var o struct {
		Owned []int `json:"owned_partitions"`
	}
	if r, err := try(t.Context(), "GET", p.operator, "/admin/members", ""); err == nil {
		_ = json.Unmarshal([]byte(r.body), &o)
	}
	return o.Owned
}

// Guards against a partition owner that is paused past its replacement and goes
// on writing when it resumes: doubled items, calls that run twice, a lost result.
func TestPausedOwner(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the daemon and waits for the membership's real times")
	}
	t.Parallel()
	o := quick()
	o.DecodeRate = 60
	d, err := development.Start(development.Options{Servers: 6, Engine: o})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	f := &fleet{d, t}
	ps := launch(t, d, "paused-1", "paused-2", "paused-3")
	f.until("the instances", func() bool {
		total := 0
		for _, p := range ps {
			if r, err := try(t.Context(), "GET", p.operator, "/readyz", ""); err != nil || r.status != 200 {
				return false
			}
			total += len(p.owned(t))
		}
		return total == partitions
	})
	bodies := items("paused", 400, 16)
	j := submit(t, ps[0].callers, "paused", bodies)
	partition, _ := ident.JobPartition(j.id)
	owner := slices.IndexFunc(ps, func(p *process) bool { return slices.Contains(p.owned(t), partition) })
	if owner < 0 {
		t.Fatal("no owner")
	}
	victim, other, third := ps[owner], ps[(owner+1)%3], ps[(owner+2)%3]
	var key string
	for n := 0; key == ""; n++ {
		if k := fmt.Sprintf("paused-%d", n); ident.KeyPartition(workspace, k, partitions) == partition {
			key = k
		}
	}
	f.until("some results", func() bool { return j.state(t, other.callers).Counts.Completed > 0 })
	// A confirmation is running through another instance when its owner stops.
	f.plainFaults(plain.Faults{Latency: kit.Duration(300 * time.Millisecond)})
	var wg sync.WaitGroup
	var first reply
	wg.Go(func() { first, _ = book(t.Context(), other.callers, key) })
	f.until("the run of the confirmation", func() bool { return f.actions(key) > 0 })
	if err := victim.command.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	f.until("another owner", func() bool {
		return slices.Contains(other.owned(t), partition) || slices.Contains(third.owned(t), partition)
	})
	replaced := time.Since(began)
	f.plainFaults(plain.Faults{})
	before := j.state(t, other.callers).Counts.Completed
	f.until("results from the new owner", func() bool { return j.state(t, third.callers).Counts.Completed > before })
	if err := victim.command.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	// The resumed process answers callers: no result is doubled, none is lost.
	j.once(t, victim.callers, "paused")
	wg.Wait()
	var again reply
	f.until("the answer to the resend", func() bool {
		again, err = book(t.Context(), victim.callers, key)
		return err == nil && again.outcome() != "not-run" && again.status != 409
	})
	if n := f.actions(key); n != 1 {
		t.Errorf("the confirmation ran %d times: %v, then %v", n, first, again)
	}
	if first.status == 200 && first.recorded() == "true" && again.body != first.body {
		t.Errorf("the recorded answer changed: %v, then %v", first, again)
	}
	f.until("one owner of each partition", func() bool {
		total := 0
		for _, p := range ps {
			total += len(p.owned(t))
		}
		return total == partitions
	})
	t.Logf("replaced after %v; %d late batches of the paused owner on the streams, all void", replaced.Round(time.Millisecond), f.late(victim.name))
}

// late counts the batches of an instance that stand after another's claim and
// carry an epoch from before it.
func (f *fleet) late(instance string) (n int) {
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
