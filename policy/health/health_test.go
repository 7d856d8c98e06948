package health

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var startTime = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// Guards against ejecting more than the allowed share of the fleet, whatever the
// samples, and against weights outside their range.
func TestEjectionCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "servers")
		tr := NewTracker(0)
		for i := range n {
			tr.Add(fmt.Sprint(i))
		}
		now := startTime
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(100 * time.Millisecond)
			id := fmt.Sprint(rapid.IntRange(0, n-1).Draw(t, "server"))
			v := Sample{OK: rapid.Bool().Draw(t, "ok"), LatencyRatio: 1, Dead: rapid.Bool().Draw(t, "dead")}
			out := tr.Evaluate(now, tr.Observe(now, id, v, nil))
			for _, a := range out {
				if a.Weight < 0 || a.Weight > 1 {
					t.Fatalf("%+v", a)
				}
			}
			if e := tr.Ejected(); e > max(1, int(DefaultMaxEjectedShare*float64(n))) || n == 1 && e > 0 {
				t.Fatalf("%d of %d ejected", e, n)
			}
		}
	})
}

// Guards against a slow server that keeps its weight, and against one that does
// not regain it in steps after it has recovered.
func TestSlowServerLosesWeightAndReturns(t *testing.T) {
	tr := NewTracker(0)
	for i := range 5 {
		tr.Add(fmt.Sprint(i))
	}
	now := startTime
	round := func(slow float64) {
		for i := range 5 {
			v := Sample{OK: true, LatencyRatio: 1}
			if i == 0 {
				v.LatencyRatio = slow
			}
			for range 10 {
				tr.Observe(now, fmt.Sprint(i), v, nil)
			}
		}
		now = now.Add(EvaluateInterval)
		tr.Evaluate(now, nil)
	}
	var before []float64
	for range 10 {
		round(5)
		before = append(before, tr.Weight("0"))
	}
	if before[1] < 0.3 || before[9] > 0.1 || before[9] == 0 || tr.Weight("1") != 1 {
		t.Fatalf("weights while slow %v", before)
	}
	last := before[9]
	for range 10 {
		round(1)
		if w := tr.Weight("0"); w > last && w > 2.5*last {
			t.Fatalf("weight rises from %v to %v in one step", last, w)
		}
		last = tr.Weight("0")
	}
	if last != 1 {
		t.Fatalf("weight %v after recovery", last)
	}
}

// Guards against sending requests to a dead server again without a successful
// probe.
func TestDeadServerReadmittedAfterProbes(t *testing.T) {
	tr := NewTracker(0)
	for i := range 4 {
		tr.Add(fmt.Sprint(i))
	}
	now := startTime
	tr.Observe(now, "0", Sample{Dead: true}, nil)
	ok := false
	var recoveredAt time.Time
	for s := range 20 {
		now = now.Add(EvaluateInterval)
		ok = s >= 5
		for _, a := range tr.Evaluate(now, nil) {
			if a.Kind == ActionProbe {
				tr.Observe(now, a.Server, Sample{Probe: true, OK: ok}, nil)
			}
		}
		if w := tr.Weight("0"); !ok && w > 0 {
			t.Fatalf("weight %v without a successful probe", w)
		}
		if recoveredAt.IsZero() && tr.Weight("0") == 1 {
			recoveredAt = now
		}
	}
	if d := recoveredAt.Sub(startTime); recoveredAt.IsZero() || d < 8*time.Second || d > 15*time.Second {
		t.Fatalf("full weight %v after the server died, want 8s to 15s", d)
	}
}

// Guards against failing over from a slow server at the first gap timeout, and
// against waiting on a broken connection for ever.
func TestStallDetectorTellsPathFromServer(t *testing.T) {
	var s StallDetector
	s.GapTimedOut()
	if a := s.Probed(ProbeOK, true); a != KeepWaiting {
		t.Fatalf("action %v after the first gap timeout of a slow server", a)
	}
	s.GapTimedOut()
	if a := s.Probed(ProbeOK, true); a != Reconnect {
		t.Fatalf("action %v after the second gap timeout", a)
	}
	for _, r := range []ProbeResult{ProbeRefused, ProbeTimedOut} {
		if a := s.Probed(r, false); a != FailOver {
			t.Fatalf("action %v after probe result %v", a, r)
		}
	}
}
