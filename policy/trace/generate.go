package trace

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Names returns the names of the generated traces.
func Names() []string {
	return []string{"kme-closing", "kme-quiet", "swanline-day", "swanline-night"}
}

// CrashingKey is the key of the request that crashes its servers.
const CrashingKey = "crashing"

// DefaultSeed is the seed of the traces that the tests and the report use.
const DefaultSeed = 20260302

// The targets of docs/design.md, section 1.3.
const (
	targetP99Ratio    = 1.05
	targetIdleFilled  = 0.9
	targetWaste       = 0.05
	targetRefill      = 100 * time.Millisecond
	targetOutageLoad  = 1.1
	targetRecovery    = 5 * time.Second
	targetServersLost = 2
)

const (
	duration = 10 * time.Minute
	slots    = 24
	kvTokens = 40000

	modelService   = "model"
	plainService   = "plain"
	onlineDeadline = 60 * time.Second
)

// profile describes one trace.
type profile struct {
	speeds    []float64
	plain     int
	instances int
	centres   int
	rate      float64 // online requests per second to the model service
	swing     float64 // slow variation of the rate, as a share of it
	burst     float64 // factor of the rate in a burst
	burstGap  float64 // mean seconds between bursts
	burstFor  float64 // mean seconds of a burst
	plainRate float64
	templates int
	jobs      []jobProfile
	faults    []Event
	crashing  time.Duration // arrival of a crashing request, zero for none
	expect    Targets
}

type jobProfile struct {
	at            time.Duration
	items         int
	prefix, own   float64 // mean prompt tokens: shared and of the item
	output        float64
	due           time.Duration
	crashingItems int
}

var kmeSpeeds = []float64{1, 1, 1, 0.9, 0.8, 0.8, 0.7, 0.6, 0.5}

var swanlineSpeeds = []float64{
	1.2, 1.2, 1.1, 1.1, 1, 1, 1, 1, 0.9, 0.9, 0.9, 0.8, 0.8, 0.8, 0.7, 0.7, 0.6, 0.5,
}

func base() Targets {
	return Targets{MaxP99Ratio: targetP99Ratio, MinIdleFillRatio: targetIdleFilled, MaxWasteRatio: targetWaste, MaxRefillDelay: targetRefill}
}

func withOutage(e Targets) Targets {
	e.MaxOutageLoadFactor, e.MaxRecoveryTime = targetOutageLoad, targetRecovery
	return e
}

func withCrashing(e Targets) Targets {
	e.MaxServersLost = targetServersLost
	return e
}

// profiles scales the days of docs/design.md, section 1.1, to ten minutes. The
// jobs hold more work than the fleet can do, so that idle capacity is limited
// by the decisions and not by the jobs.
func profiles() map[string]profile {
	letters := func(items int) []jobProfile {
		return []jobProfile{
			{0, items / 2, 600, 100, 220, 9 * time.Minute, 0},
			{20 * time.Second, items / 4, 450, 60, 120, 30 * time.Minute, 0},
			{90 * time.Second, items / 2, 700, 150, 300, 2 * time.Hour, 0},
		}
	}
	return map[string]profile{
		"kme-closing": {
			speeds: kmeSpeeds, plain: 4, instances: 10, centres: 4, rate: 12, swing: 0.4, burst: 1.4, burstGap: 60, burstFor: 8,
			plainRate: 10, templates: 12, jobs: letters(20000), expect: base(),
			faults: []Event{
				{At: 150 * time.Second, Fault: Slow, Server: "m02", FaultDuration: 40 * time.Second, SlowdownFactor: 4},
				{At: 330 * time.Second, Fault: Crash, Server: "m05", FaultDuration: 20 * time.Second},
			},
		},
		"kme-quiet": {
			speeds: kmeSpeeds, plain: 4, instances: 10, centres: 4, rate: 3, swing: 0.3, burst: 2, burstGap: 120, burstFor: 5,
			plainRate: 2, templates: 12, jobs: letters(24000), crashing: 200 * time.Second, expect: withOutage(withCrashing(base())),
			faults: []Event{
				{At: 400 * time.Second, Fault: Outage, Service: modelService, FaultDuration: 20 * time.Second},
			},
		},
		"swanline-day": {
			speeds: swanlineSpeeds, plain: 3, instances: 12, centres: 3, rate: 22, swing: 0.2, burst: 2.5, burstGap: 40, burstFor: 6,
			plainRate: 15, templates: 20, jobs: letters(36000), crashing: 250 * time.Second, expect: withCrashing(base()),
			faults: []Event{
				{At: 120 * time.Second, Fault: Silent, Server: "m03"},
				{At: 420 * time.Second, Fault: Crash, Server: "m08", FaultDuration: 20 * time.Second},
			},
		},
		"swanline-night": {
			speeds: swanlineSpeeds, plain: 3, instances: 12, centres: 3, rate: 3, swing: 0.2, burst: 4, burstGap: 90, burstFor: 4,
			plainRate: 1, templates: 20, jobs: letters(48000), expect: withOutage(base()),
			faults: []Event{
				{At: 100 * time.Second, Fault: Slow, Server: "m01", FaultDuration: 30 * time.Second, SlowdownFactor: 3},
				{At: 300 * time.Second, Fault: Outage, Service: modelService, FaultDuration: 20 * time.Second},
			},
		},
	}
}

