package poison

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a request that goes on crashing servers because it does so late, after its
// response has begun, and against sound requests that are held back because they broke with
// servers that crash for reasons of their own.
func TestRequestThatCrashesLate(t *testing.T) {
	const (
		// maxHeldBack is the number of sound requests in 10,000 that may be held back.
		maxHeldBack   = 1
		thirdCrash    = 3
		deadlyRequest = Subject(1)
		// A caller sends the deadly request again after retryInterval.
		retryInterval = 1500 * time.Millisecond
	)
	sent, heldBack, crashes, fleets := 0, 0, 0, fleetSeeds(t)
	for seed := range fleets {
		random := rand.New(rand.NewPCG(seed, 2))
		between := func(low, high float64) float64 { return low + (high-low)*random.Float64() }
		f := &simFleet{
			random: rand.New(rand.NewPCG(seed, 1)), tracker: NewTracker(0), now: epoch, lastWhole: 1 << 20, countFrom: thirdCrash,
			delay: time.Duration(between(1, 60) * float64(time.Millisecond)), lateBy: time.Duration(between(0.05, 1) * float64(time.Second)),
		}
		for n := range 6 + random.IntN(55) {
			f.servers = append(f.servers, &simServer{start: uint32(n)})
		}
		rate, otherCrashes, attempts := float64(len(f.servers))*between(0.5, 4), between(0, 0.5), 2+random.IntN(2)
		for next := epoch.Add(4 * time.Second); f.now.Sub(epoch) < 40*time.Second; {
			f.advance()
			if f.random.Float64() < rate*step.Seconds() {
				f.lastWhole++
				first := Subject(1000 + f.random.IntN(20))
				f.send(&simRun{Request: Request{Whole: f.lastWhole, Parts: []Subject{first}}, attemptsLeft: attempts})
			}
			if !f.now.Before(next) {
				next = f.now.Add(retryInterval)
				f.send(&simRun{Request: Request{Whole: deadlyRequest, Parts: []Subject{1003}}, deadly: true, attemptsLeft: attempts})
			}
			if f.random.Float64() < otherCrashes*step.Seconds() {
				f.crash(f.servers[f.random.IntN(len(f.servers))])
			}
		}
		if f.afterFifth > maxAfterFifth {
			t.Errorf("seed %d: the request reaches %d servers later than %v after the third crash; %d crashes", seed, f.afterFifth, stableWindow, f.crashes)
		}
		sent, heldBack, crashes = sent+f.soundSent, heldBack+f.heldBack, crashes+f.crashes
	}
	if heldBack*10_000 > sent*maxHeldBack {
		t.Errorf("%d of %d sound requests are held back", heldBack, sent)
	}
	t.Logf("%.1f crashes by the request in each of %d fleets; %d of %d sound requests held back", float64(crashes)/float64(fleets), fleets, heldBack, sent)
}
