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

// Guards against a quarantine that does not hold on every instance, so that the
// request crashes further servers through another one; against a Report that returns
// before verdicts take it into account; and against a release that takes effect on
// some instances only.
func TestQuarantineIsFleetWide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := fakelog.New()
		a := New(Options{Instance: "a", Log: log})
		b := New(Options{Instance: "b", Log: log, IsPreferred: func() bool { return false }})
		go a.Run(ctx)
		go b.Run(ctx)
		fingerprint := []byte{1, 2, 3}
		report := func(m *Manager, server string) {
			t.Helper()
			if err := m.Report(ctx, suspect.CrashReport{Server: server, At: time.Now(), InFlight: []string{string(fingerprint)}}); err != nil {
				t.Fatal(err)
			}
			if m.Verdict(fingerprint) == quarantine.Clear {
				t.Fatal("verdict is still Clear after Report returned")
			}
		}
		log.LoseNext(1)
		report(a, "s1")
		synctest.Wait()
		if v := b.Verdict(fingerprint); v != quarantine.Suspect {
			t.Fatalf("after one death: %v", v)
		}
		time.Sleep(time.Minute)
		report(b, "s2")
		time.Sleep(time.Minute)
		if v, w := a.Verdict(fingerprint), b.Verdict(fingerprint); v != quarantine.Quarantined || w != quarantine.Quarantined {
			t.Fatalf("after two deaths: %v, %v", v, w)
		}
		if list := b.list(); len(list.Entries) != 1 || list.Entries[0].Fingerprint != "010203" {
			t.Fatalf("list: %+v", list)
		}
		if _, err := b.release(ctx, operator.Request{Body: []byte(`{"fingerprint":"010203","actor":"ops"}`)}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if v, w := a.Verdict(fingerprint), b.Verdict(fingerprint); v != quarantine.Clear || w != quarantine.Clear {
			t.Fatalf("after the release: %v, %v", v, w)
		}
		log.SetDown(true)
		shortCtx, cancelShort := context.WithTimeout(ctx, 2*time.Second)
		defer cancelShort()
		if a.Report(shortCtx, suspect.CrashReport{Server: "s3", At: time.Now(), InFlight: []string{"x"}}) == nil {
			t.Fatal("Report succeeded while the log was down")
		}
	})
}
