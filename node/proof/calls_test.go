package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/development"
	"github.com/jacinthnotch/jacinthnotch/standin/kit"
	"github.com/jacinthnotch/jacinthnotch/standin/log"
	"github.com/jacinthnotch/jacinthnotch/standin/plain"
)

// Guards against a keyed call that runs again when it is sent again through any
// instance, during or after its run, and against a key that is accepted with another
// body.
func TestResentCall(t *testing.T) {
	t.Parallel()
	o := fastEngine()
	o.OutputTokens, o.DecodeRate = 100, 100
	f := startFleet(t, development.Options{Instances: 3, Servers: 4, Engine: o})
	f.waitUntilSettled()
	for n := range 3 {
		body, key := chatBody(fmt.Sprintf("resent %d", n), 100, false), f.keyOwnedBy(n, "resent")
		var responses [4]response
		var wg sync.WaitGroup
		wg.Go(func() {
			responses[0], _ = trySend(t.Context(), "POST", f.callersAddress(0), chatPath, body, "Idempotency-Key", key)
		})
		f.waitFor("the run", func() bool { return f.runCount(body).Runs > 0 })
		for i := 1; i < 3; i++ {
			wg.Go(func() {
				responses[i], _ = trySend(t.Context(), "POST", f.callersAddress(i), chatPath, body, "Idempotency-Key", key)
			})
		}
		wg.Wait()
		responses[3] = send(t, "POST", f.callersAddress(2), chatPath, body, "Idempotency-Key", key)
		for i, r := range responses {
			if r.status != 200 || r.body != responses[0].body || r.recorded() != "true" {
				t.Errorf("key of instance %d, response %d: %v, first: %v", n, i, r, responses[0])
			}
		}
		if f.callCount(body) != 1 {
			t.Errorf("key of instance %d: %+v", n, f.runCount(body))
		}
		other := chatBody(fmt.Sprintf("another body %d", n), 16, false)
		if r := send(t, "POST", f.callersAddress(1), chatPath, other, "Idempotency-Key", key); r.status != 409 || r.outcome() != "not-run" || f.runCount(other).Runs != 0 {
			t.Errorf("another body with the same key: %v, %+v", r, f.runCount(other))
		}
	}
}

// confirmBooking sends a confirmation. The plain servers count it as an action under
// the same key.
func confirmBooking(ctx context.Context, address, key string) (response, error) {
	return trySend(ctx, "POST", address, confirmationsPath, `{"booking":"`+key+`"}`, "Idempotency-Key", key, plain.KeyHeader, key)
}

func (f *fleet) setPlainFaults(faults plain.Faults) {
	for _, p := range f.PlainServers {
		p.SetFaults(faults)
	}
}

// checkConfirmation sends a confirmation again through the given instances until each
// has responded. It checks that the confirmation ran at most once and that the
// responses are equal to first if that was recorded.
func (f *fleet) checkConfirmation(key string, first response, through ...int) {
	f.t.Helper()
	if first.outcome() == "not-run" && f.actionCount(key) != 0 {
		f.t.Errorf("%s was refused as not run and ran: %v", key, first)
	}
	for _, n := range through {
		var r response
		var err error
		f.waitFor("a response to the repeated "+key, func() bool {
			before := f.actionCount(key)
			r, err = confirmBooking(f.t.Context(), f.callersAddress(n), key)
			if err == nil && r.outcome() == "not-run" && f.actionCount(key) != before {
				f.t.Errorf("%s was refused as not run and ran: %v", key, r)
			}
			return err == nil && (r.outcome() != "not-run" && r.status != 409)
		})
		if first.status == 200 && first.recorded() == "true" && (r.status != 200 || r.body != first.body) {
			f.t.Errorf("%s: %v, after a recorded response: %v", key, r, first)
		}
	}
	if n := f.actionCount(key); n > 1 {
		f.t.Errorf("%s ran %d times", key, n)
	}
}

