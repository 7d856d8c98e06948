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

func crash(fp, server string, atMs int64) *recordpb.Entry {
	return &recordpb.Entry{AtMs: atMs, Kind: &recordpb.Entry_CrashReported{CrashReported: &recordpb.CrashReported{Fingerprint: []byte(fp), Server: server}}}
}

func cleared(fp, actor string, atMs int64) *recordpb.Entry {
	return &recordpb.Entry{AtMs: atMs, Kind: &recordpb.Entry_QuarantineCleared{QuarantineCleared: &recordpb.QuarantineCleared{Fingerprint: []byte(fp), Actor: actor}}}
}

// Guards against quarantines on shared incidents, suspicions that outlive their
// explanation, and releases that a late record undoes.
func TestLedger(t *testing.T) {
	l := New(DefaultConfig())
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
			l.Apply(crash(fp, server, at), at)
		case "clear":
			l.Apply(cleared(fp, actor, at), at)
		case "set":
			l.Apply(&recordpb.Entry{AtMs: at, Kind: &recordpb.Entry_QuarantineSet{QuarantineSet: last[0]}}, at)
		}
		out := ""
		if sets := l.Advance(at); len(sets) > 0 {
			last = sets
			out += fmt.Sprintf("quarantine %s %v until %d s\n", sets[0].Fingerprint, sets[0].Servers, sets[0].UntilMs/1000)
		}
		for _, f := range []string{"f", "g", "h"} {
			out += f + "=" + l.Verdict([]byte(f), at).String() + " "
		}
		return out + "\n"
	})
}

// request is one caller's request in the property test.
type request struct {
	fp      string
	culprit bool
	// blocked is set from a server's death until the request's report is read.
	blocked bool
}

// Guards against the failure that the package is there for: a request that
// crashes every server taking down more than two, and harmless requests that are
// quarantined because they shared a server. Servers die of culprits only; reports
// arrive in any order within the settling time. With window set, requests run
// again before the reports are read; then only the second half is claimed.
func TestCulpritsTakeDownTwoServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(DefaultConfig())
		requests := make([]*request, rapid.IntRange(1, 12).Draw(t, "requests"))
		for i := range requests {
			requests[i] = &request{fp: fmt.Sprint("r", i), culprit: rapid.IntRange(0, 3).Draw(t, "culprit") == 0}
		}
		servers := rapid.IntRange(1, 6).Draw(t, "servers")
		window := rapid.Bool().Draw(t, "window")
		now, deaths, culprits := int64(1000), 0, 0
		type late struct {
			at int64
			r  *request
			s  int
		}
		var reports []late
		for _, r := range requests {
			if r.culprit {
				culprits++
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "rounds") {
			// One round: requests are placed, then servers with a culprit die.
			running := make([][]*request, servers)
			alone := make([]bool, servers)
			for _, r := range rapid.Permutation(requests).Draw(t, "order") {
				verdict := l.Verdict([]byte(r.fp), now)
				s := rapid.IntRange(0, servers-1).Draw(t, "server")
				switch {
				case r.blocked || verdict >= Held || alone[s]:
				case verdict == Clear:
					running[s] = append(running[s], r)
				case len(running[s]) == 0:
					running[s], alone[s] = append(running[s], r), true
				}
			}
			var next []late
			for s, rs := range running {
				died := false
				for _, r := range rs {
					died = died || r.culprit
				}
				if died {
					deaths++
				}
				for _, r := range rs {
					if died {
						r.blocked = !window
						next = append(next, late{now + int64(rapid.IntRange(0, 2900).Draw(t, "delay")), r, s})
					} else if alone[s] {
						l.Apply(cleared(r.fp, ActorRanAlone, now), now)
					}
				}
			}
			if !window {
				reports, next = next, nil
			}
			sort.SliceStable(reports, func(i, j int) bool { return reports[i].at < reports[j].at })
			for _, x := range reports {
				l.Apply(crash(x.r.fp, fmt.Sprint("s", x.s), x.at), x.at)
				l.Advance(x.at)
				x.r.blocked = false
			}
			reports = next
			// A server is back after its restart, later than the settling time.
			now += int64(rapid.IntRange(7000, 60000).Draw(t, "pause"))
			l.Advance(now)
			for _, r := range requests {
				if v := l.Verdict([]byte(r.fp), now); v == Quarantined && !r.culprit {
					t.Fatalf("harmless request %s is quarantined", r.fp)
				}
			}
			if !window && deaths > 2*culprits {
				t.Fatalf("%d culprits took down %d servers", culprits, deaths)
			}
		}
	})
}

// Guards against memory that grows with the number of crashes.
func TestBounds(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxIncidents, cfg.MaxQuarantined = 10, 3
	l := New(cfg)
	now := int64(0)
	for i := range 200 {
		for range 2 {
			now += time.Minute.Milliseconds() / 10
			l.Apply(crash(fmt.Sprint(i), "s", now), now)
		}
		l.Advance(now + 4000)
		l.Apply(cleared(fmt.Sprint("x", i), "op", now), now)
	}
	l.Advance(now + cfg.SuspectDuration.Milliseconds() + 5000)
	if len(l.incidents) != 0 || len(l.byFP) != 0 || len(l.entries) > 3 || len(l.released) != 0 {
		t.Errorf("%d incidents, %d suspects, %d entries, %d releases are kept", len(l.incidents), len(l.byFP), len(l.entries), len(l.released))
	}
	if due := l.DueForRestatement(now+5000, 1000); len(due) != len(l.entries) {
		t.Errorf("%d of %d quarantines are due again", len(due), len(l.entries))
	}
}

// Guards against a request that crashes a server every ten minutes because
// other requests were in flight each time, and against the blame that falls on
// the last one when an operator releases the others.
func TestRemainingCause(t *testing.T) {
	for _, actor := range []string{ActorRanAlone, "operator"} {
		l := New(DefaultConfig())
		now := int64(1_000_000)
		for n, server := range []string{"a", "b"} {
			l.Apply(crash("culprit", server, now), now)
			l.Apply(crash(fmt.Sprintf("other%d", n), server, now), now)
			now += time.Minute.Milliseconds()
		}
		if v := l.Verdict([]byte("culprit"), now); len(l.Advance(now)) > 0 || v != Held {
			t.Fatalf("before the others ran: %v", v)
		}
		l.Apply(cleared("other0", actor, now), now)
		want := Quarantined
		if actor != ActorRanAlone {
			want = Held
		}
		if l.Advance(now); l.Verdict([]byte("culprit"), now) != want {
			t.Errorf("after %s cleared the other request: %v, want %v", actor, l.Verdict([]byte("culprit"), now), want)
		}
	}
}
