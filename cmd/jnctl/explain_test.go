package main

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
)

const sampleLog = `I1204 08:00:00.000000   1 serve.go:160] "start" instance="a"
I1204 08:00:09.000000   1 follow.go:54] "dependency lost" dependency="store" feed="servers"
I1204 08:00:10.000000   1 call.go:228] "attempt failed" id="r-1" server="s-1" outcome="may have run"
I1204 08:00:10.100000   1 call.go:228] "attempt failed" id="r-2" server="s-1" outcome="may have run"
I1204 08:00:10.200000   1 call.go:299] "request" id="r-1" route="x" outcome="refused: no attempt is left" status=502
I1204 08:00:30.000000   1 view.go:76] "configuration in force" version=9
`

// Guards against output that lacks the state changes around a failed request, and against
// output with lines of other requests or state changes from other times.
func TestExplain(t *testing.T) {
	var out, errs bytes.Buffer
	e := &env{ctx: context.Background(), in: strings.NewReader(sampleLog), out: &out, err: &errs}
	if code := execute(e, []string{"explain", "r-1"}); code != 0 {
		t.Fatalf("exit %d: %s", code, errs.String())
	}
	got := out.String()
	for _, want := range []string{"dependency lost", "may have run", "status=502"} {
		if !strings.Contains(got, want) {
			t.Errorf("%q is missing in\n%s", want, got)
		}
	}
	for _, other := range []string{"r-2", `"start"`, "version=9"} {
		if strings.Contains(got, other) {
			t.Errorf("unexpected %q in\n%s", other, got)
		}
	}
	e.in = strings.NewReader(sampleLog)
	if code := execute(e, []string{"explain", "r-9"}); code != exitNotFound {
		t.Errorf("exit %d for an id that no line mentions", code)
	}
}

// FuzzExplain guards against a panic on log lines that are malformed or cut off.
func FuzzExplain(f *testing.F) {
	f.Add([]byte("I1204 15:44:44.429030 7 hub.go:84] \"request\" id=\"abc\" status=200\n"), "abc")
	f.Add([]byte("I9999 99:99:99.999999 \"start\"\nI12"), "")
	f.Fuzz(func(_ *testing.T, raw []byte, id string) {
		_, _ = explain(io.Discard, "log", bytes.NewReader(raw), id)
	})
}