// Generate returns the named trace for a seed. The same arguments give the same
// trace.
func Generate(name string, seed uint64) (*Trace, error) {
	p, ok := profiles()[name]
	if !ok {
		return nil, fmt.Errorf("trace: no trace %q", name)
	}
	t := &Trace{Header: Header{
		Format: Format, Version: Version, Name: name, Seed: seed, Duration: duration,
		Instances: p.instances, Targets: p.expect,
	}}
	t.Servers = p.fleet()
	rng := rand.New(rand.NewPCG(seed, uint64(len(name))))
	t.Events = append(t.Events, p.faults...)
	t.Events = append(t.Events, p.online(rng)...)
	t.Events = append(t.Events, p.plainRequests(rng)...)
	for i, j := range p.jobs {
		t.Events = append(t.Events, j.events(i, rng)...)
	}
	if p.crashing > 0 {
		e := p.request(p.crashing, rng)
		e.CrashAtToken, e.Key = 5, CrashingKey
		t.Events = append(t.Events, e)
	}
	slices.SortStableFunc(t.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return t, nil
}

func (p profile) fleet() []Server {
	var out []Server
	for i, speed := range p.speeds {
		out = append(out, Server{
			ID: fmt.Sprintf("m%02d", i), Service: modelService, DataCentre: fmt.Sprintf("dc%d", i%p.centres),
			Speed: speed, Slots: slots, KVTokens: kvTokens,
		})
	}
	for i := range p.plain {
		out = append(out, Server{
			ID: fmt.Sprintf("p%02d", i), Service: plainService, DataCentre: fmt.Sprintf("dc%d", i%p.centres),
			Speed: 1, Slots: 32, KVTokens: kvTokens, Plain: true,
		})
	}
	return out
}

// online returns the online requests: a Poisson process whose rate swings
// slowly and rises in bursts.
func (p profile) online(rng *rand.Rand) []Event {
	var out []Event
	var burstEnd float64
	nextBurst := p.burstGap * rng.ExpFloat64()
	peak := p.rate * (1 + p.swing) * p.burst
	for at := 0.0; ; {
		at += rng.ExpFloat64() / peak
		if at >= duration.Seconds() {
			return out
		}
		if at >= nextBurst {
			burstEnd = at + p.burstFor*(0.5+rng.Float64())
			nextBurst = burstEnd + p.burstGap*rng.ExpFloat64()
		}
		rate := p.rate * (1 + p.swing*math.Sin(2*math.Pi*at/duration.Seconds()*2))
		if at < burstEnd {
			rate *= p.burst
		}
		if rng.Float64()*peak < rate {
			out = append(out, p.request(seconds(at), rng))
		}
	}
}

func (p profile) request(at time.Duration, rng *rand.Rand) Event {
	template := rng.IntN(p.templates)
	prefix := 300 + 30*template
	return Event{
		At: at, Service: modelService, Class: Online,
		PromptTokens: prefix + size(rng, 180, 0.8, 10, 1500), OutputTokens: size(rng, 160, 0.6, 8, 700),
		Prefix: uint64(1000 + template), PrefixTokens: prefix, Deadline: onlineDeadline,
		Workspace: fmt.Sprintf("w%d", template%5),
	}
}

func (p profile) plainRequests(rng *rand.Rand) []Event {
	var out []Event
	for at := 0.0; ; {
		at += rng.ExpFloat64() / p.plainRate
		if at >= duration.Seconds() {
			return out
		}
		out = append(out, Event{
			At: seconds(at), Service: plainService, Class: Online, PromptTokens: 1, OutputTokens: size(rng, 8, 0.7, 1, 60),
			Deadline: 10 * time.Second, Workspace: "w0", NonIdempotent: rng.IntN(4) == 0,
		})
	}
}

func (j jobProfile) events(n int, rng *rand.Rand) []Event {
	out := make([]Event, j.items)
	for i := range out {
		out[i] = Event{
			At: j.at, Service: modelService, Class: Batch,
			PromptTokens: int(j.prefix) + size(rng, j.own, 0.5, 5, 800), OutputTokens: size(rng, j.output, 0.5, 8, 900),
			Prefix: uint64(9000 + n), PrefixTokens: int(j.prefix), Deadline: j.due,
			Job: fmt.Sprintf("job%d", n), Key: fmt.Sprintf("item%d", i), Workspace: fmt.Sprintf("w%d", n),
		}
	}
	return out
}

// size draws a log-normal size with the given mean and spread.
func size(rng *rand.Rand, mean, sigma float64, low, high int) int {
	v := math.Exp(math.Log(mean) - sigma*sigma/2 + sigma*rng.NormFloat64())
	return min(max(int(v), low), high)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
