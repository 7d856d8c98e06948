package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// Guards against a second run of a non-idempotent request, a repeated part of an answer, a
// request reported as not run after a byte was sent, and attempts after the deadline.
func TestDecideInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		for range 100 {
			b.RecordSuccess(epoch)
		}
		a := Attempt{
			Number: rapid.IntRange(1, 5).Draw(t, "number"), Failure: Failure(rapid.IntRange(0, int(Permanent)).Draw(t, "failure")),
			Idempotent: rapid.Bool().Draw(t, "idempotent"), DeliveredTokens: rapid.IntRange(0, 2).Draw(t, "passed"),
			Resumable: rapid.Bool().Draw(t, "resumable"), ExpectedDuration: time.Second,
		}
		a.MayHaveReachedServer = a.Failure != NotSent || rapid.Bool().Draw(t, "reached")
		if rapid.Bool().Draw(t, "has deadline") {
			a.Deadline = epoch.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
		}
		d := Decide(epoch, a, &b, rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))))
		again := d.Action == Retry || d.Action == Resume || d.Action == AwaitBudget
		switch {
		case again && (!a.Idempotent || a.Failure == Permanent || a.Number >= MaxAttempts):
			t.Fatalf("%+v for %+v", d, a)
		case a.DeliveredTokens > 0 && (d.Action == Retry || d.Action == Resume && !a.Resumable):
			t.Fatalf("%+v would repeat a part of the answer of %+v", d, a)
		case d.NotRun && a.MayHaveReachedServer:
			t.Fatalf("%+v reports not run for %+v", d, a)
		case !a.Idempotent && a.Failure == ConnectionLost && d.Action != OutcomeUnknown:
			t.Fatalf("%+v for a lost non-idempotent request", d)
		case again && !a.Deadline.IsZero() && epoch.Add(d.Delay+a.ExpectedDuration).After(a.Deadline):
			t.Fatalf("%+v ends after the deadline of %+v", d, a)
		case d.Delay > backoffMax:
			t.Fatalf("delay %v", d.Delay)
		}
	})
}

// Guards against retries that multiply the load in a total outage of any length at any
// request rate. At most 10% extra load beyond minCapacity is allowed if failures are not
// recorded, and at most two extra attempts if each failure is recorded.
func TestBudgetInOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.IntRange(1, 200).Draw(t, "requests per second")
		outage := rapid.IntRange(2, 60).Draw(t, "seconds")
		known := rapid.Bool().Draw(t, "failures are known")
		var b Budget
		now := epoch
		for range 10 * rate {
			now = now.Add(time.Second / time.Duration(rate))
			b.RecordSuccess(now)
		}
		extra := 0
		for i := range outage * rate {
			now = now.Add(time.Second / time.Duration(rate))
			if known {
				b.RecordFailure(now, fmt.Sprint(2*i%9))
			}
			if b.Withdraw(now) {
				extra++
				if known {
					b.RecordFailure(now, fmt.Sprint((2*i+1)%9))
				}
			}
		}
		limit := minCapacity + RetryRatio*float64(outage*rate)
		if known {
			limit = 2
		}
		if float64(extra) > limit {
			t.Fatalf("%d extra attempts, limit %.1f", extra, limit)
		}
		if b.DelayFirstAttempt(now); known != b.DelayFirstAttempt(now) {
			t.Fatal("first attempts are not delayed in an outage, or delayed without one")
		}
		b.RecordProbe()
		if b.DelayFirstAttempt(now) {
			t.Fatal("first attempts are delayed after a probe was answered")
		}
	})
}

// Guards against a new instance that cannot retry at all, and against an initial credit
// that refills without successes.
func TestInitialCredit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		now, extra, successes := epoch, 0, 0
		for range rapid.IntRange(initialCredit, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				successes++
				b.RecordSuccess(now)
			}
			withdrawn := b.Withdraw(now)
			if withdrawn {
				extra++
			}
			if extra < initialCredit && !withdrawn {
				t.Fatalf("the initial credit is empty after %d attempts", extra)
			}
			if limit := initialCredit + RetryRatio*float64(successes); float64(extra) > limit+1e-6 {
				t.Fatalf("%d extra attempts after %d successes, limit %.1f", extra, successes, limit)
			}
		}
	})
}

// Guards against requests of a server that died waiting for the budget until their deadline
// because no other traffic earns attempts, although the other servers report their load.
// TestLeavingServer and TestBystandersOfCrash of node/proof fail in that case. Also guards
// against attempts earned over time during an outage or without liveness reports.
func TestIdleBudgetRefillsWhileServersReport(t *testing.T) {
	drain := func(b *Budget) time.Time {
		now := epoch
		for b.Withdraw(now) {
		}
		return now
	}
	attempts := func(b *Budget, now time.Time, reports bool) (n int) {
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			if reports {
				b.RecordLiveness(now)
			}
			if b.Withdraw(now) {
				n++
			}
		}
		return n
	}
	var reported, silent, outage Budget
	if n := attempts(&reported, drain(&reported), true); n < 8 || n > 10 {
		t.Errorf("%d attempts in 10 s while servers report, want one a second", n)
	}
	if n := attempts(&silent, drain(&silent), false); n != 0 {
		t.Errorf("%d attempts without liveness reports", n)
	}
	now := drain(&outage)
	for _, server := range []string{"a", "b", "c"} {
		outage.RecordFailure(now, server)
	}
	if n := attempts(&outage, now, true); n != 0 {
		t.Errorf("%d attempts during an outage", n)
	}
	// However long the fleet was idle, the balance does not exceed minCapacity.
	var idle Budget
	now = drain(&idle).Add(time.Hour)
	idle.RecordLiveness(now)
	if c := idle.Balance(now.Add(time.Second)); c > minCapacity {
		t.Errorf("balance of %.1f attempts after an idle hour", c)
	}
}

// Guards against a hedge after the first token, a second hedge, an early hedge and hedges
// beyond the budget.
func TestHedge(t *testing.T) {
	var b Budget
	p := PendingRequest{Elapsed: 2 * time.Second, HedgeDelay: time.Second, Idempotent: true}
	if Hedge(epoch, p, &b) {
		t.Fatal("hedged without budget")
	}
	for range 40 {
		b.RecordSuccess(epoch)
	}
	first, hedged, early := p, p, p
	first.FirstTokenReceived, hedged.Hedged, early.Elapsed = true, true, time.Millisecond
	for _, q := range []PendingRequest{first, hedged, early} {
		if Hedge(epoch, q, &b) {
			t.Fatalf("hedged %+v", q)
		}
	}
	if !Hedge(epoch, p, &b) {
		t.Fatal("did not hedge")
	}
}