// Guards against a non-idempotent call that runs twice after a failure during its run,
// and against a call that is reported as not run although a server has received it.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	f := startFleet(t, development.Options{Instances: 4, Servers: 2})
	f.waitUntilSettled()
	for name, faults := range map[string]plain.Faults{"closed": {CloseNext: 1}, "silent": {SilentNext: 1}, "dropped": {DropNext: 1}, "failed": {FailNext: 1}} {
		f.setPlainFaults(faults)
		key := f.keyOwnedBy(1, name)
		r, err := confirmBooking(t.Context(), f.callersAddress(0), key)
		f.setPlainFaults(plain.Faults{})
		if err != nil || r.outcome() == "not-run" {
			t.Errorf("%s: %v %v", name, r, err)
		}
		f.checkConfirmation(key, r, 2, 3)
	}
	// The plain servers die while the call is in flight.
	f.setPlainFaults(plain.Faults{Latency: kit.Duration(500 * time.Millisecond)})
	r := f.confirmDuringFault(0, f.keyOwnedBy(1, "server-died"), func() {
		for _, p := range f.PlainServers {
			p.Kill()
		}
	})
	for _, p := range f.PlainServers {
		if err := p.Restart(); err != nil {
			t.Fatal(err)
		}
	}
	f.checkConfirmation(f.keyOwnedBy(1, "server-died"), r, 2, 3)
	if testing.Short() {
		return
	}
	// The owner dies while a call is in flight, then the entry instance of another call.
	f.setPlainFaults(plain.Faults{Latency: kit.Duration(300 * time.Millisecond)})
	key := f.keyOwnedBy(1, "owner-killed")
	r = f.confirmDuringFault(0, key, func() { f.kill(1) })
	f.setPlainFaults(plain.Faults{})
	f.checkConfirmation(key, r, 2, 3)
	f.setPlainFaults(plain.Faults{Latency: kit.Duration(300 * time.Millisecond)})
	key = f.keyOwnedBy(2, "entry-killed")
	r = f.confirmDuringFault(0, key, func() { f.kill(0) })
	f.setPlainFaults(plain.Faults{})
	f.checkConfirmation(key, r, 2, 3)
	if f.actionCount(key) != 1 {
		t.Errorf("the call ran %d times", f.actionCount(key))
	}
}

// confirmDuringFault sends a confirmation through an entry instance, calls fault once
// a server has run it and returns the response.
func (f *fleet) confirmDuringFault(entry int, key string, fault func()) (r response) {
	var wg sync.WaitGroup
	wg.Go(func() { r, _ = confirmBooking(f.t.Context(), f.callersAddress(entry), key) })
	f.waitFor("the run of "+key, func() bool { return f.actionCount(key) > 0 })
	fault()
	wg.Wait()
	return r
}

// Guards against a non-idempotent call that runs twice under a combination of faults:
// a log that loses responses and appends late, servers whose connections close or that
// fail, and two senders of the same call at once.
func TestAtMostOnceUnderFaults(t *testing.T) {
	t.Parallel()
	const seed, calls = 1, 60
	rng := rand.New(rand.NewPCG(seed, 0))
	f := startFleet(t, development.Options{Instances: 3, Servers: 2})
	f.waitUntilSettled()
	f.Standins.Log.SetFaults(log.Faults{LoseEvery: 3, LateEvery: 7, LateDelay: kit.Duration(200 * time.Millisecond)})
	f.setPlainFaults(plain.Faults{CloseEvery: 4, FailEvery: 5, Latency: kit.Duration(20 * time.Millisecond)})
	var wg sync.WaitGroup
	responses := make([]response, calls)
	for n := range calls {
		a, b := rng.IntN(3), rng.IntN(3)
		key := fmt.Sprintf("faults-%d", n)
		wg.Go(func() {
			responses[n], _ = confirmBooking(t.Context(), f.callersAddress(a), key)
		})
		if n%2 == 0 { // the other half has a single sender, whose "not run" is checked
			wg.Go(func() { _, _ = confirmBooking(t.Context(), f.callersAddress(b), key) })
		}
	}
	wg.Wait()
	f.Standins.Log.SetFaults(log.Faults{})
	f.setPlainFaults(plain.Faults{})
	ran := 0
	for n, r := range responses {
		key := fmt.Sprintf("faults-%d", n)
		if r.status == 200 && f.actionCount(key) != 1 {
			t.Errorf("%s was answered and ran %d times: %v", key, f.actionCount(key), r)
		}
		if n%2 == 0 && r.outcome() == "not-run" {
			r = response{} // the other sender's request may have run
		}
		f.checkConfirmation(key, r, n%3, (n+1)%3)
		ran += f.actionCount(key)
	}
	if ran == 0 {
		t.Error("no call ran")
	}
	t.Logf("seed %d: %d of %d calls ran, none twice", seed, ran, calls)
}
