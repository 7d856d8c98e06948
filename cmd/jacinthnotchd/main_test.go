package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/jacinthnotch/jacinthnotch/node/instance"
)

// Guards against a first signal that interrupts running work, and against a second one
// that does not stop the process.
func TestSignals(t *testing.T) {
	done, signals := make(chan error), make(chan os.Signal, 2)
	var calls []string
	end := func(err error) { go func() { done <- err }() }
	signals <- syscall.SIGTERM
	err := handleSignals(done, signals, func() {
		calls = append(calls, "drain")
		signals <- syscall.SIGTERM
	}, func() {
		calls = append(calls, "kill")
		end(instance.ErrKilled)
	})
	if strings.Join(calls, " ") != "drain kill" || !errors.Is(err, instance.ErrKilled) {
		t.Errorf("calls %v, error %v", calls, err)
	}
	if code := exitCode(err, &bytes.Buffer{}); code != exitDrainCutShort {
		t.Errorf("exit code %d", code)
	}
}

// Guards against settings problems that are not printed, and against usage errors that
// are reported with the exit code of a failure.
func TestCheck(t *testing.T) {
	file := filepath.Join(t.TempDir(), "instance.toml")
	if err := os.WriteFile(file, []byte("instance = \"a b\"\nweigth = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	if code := execute([]string{"check", "--settings", file}, &out, &errs); code != exitUsage ||
		!strings.Contains(errs.String(), "line 1: instance") || !strings.Contains(errs.String(), "line 2: weigth") {
		t.Errorf("exit code %d\n%s", code, errs.String())
	}
	if code := execute([]string{"dev", "--listen", "10.0.0.1:80"}, &out, &errs); code != exitFailure || !strings.Contains(errs.String(), "loopback") {
		t.Errorf("exit code %d\n%s", code, errs.String())
	}
	if code := execute([]string{"bogus"}, &out, &errs); code != exitUsage {
		t.Errorf("exit code %d", code)
	}
	if code := execute([]string{"--help"}, &out, &errs); code != 0 || !strings.Contains(out.String(), "dev --listen") {
		t.Errorf("exit code %d\n%s", code, out.String())
	}
}
