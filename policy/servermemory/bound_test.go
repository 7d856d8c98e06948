package servermemory

import (
	"testing"
	"time"
)

// holding returns a server that holds one request of so many bytes.
func holding(at time.Time, bytes int64) *Server {
	s := &Server{}
	s.Add(at, Size{Bytes: bytes}, true, InFlight{Batch: 1})
	return s
}

// crash breaks the request of a server, which then stops.
func (b *Bound) crash(at time.Time, s *Server) bool {
	s.RecordBroken(at, InFlight{Batch: 1})
	return b.RecordStop(at.Add(3*time.Second), s)
}

// Guards against a bound that is learned from servers that stop for other reasons: while they run nothing, long after
// they began to hold what they hold, or long after a request broke.
func TestBoundIsLearnedFromCrashes(t *testing.T) {
	var b Bound
	idle := holding(epoch, 700)
	if b.RecordStop(epoch.Add(time.Second), idle) || b.Bytes() != 0 {
		t.Errorf("bound %d after a server stopped on which no request broke", b.Bytes())
	}
	lasting := holding(epoch, 700)
	b.Observe(epoch.Add(survivalTime), lasting)
	if b.crash(epoch.Add(survivalTime), lasting) || b.Bytes() != 0 {
		t.Errorf("bound %d after the crash of a server that had survived what it held", b.Bytes())
	}
	flaky := holding(epoch, 700)
	flaky.RecordBroken(epoch, InFlight{Batch: 1})
	if b.RecordStop(epoch.Add(stopLag), flaky) || b.Bytes() != 0 {
		t.Errorf("bound %d after a server stopped long after a request broke", b.Bytes())
	}
	if !b.crash(epoch, holding(epoch, 500)) || b.Bytes() != 500 || b.crash(epoch, holding(epoch, 600)) || !b.crash(epoch, holding(epoch, 400)) {
		t.Errorf("bound %d after crashes with 400 to 600 bytes", b.Bytes())
	}
}

// Guards against a server that stays limited although it has survived more, and against one that is not limited
// because another one, which may be larger, has.
func TestBoundEndsForTheServerThatSurvivesMore(t *testing.T) {
	var b Bound
	b.crash(epoch, holding(epoch, 400))
	large, small := holding(epoch, 450), holding(epoch, 50)
	for _, s := range []*Server{large, small} {
		if limit := b.Limit(s); limit != 320 {
			t.Errorf("limit %d before anything was survived", limit)
		}
		b.Observe(epoch.Add(survivalTime), s)
	}
	if b.Limit(large) != 0 || b.Limit(small) != 320 {
		t.Errorf("limits %d and %d after 450 and 50 bytes were survived", b.Limit(large), b.Limit(small))
	}
	if b.crash(epoch, holding(epoch, 900)) || b.Bytes() != 400 {
		t.Errorf("bound %d", b.Bytes())
	}
}

// Guards against a limit that nothing ends because it holds back what would show it to be wrong, against trials on many
// servers at once before any has shown that it is, and against a trial that is never ended.
func TestTrialsWidenWhileTheyGoWell(t *testing.T) {
	var b Bound
	b.crash(epoch, holding(epoch, 400))
	now, tried := epoch, 0
	for _, want := range []int{1, 2, 4, 8} {
		started := 0
		for range 20 {
			if s := holding(now, 100); b.MayTry(now, s) {
				b.StartTrial(now, s)
				started++
			}
		}
		if started != want {
			t.Fatalf("%d trials at once after %d that went well, want %d", started, tried, want)
		}
		tried += started
		now = now.Add(survivalTime)
	}
}

// Guards against a server that crashes in a trial again and again, and against trials that one broken request ends
// for long.
func TestTrialsPauseAfterACrash(t *testing.T) {
	var b Bound
	b.crash(epoch, holding(epoch, 400))
	now := epoch.Add(time.Minute)
	// try returns the time after which another trial may begin.
	try := func(stops bool) time.Duration {
		s := holding(now, 300)
		if !b.MayTry(now, s) {
			t.Fatal("no trial")
		}
		b.StartTrial(now, s)
		s.RecordBroken(now, InFlight{Batch: 1})
		if stops {
			b.RecordStop(now.Add(time.Second), s)
		}
		began := now
		for now = now.Add(time.Second); !b.MayTry(now, holding(now, 100)); now = now.Add(time.Second) {
		}
		return now.Sub(began)
	}
	if pause := try(false); pause < trialPause || pause > survivalTime+trialPause+time.Second {
		t.Errorf("pause of %v after a trial in which a request broke", pause)
	}
	for _, backoff := range []time.Duration{trialBackoff, 2 * trialBackoff, 4 * trialBackoff} {
		if pause := try(true); pause < backoff || pause > backoff+2*time.Second {
			t.Errorf("pause of %v after a crash in a trial, want %v", pause, backoff)
		}
	}
}
