package main

import (
	"syscall"
	"testing"
	"time"

	"github.com/alecthomas/kong"
)

// Guards against stand-in flags that kong rejects only at run time, and against default
// values that do not reach the options.
func TestStandinFlags(t *testing.T) {
	var c cli
	k, err := kong.New(&c)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"log", "list", "weights", "plain", "engine"} {
		if _, err := k.Parse([]string{"standin", name, "--listen", "127.0.0.1:0"}); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
	if _, err := k.Parse([]string{"standin", "engine", "--no-check-fence", "--fault-event-delay", "3s"}); err != nil {
		t.Fatal(err)
	}
	if e := c.Standin.Engine; e.CheckFence || e.Slots != 16 || e.Faults.EventDelay.Std() != 3*time.Second {
		t.Fatalf("options %+v, faults %+v", e.Options, e.Faults)
	}
}

type fakeStandin struct {
	killed bool
}

func (f *fakeStandin) Start(string) error { return syscall.Kill(syscall.Getpid(), syscall.SIGTERM) }
func (f *fakeStandin) Addr() string       { return "127.0.0.1:1" }
func (f *fakeStandin) Kill()              { f.killed = true }

// Guards against a stand-in that ignores SIGTERM, or that SIGTERM terminates before Kill has
// closed its connections.
func TestStandinEndsOnSIGTERM(t *testing.T) {
	f := &fakeStandin{}
	if err := (standinFlags{}).run("fake", f); err != nil || !f.killed {
		t.Fatalf("killed %v, error %v", f.killed, err)
	}
}
