package quarantine

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

func crashReported(fp, server string, atMs int64) *recordpb.Entry {
	return &recordpb.Entry{AtMs: atMs, Kind: &recordpb.Entry_CrashReported{CrashReported: &recordpb.CrashReported{Fingerprint: []byte(fp), Server: server}}}
}

func quarantineCleared(fp, actor string, atMs int64) *recordpb.Entry {
	return &recordpb.Entry{AtMs: atMs, Kind: &recordpb.Entry_QuarantineCleared{QuarantineCleared: &recordpb.QuarantineCleared{Fingerprint: []byte(fp), Actor: actor}}}
}

// Guards against quarantines because of shared servers, suspicions that remain after
// their incident is explained, and delayed records that undo a release.
func TestTracker(t *testing.T) {
	tracker := New(DefaultConfig())
	var last []*recordpb.QuarantineSet
	datadriven.RunTest(t, "testdata/ledger", func(t *testing.T, d *datadriven.TestData) string {
		var at int64
		var fp, server, actor string
		d.MaybeScanArgs(t, "at", &at)
		d.MaybeScanArgs(t, "fp", &fp)
		d.MaybeScanArgs(t, "server", &server)
		d.MaybeScanArgs(t, "actor", &actor)
		at *= 1000
		switch d.Cmd {
		case "crash":
			tracker.Apply(crashReported(fp, server, at), at)
		case "clear":
			tracker.Apply(quarantineCleared(fp, actor, at), at)
		case "set":
			tracker.Apply(&recordpb.Entry{AtMs: at, Kind: &recordpb.Entry_QuarantineSet{QuarantineSet: last[0]}}, at)
		}
		out := ""
		if sets := tracker.Advance(at); len(sets) > 0 {
			last = sets
			out += fmt.Sprintf("quarantine %s %v until %d s\n", sets[0].Fingerprint, sets[0].Servers, sets[0].UntilMs/1000)
		}
		for _, f := range []string{"f", "g", "h"} {
			out += f + "=" + tracker.Verdict([]byte(f), at).String() + " "
		}
		return out + "\n"
	})
}

// request is a request in the property test.
type request struct {
	fp string
	// crashes is set for a request that crashes every server on which it runs.
	crashes bool
	// blocked is set from a server's death until the request's report is read.
	blocked bool
}

// Guards against a request that crashes every server and takes down more than two, and
// against harmless requests that are quarantined because they shared a server with it.
// Servers die only of such requests; reports arrive in any order within the report window.
// With dispatchBeforeReports set, requests run again before the reports are read; the
// number of deaths is not limited then.
func TestCrashingRequestTakesDownTwoServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(DefaultConfig())
		requests := make([]*request, rapid.IntRange(1, 12).Draw(t, "requests"))
		for i := range requests {
			requests[i] = &request{fp: fmt.Sprint("r", i), crashes: rapid.IntRange(0, 3).Draw(t, "crashes") == 0}
		}
		servers := rapid.IntRange(1, 6).Draw(t, "servers")
		dispatchBeforeReports := rapid.Bool().Draw(t, "dispatch before reports")
		now, deaths, crashing := int64(1000), 0, 0
		type delayedReport struct {
			at      int64
			request *request
			server  int
		}
		var reports []delayedReport
		for _, r := range requests {
			if r.crashes {
				crashing++
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "rounds") {
			// Place the requests, then let the servers with a crashing request die.
			running := make([][]*request, servers)
			alone := make([]bool, servers)
			for _, r := range rapid.Permutation(requests).Draw(t, "order") {
				verdict := tracker.Verdict([]byte(r.fp), now)
				s := rapid.IntRange(0, servers-1).Draw(t, "server")
				switch {
				case r.blocked || verdict >= Held || alone[s]:
				case verdict == Clear:
					running[s] = append(running[s], r)
				case len(running[s]) == 0:
					running[s], alone[s] = append(running[s], r), true
				}
			}
			var next []delayedReport
			for s, rs := range running {
				died := false
				for _, r := range rs {
					died = died || r.crashes
				}
				if died {
					deaths++
				}
				for _, r := range rs {
					if died {
						r.blocked = !dispatchBeforeReports
						next = append(next, delayedReport{now + int64(rapid.IntRange(0, 2900).Draw(t, "delay")), r, s})
					} else if alone[s] {
						tracker.Apply(quarantineCleared(r.fp, ActorRanAlone, now), now)
					}
				}
			}
			if !dispatchBeforeReports {
				reports, next = next, nil
			}
			sort.SliceStable(reports, func(i, j int) bool { return reports[i].at < reports[j].at })
			for _, x := range reports {
				tracker.Apply(crashReported(x.request.fp, fmt.Sprint("s", x.server), x.at), x.at)
				tracker.Advance(x.at)
				x.request.blocked = false
			}
			reports = next
			// A server restarts, which takes longer than the report window.
			now += int64(rapid.IntRange(7000, 60000).Draw(t, "pause"))
			tracker.Advance(now)
			for _, r := range requests {
				if v := tracker.Verdict([]byte(r.fp), now); v == Quarantined && !r.crashes {
					t.Fatalf("harmless request %s is quarantined", r.fp)
				}
			}
			if !dispatchBeforeReports && deaths > 2*crashing {
				t.Fatalf("%d crashing requests took down %d servers, want at most 2 each", crashing, deaths)
			}
		}
	})
}

