package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/node/development"
	"github.com/jacinthnotch/jacinthnotch/standin/engine"
)

// run executes a command line and returns its exit code and output.
func run(t *testing.T, stdin string, args ...string) (code int, out, errs string) {
	t.Helper()
	var o, e bytes.Buffer
	code = execute(&env{ctx: t.Context(), in: strings.NewReader(stdin), out: &o, err: &e}, args)
	return code, o.String(), e.String()
}

const section = "[capacity.letters]\nowner = \"capacity\"\nservice = \"letters\"\nbatch_slots_per_server = %s\n"

// Guards against commands that do not match the instance's routes, and against wrong exit
// codes and misleading hints.
func TestCommandsAgainstAFleet(t *testing.T) {
	klog.LogToStderr(false)
	klog.SetOutput(&bytes.Buffer{})
	f, err := development.Start(development.Options{Instances: 2, Servers: 2,
		Engine: &engine.Options{PrefillRate: 50000, DecodeRate: 400, OutputTokens: 8}})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	t.Setenv("JNCTL_OPERATOR_ADDRESS", f.Members()[0].OperatorAddress())
	t.Setenv("JNCTL_ADDRESS", f.Members()[1].CallersAddress())

	for _, c := range []struct {
		name, stdin string
		args        []string
		code        int
		want        string
	}{
		{"usage", "", []string{"config", "bogus"}, exitUsage, "jnctl --help"},
		{"show", "", []string{"config", "show", "models.letters-7b"}, 0, "letters-models"},
		{"no such section", "", []string{"config", "show", "models.none"}, exitNotFound, "Check the name"},
		{"edit", fmt.Sprintf(section, "8"), []string{"config", "edit", "-", "--note", "fewer"}, 0, "in force on all 2 members"},
		{"unchanged", fmt.Sprintf(section, "8"), []string{"config", "edit", "-"}, 0, "nothing to change"},
		{"outdated base revision", fmt.Sprintf(section, "9"), []string{"config", "edit", "-", "--base", "1"}, exitRefused, "merge your change"},
		{"invalid", fmt.Sprintf(section, "-9"), []string{"config", "validate", "-"}, exitRefused, "line 4 batch_slots_per_server"},
		{"history", "", []string{"config", "history", "capacity.letters"}, 0, "fewer"},
		{"servers", "", []string{"servers", "--service", "letters"}, 0, "letters-7b"},
		{"members", "", []string{"members"}, 0, "instance-2"},
		{"quarantine", "", []string{"quarantine", "list"}, 0, "FINGERPRINT"},
		{"release", "", []string{"quarantine", "release", "00ff"}, exitNotFound, "neither quarantined"},
		{"no such job", "", []string{"job", "status", "batch_none"}, exitNotFound, ""},
		{"audit", "", []string{"audit", "--since", "yesterday"}, exitUsage, "2h"},
		{"unreachable", "", []string{"members", "--address", "127.0.0.1:1"}, exitUnavailable, "--address"},
	} {
		code, out, errs := run(t, c.stdin, c.args...)
		if code != c.code || !strings.Contains(out+errs, c.want) {
			t.Errorf("%s: exit code %d, want %d with %q\n%s%s", c.name, code, c.code, c.want, out, errs)
		}
	}
	testJob(t)
}

func testJob(t *testing.T) {
	var items strings.Builder
	for i := range 10 {
		fmt.Fprintf(&items, `{"custom_id":"i%d","method":"POST","url":"/v1/chat/completions","body":{"model":"letters-7b","messages":[{"role":"user","content":"item %d"}]}}`+"\n", i, i)
	}
	file := filepath.Join(t.TempDir(), "items.jsonl")
	if err := os.WriteFile(file, []byte(items.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	var ids [2]batch
	for n := range ids {
		code, out, errs := run(t, "", "-o", "json", "job", "submit", file, "--window", "1h")
		if code != 0 || json.Unmarshal([]byte(out), &ids[n]) != nil {
			t.Fatalf("submit: %d\n%s%s", code, out, errs)
		}
	}
	if ids[0].ID != ids[1].ID {
		t.Errorf("submitting the same file again created another job: %s, %s", ids[0].ID, ids[1].ID)
	}
	if code, out, errs := run(t, "", "job", "status", ids[0].ID, "--watch", "--every", "20ms"); code != 0 || !strings.Contains(out, "before the due time") {
		t.Fatalf("status: %d\n%s%s", code, out, errs)
	}
	if code, out, errs := run(t, "", "job", "results", ids[0].ID); code != 0 || strings.Count(out, "custom_id") != 10 {
		t.Errorf("results: %d\n%s%s", code, out, errs)
	}
	if code, out, _ := run(t, "", "job", "list"); code != 0 || !strings.Contains(out, ids[0].ID) {
		t.Errorf("list: %d\n%s", code, out)
	}
}

// Guards against a wrong estimate of a job's end, and against comparing it with a time
// other than the due time.
func TestOutlook(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := batch{Status: "in_progress", CreatedAt: now.Unix() - 100, ExpiresAt: now.Unix() + 100, Counts: counts{Total: 1000, Completed: 90, Failed: 10}}
	if end := b.estimatedEnd(now); !end.Equal(now.Add(900 * time.Second)) {
		t.Errorf("estimated end %v from now, by the average rate", end.Sub(now))
	}
	if text := b.outlook(now); !strings.Contains(text, "13m20s after the due time") {
		t.Error(text)
	}
	b.ItemsPerSecond = 90
	if text := b.outlook(now); !strings.Contains(text, "1m30s before the due time") {
		t.Error(text)
	}
}
