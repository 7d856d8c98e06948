package poison

import (
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

const (
	step = 10 * time.Millisecond
	// stableWindow is the time after the fifth crash from which requests count, and
	// maxAfterFifth the number of them that the requirements allow.
	stableWindow     = 3 * time.Second
	maxAfterFifth    = 3
	crashesThatCount = 5
)

// simRun is a run of a request on a server of the simulated fleet. It begins to respond at
// beginsAt and ends at endsAt.
type simRun struct {
	Request
	deadly           bool
	attemptsLeft     int
	crashes          int
	beginsAt, endsAt time.Time
}

// simServer is a server; start counts its starts.
type simServer struct {
	start     uint32
	downUntil time.Time
	runs      []*simRun
}

// simFleet is a fleet in which requests with one part crash servers. Reports reach the hub's
// tracker after a delay, and its blocks apply to requests after the same delay.
type simFleet struct {
	random  *rand.Rand
	tracker *Tracker
	servers []*simServer
	now     time.Time
	delay   time.Duration
	pending []simReport
	// lateBy is the time after the beginning of a response at which deadly requests crash their
	// servers, and countFrom the crash from which the requirements limit the requests.
	lateBy    time.Duration
	countFrom int

	crashes, afterFifth int
	fifthAt             time.Time
	soundSent           int
	// heldBack counts the sound requests that are blocked.
	heldBack int
	// blamedOnParts counts sound requests that are blocked before they broke on MaxServers
	// servers themselves.
	blamedOnParts int
	lastWhole     Subject
}

// simReport is a change of the tracker or of what requests are checked against, at a time.
type simReport struct {
	at    time.Time
	apply func()
}

func (f *simFleet) later(apply func()) {
	f.pending = append(f.pending, simReport{f.now.Add(f.delay), apply})
}

// crash ends a server with all of its runs, which are sent again.
func (f *simFleet) crash(s *simServer) {
	s.start += uint32(len(f.servers))
	s.downUntil = f.now.Add(3 * time.Second)
	runs, server := s.runs, s.start
	s.runs = nil
	for _, r := range runs {
		r.crashes++
		broken := r.Request
		if !f.now.Before(r.beginsAt.Add(100 * time.Millisecond)) {
			broken.Parts = nil
		}
		f.later(func() { f.tracker.RecordBreak(f.now, broken, server) })
		f.send(r)
	}
}

// send sends a request to a server, unless it is blocked.
func (f *simFleet) send(r *simRun) {
	blocked := f.tracker.Blocked(f.now, r.Request)
	if !r.deadly {
		f.soundSent++
		if blocked {
			f.heldBack++
		}
		if blocked && r.crashes < MaxServers {
			f.blamedOnParts++
		}
	}
	up := slices.DeleteFunc(slices.Clone(f.servers), func(s *simServer) bool { return f.now.Before(s.downUntil) || len(s.runs) >= 8 })
	if blocked || r.attemptsLeft == 0 || len(up) == 0 {
		return
	}
	r.attemptsLeft--
	if r.deadly && !f.fifthAt.IsZero() && f.now.Sub(f.fifthAt) >= stableWindow {
		f.afterFifth++
	}
	r.beginsAt = f.now.Add(time.Duration(40+f.random.IntN(160)) * time.Millisecond)
	r.endsAt = r.beginsAt.Add(time.Duration(400+f.random.IntN(800)) * time.Millisecond)
	s := up[f.random.IntN(len(up))]
	s.runs = append(s.runs, r)
}

// advance lets the fleet run for one step.
func (f *simFleet) advance() {
	f.now = f.now.Add(step)
	for len(f.pending) > 0 && !f.now.Before(f.pending[0].at) {
		f.pending[0].apply()
		f.pending = f.pending[1:]
	}
	for _, s := range f.servers {
		crashes := false
		s.runs = slices.DeleteFunc(s.runs, func(r *simRun) bool {
			crashes = crashes || r.deadly && !f.now.Before(r.beginsAt.Add(f.lateBy))
			done := !r.deadly && !f.now.Before(r.endsAt)
			if done {
				f.later(func() { f.tracker.RecordAnswer(f.now, r.Request) })
			}
			return done
		})
		if crashes {
			if f.crashes++; f.crashes == f.countFrom {
				f.fifthAt = f.now
			}
			f.crash(s)
		}
	}
}

// Guards against a part that goes on crashing servers, and against sound requests being
// blocked, in fleets of any size: with few attempts and many, with requests that hold the part
// beside the same parts or others, alone or among crashes of another cause.
func TestFleetWithADeadlyPart(t *testing.T) {
	for seed := range fleetSeeds(t) {
		random := rand.New(rand.NewPCG(seed, 2))
		between := func(low, high float64) float64 { return low + (high-low)*random.Float64() }
		f := &simFleet{
			random: rand.New(rand.NewPCG(seed, 1)), tracker: NewTracker(0), now: epoch, lastWhole: 1 << 20, countFrom: crashesThatCount,
			delay: time.Duration(between(1, 60) * float64(time.Millisecond)),
		}
		for n := range 6 + random.IntN(55) {
			f.servers = append(f.servers, &simServer{start: uint32(n)})
		}
		rate, deadlyRate, otherCrashes := float64(len(f.servers))*between(0.5, 4), between(0.3, 4), between(0, 0.5)
		attempts, sameCompanions := 1+random.IntN(5), random.IntN(2) == 0
		for f.now.Sub(epoch) < 40*time.Second {
			f.advance()
			sinceStart := f.now.Sub(epoch)
			newParts := func() []Subject {
				first := Subject(1000 + f.random.IntN(20))
				return []Subject{first, 2000 + (first-1000)*20 + Subject(f.random.IntN(20))}
			}
			if f.random.Float64() < rate*step.Seconds() {
				f.lastWhole++
				f.send(&simRun{Request: Request{Whole: f.lastWhole, Parts: newParts()}, attemptsLeft: attempts})
			}
			if sinceStart > 4*time.Second && f.random.Float64() < deadlyRate*step.Seconds() {
				parts := newParts()
				if sameCompanions {
					parts = []Subject{1003, 2070}
				}
				f.lastWhole++
				f.send(&simRun{Request: Request{Whole: f.lastWhole, Parts: append(parts, deadly)}, deadly: true, attemptsLeft: attempts})
			}
			if f.random.Float64() < otherCrashes*step.Seconds() {
				f.crash(f.servers[f.random.IntN(len(f.servers))])
			}
		}
		if f.afterFifth > maxAfterFifth {
			t.Errorf("seed %d: %d requests reach servers later than %s after the fifth crash; %d crashes", seed, f.afterFifth, stableWindow, f.crashes)
		}
		if f.blamedOnParts > 0 {
			t.Errorf("seed %d: %d of %d sound requests are blocked; %d servers, %d attempts, %.1f deadly a second", seed, f.blamedOnParts, f.soundSent, len(f.servers), attempts, deadlyRate)
		}
	}
}

// fleetSeeds returns the number of fleets to simulate: 200, or that of POISON_SEEDS.
func fleetSeeds(t *testing.T) uint64 {
	t.Helper()
	v := os.Getenv("POISON_SEEDS")
	if v == "" {
		return 200
	}
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
