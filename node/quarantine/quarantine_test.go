package quarantine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/quarantine"
	"github.com/jacinthnotch/jacinthnotch/node/internal/fakelog"
	"github.com/jacinthnotch/jacinthnotch/node/operator"
	"github.com/jacinthnotch/jacinthnotch/policy/suspect"
)

// Guards against a request that goes on crashing servers through another
// instance, a report that returns before it counts, and a release that is not
// carried out everywhere.
func TestQuarantineIsFleetWide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := fakelog.New()
		a := New(Options{Instance: "a", Log: log})
		b := New(Options{Instance: "b", Log: log, Preferred: func() bool { return false }})
		go a.Run(ctx)
		go b.Run(ctx)
		fp := []byte{1, 2, 3}
		report := func(d *Manager, server string) {
			t.Helper()
			if err := d.Report(ctx, suspect.CrashReport{Server: server, At: time.Now(), InFlight: []string{string(fp)}}); err != nil {
				t.Fatal(err)
			}
			if d.Verdict(fp) == quarantine.Clear {
				t.Fatal("the report does not count after its return")
			}
		}
		log.LoseNext(1)
		report(a, "s1")
		synctest.Wait()
		if v := b.Verdict(fp); v != quarantine.Suspect {
			t.Fatalf("after one death: %v", v)
		}
		time.Sleep(time.Minute)
		report(b, "s2")
		time.Sleep(time.Minute)
		if v, w := a.Verdict(fp), b.Verdict(fp); v != quarantine.Quarantined || w != quarantine.Quarantined {
			t.Fatalf("after two deaths: %v, %v", v, w)
		}
		if l := b.list(); len(l.Entries) != 1 || l.Entries[0].Fingerprint != "010203" {
			t.Fatalf("list: %+v", l)
		}
		if _, err := b.release(ctx, operator.Request{Body: []byte(`{"fingerprint":"010203","actor":"ops"}`)}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if v, w := a.Verdict(fp), b.Verdict(fp); v != quarantine.Clear || w != quarantine.Clear {
			t.Fatalf("after the release: %v, %v", v, w)
		}
		log.SetDown(true)
		short, stop := context.WithTimeout(ctx, 2*time.Second)
		defer stop()
		if a.Report(short, suspect.CrashReport{Server: "s3", At: time.Now(), InFlight: []string{"x"}}) == nil {
			t.Fatal("a report was confirmed while the log was down")
		}
	})
}