// Guards against memory use that grows with the number of crashes.
func TestLimits(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxIncidents, cfg.MaxQuarantined = 10, 3
	tracker := New(cfg)
	now := int64(0)
	for i := range 200 {
		for range 2 {
			now += time.Minute.Milliseconds() / 10
			tracker.Apply(crashReported(fmt.Sprint(i), "s", now), now)
		}
		tracker.Advance(now + 4000)
		tracker.Apply(quarantineCleared(fmt.Sprint("x", i), "op", now), now)
	}
	tracker.Advance(now + cfg.SuspectDuration.Milliseconds() + 5000)
	if len(tracker.incidents) != 0 || len(tracker.unexplained) != 0 || len(tracker.entries) > 3 || len(tracker.released) != 0 {
		t.Errorf("%d incidents, %d suspects, %d entries, %d releases are kept, want at most 3 entries and nothing else", len(tracker.incidents), len(tracker.unexplained), len(tracker.entries), len(tracker.released))
	}
	if due := tracker.DueForRestatement(now+5000, 1000); len(due) != len(tracker.entries) {
		t.Errorf("%d of %d quarantines are due for restatement, want all", len(due), len(tracker.entries))
	}
}

// Guards against a request that crashes a server each time its hold of ten minutes ends
// and is never quarantined, because other requests were in flight each time: once the
// others have run to completion, it is quarantined. Also guards against a quarantine of
// the remaining request only because an operator released the others.
func TestRemainingPossibleCause(t *testing.T) {
	for _, actor := range []string{ActorRanAlone, "operator"} {
		tracker := New(DefaultConfig())
		now := int64(1_000_000)
		for n, server := range []string{"a", "b"} {
			tracker.Apply(crashReported("crashing", server, now), now)
			tracker.Apply(crashReported(fmt.Sprintf("other%d", n), server, now), now)
			now += time.Minute.Milliseconds()
		}
		if v := tracker.Verdict([]byte("crashing"), now); len(tracker.Advance(now)) > 0 || v != Held {
			t.Fatalf("before the others ran: %v", v)
		}
		tracker.Apply(quarantineCleared("other0", actor, now), now)
		want := Quarantined
		if actor != ActorRanAlone {
			want = Held
		}
		if tracker.Advance(now); tracker.Verdict([]byte("crashing"), now) != want {
			t.Errorf("after %s cleared the other request: %v, want %v", actor, tracker.Verdict([]byte("crashing"), now), want)
		}
	}
}
