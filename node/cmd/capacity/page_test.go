package main

import (
	"math"
	"strings"
	"testing"
)

// fixedFigures returns figures with round numbers.
func fixedFigures() *Figures {
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

func checkNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-6*math.Abs(want) {
		t.Errorf("%s = %v, want %v", what, got, want)
	}
}

// Guards against a wrong slope, and against a division by zero with one point or none.
func TestFit(t *testing.T) {
	f := leastSquares([]float64{1, 2, 4}, []float64{5, 7, 11})
	checkNear(t, "slope", f.Slope, 2)
	checkNear(t, "base", f.Base, 3)
	checkNear(t, "value", f.At(390), 783)
	checkNear(t, "one point", leastSquares([]float64{4}, []float64{8}).At(10), 20)
	if f := leastSquares(nil, nil); f != (Fit{}) {
		t.Errorf("no points: %v", f)
	}
}

// Guards against errors in the computation of the page from the figures.
func TestArithmetic(t *testing.T) {
	p := newPage(fixedFigures())
	checkNear(t, "items/s", p.D.ItemsPerS, 220e6/86400)
	checkNear(t, "copies", p.D.Copies, 2) // 7.5 days of retention, rewritten every half of 7 days
	checkNear(t, "bytes on the log", p.D.CompressedPerS, 220e6/86400*750*3)
	checkNear(t, "entry", p.D.EntryCPU, 3200.0/390*1e-4+890_000.0/390*1e-4)
	checkNear(t, "memory of items", p.D.ItemMemory, 220e6*7.5/64)
	checkNear(t, "memory of calls", p.D.CallMemory, 3200*0.2*3600*2/64*500)
	checkNear(t, "traffic of control", p.Sum.Bytes, 1000+1500.0/86400*700+2*500/20.0+101_500.0/86400/390*600+2*5000+9000)
	checkNear(t, "time of control", p.Sum.CPU, 0.002+1500.0/86400*1e-3+101_500.0/86400/390*1e-4+2*0.001+0.01)
	checkNear(t, "factor", p.D.BytesFactor, p.Sum.Bytes/2000)
	checkNear(t, "copies of a day's retention", copies(1, 12, 7), 0)
	a, b := p.partitionsAt(64), p.partitionsAt(128)
	checkNear(t, "half the memory with twice the partitions", a.Memory/b.Memory, 2)
	checkNear(t, "twice the appends", b.Appends/a.Appends, 2)
}

// Guards against a template that does not match the data, and against a page that does not
// say that a sum exceeds its budget.
func TestRender(t *testing.T) {
	f := fixedFigures()
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
		t.Error("the page does not say that the run was quick or that the traffic is within the budget")
	}
}
