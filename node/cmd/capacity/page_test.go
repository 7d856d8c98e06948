package main

import (
	"math"
	"strings"
	"testing"
)

// fixed are figures with round numbers.
func fixed() *Figures {
	return &Figures{
		Members:     []MemberRow{{Members: 390, Bytes: 1000, CPU: 0.001, Memory: 1e6, Notice: 2, Slowest: 4, Head: 3}},
		Control:     []ControlRow{{Instances: 48, CPU: 0.002}},
		Listing:     []ListingRow{{Instances: 390, Servers: 740, Bytes: 5000, CPU: 0.001}},
		Loads:       []LoadRow{{Servers: 740, Used: 45, Bytes: 9000, CPU: 0.01, Memory: 2e6}},
		Routes:      []RouteRow{{Servers: 10, Cycle: 1e-6}, {Servers: 740, Cycle: 8.3e-6}},
		Entry:       []EntryRow{{Stream: true, Tokens: 10, CPU: 0.0011}, {Stream: true, Tokens: 110, CPU: 0.0111}},
		StreamBytes: 1e5,
		Items:       []ItemRow{{Items: 1000, CPU: 2e-5, Appends: 0.004, LogBytes: 1000, Folded: 250, UploadCPU: 1e-5, UploadAppends: 0.002, UploadBytes: 1000, UploadFolded: 500}},
		States: []StateRow{{Items: 1000, LogBytes: 1e6, Replay: 0.01, Memory: 1000, SnapBytes: 100, SnapRecords: 3},
			{Items: 101_000, LogBytes: 1e8, Replay: 1, Memory: 101_000, SnapBytes: 10_100, SnapRecords: 3}},
		CallBytes: 500, CallSnapBytes: 50,
		Director:  []DirectorRow{{Tokens: 10, CPU: 1e-3, Pulls: 0.1, Pushes: 0.05}, {Tokens: 20, CPU: 2e-3, Pulls: 0.1, Pushes: 0.05}},
		Plans:     []PlanRow{{Servers: 740, Plan: 1e-4}},
		Documents: []DocumentRow{{Workspaces: 560, Apply: 1e-3, Mem: 1e6, EditBytes: 200}},
		Audit:     []AuditRow{{Entries: 1, Bytes: 100, Appends: 1, CPU: 1e-4}},
	}
}

func near(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-6*math.Abs(want) {
		t.Errorf("%s = %v, want %v", what, got, want)
	}
}

// Guards against a slope that is drawn through the wrong points, and against a
// division by zero with one point or none.
func TestFit(t *testing.T) {
	f := fit([]float64{1, 2, 4}, []float64{5, 7, 11})
	near(t, "slope", f.Slope, 2)
	near(t, "base", f.Base, 3)
	near(t, "value", f.At(390), 783)
	near(t, "one point", fit([]float64{4}, []float64{8}).At(10), 20)
	if f := fit(nil, nil); f != (Fit{}) {
		t.Errorf("no points: %v", f)
	}
}

// Guards against a page whose results do not follow from its figures.
func TestArithmetic(t *testing.T) {
	p := work(fixed())
	near(t, "items/s", p.D.ItemsPerS, 220e6/86400)
	near(t, "copies", p.D.Copies, 2) // 7.5 days in halves of 7 days
	near(t, "bytes on the log", p.D.CompressedPerS, 220e6/86400*750*3)
	near(t, "entry", p.D.EntryCPU, 3200.0/390*1e-4+890_000.0/390*1e-4)
	near(t, "memory of items", p.D.ItemMemory, 220e6*7.5/64)
	near(t, "memory of calls", p.D.CallMemory, 3200*0.2*3600*2/64*500)
	near(t, "traffic of control", p.Sum.Bytes, 1000+1500.0/86400*700+2*500/20.0+101_500.0/86400/390*600+2*5000+9000)
	near(t, "time of control", p.Sum.CPU, 0.002+1500.0/86400*1e-3+101_500.0/86400/390*1e-4+2*0.001+0.01)
	near(t, "factor", p.D.BytesFactor, p.Sum.Bytes/2000)
	near(t, "copies of a day's retention", copies(1, 12, 7), 0)
	a, b := p.partitionsAt(64), p.partitionsAt(128)
	near(t, "half the memory with twice the partitions", a.Memory/b.Memory, 2)
	near(t, "twice the appends", b.Appends/a.Appends, 2)
}

// Guards against a template that does not fit the figures, and against a page
// that hides that a sum is over its budget.
func TestRender(t *testing.T) {
	f := fixed()
	page, err := render(f)
	if err != nil {
		t.Fatal(err)
	}
	text := string(page)
	for _, want := range []string{"over the budget by a factor of 10.0", "| **sum** |", "## 6. Two regions", "a trial"} {
		if got := strings.Contains(text, want); got != (want != "a trial") {
			t.Errorf("page contains %q: %v", want, got)
		}
	}
	for _, bad := range []string{"NaN", "Inf", "<no value>", "%!"} {
		if strings.Contains(text, bad) {
			t.Errorf("page contains %q", bad)
		}
	}
	f.Quick = true
	f.Listing, f.Loads = nil, nil
	if page, err = render(f); err != nil {
		t.Fatal(err)
	}
	if text = string(page); !strings.Contains(text, "a trial") || !strings.Contains(text, "The traffic is within the budget") {
		t.Error("a quick run within the budget is not shown as such")
	}
}
