package serve

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"
)

const sample = `
instance = "front-1"
data_centre = "bp-a"
future_key = true
[listen]
callers = "10.1.0.35:8144"
readiness = "10.1.0.35:8140"
ip = "10.1.0.35"
first_port = 7660
[limits]
memory_mb = 314
cores = 0.8
descriptors = 8200
[store]
address = "10.200.1.7:8142"
partitions = 8
record_bytes = 262144
call_bytes = 2097152
retention_s = 300
[drain]
grace_s = 8
`

// Guards against an instance starting with missing settings, and against unknown keys of
// a later platform version preventing its start.
func TestParse(t *testing.T) {
	s, err := Parse([]byte(sample))
	if err != nil || s.Instance != "front-1" || s.Listen.FirstPort != 7660 || s.GracePeriod() != 8*time.Second || s.Limits.Cores != 0.8 {
		t.Fatalf("%+v %v", s, err)
	}
	for _, line := range strings.Split(strings.TrimSpace(sample), "\n") {
		key, _, isKey := strings.Cut(line, " = ")
		switch key {
		case "future_key", "cores", "descriptors", "retention_s":
			continue
		}
		if !isKey {
			continue
		}
		_, err := Parse([]byte(strings.Replace(sample, line+"\n", "", 1)))
		var problem Problem
		if !errors.As(err, &problem) || !strings.HasSuffix(problem.Key, key) {
			t.Errorf("without %s: %v", key, err)
		}
	}
	if _, err := Parse([]byte("instance = [")); err == nil || !strings.Contains(err.Error(), "line 1") {
		t.Errorf("malformed file: got error %v, want one with the line number", err)
	}
	if _, err := Parse([]byte(strings.Replace(sample, "10.200.1.7:8142", "store:8142", 1))); err == nil {
		t.Error("host name accepted as IP address")
	}
}

// Guards against the template in the deploy folder lacking a key that the settings need.
func TestTemplateNamesEveryNeededKey(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/settings.toml.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(sample, "\n") {
		if key, _, ok := strings.Cut(line, " = "); ok && key != "future_key" && !strings.Contains(string(raw), "\n"+key+" = ") {
			t.Errorf("the template does not set %s", key)
		}
	}
}

// FuzzParse guards against a panic on malformed settings, and against settings that pass the
// checks without the fields that an instance needs.
func FuzzParse(f *testing.F) {
	f.Add([]byte("instance = \"a\"\ndata_centre = \"b\"\n[listen]\ncallers = \"1.2.3.4:5\"\n"))
	f.Add([]byte("[limits]\nmemory_mb = -1\n[drain]\ngrace_s = 1e300\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Parse(raw)
		if err == nil && (s.Instance == "" || s.Store.Address == "" || s.Limits.MemoryMB <= 0 || s.Drain.GraceS <= 0) {
			t.Errorf("accepted %+v", s)
		}
	})
}

// Guards against connections through other instances that cannot be switched off, or are off unless asked for.
func TestSwitchOfTheRelay(t *testing.T) {
	for setting, want := range map[string]bool{"": true, "[servers]\nrelay = true\n": true, "[servers]\nrelay = false\n": false} {
		s, err := Parse([]byte(sample + setting))
		if err != nil || s.Servers.Relays() != want {
			t.Errorf("%q: relay %v, error %v", setting, s.Servers.Relays(), err)
		}
	}
}

// Guards against tunnels of other instances that take the descriptors of a small host.
func TestTunnelsOfASmallHost(t *testing.T) {
	if n := maxTunnels(Limits{MemoryMB: 144, Descriptors: 3075}); n < minConns || n > 150 {
		t.Errorf("%d tunnels", n)
	}
}
