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

// CrashingKey is the Event.Key of the request that crashes each server it runs on.
const CrashingKey = "crashing"

// DefaultSeed is the trace seed of the tests and of the report of simreport.
const DefaultSeed = 20260302

// The targets are those of docs/design.md, section 1.3.
const (
	maxP99Ratio         = 1.05
	minIdleFillRatio    = 0.9
	maxWasteRatio       = 0.05
	maxRefillDelay      = 100 * time.Millisecond
	maxOutageLoadFactor = 1.1
	maxRecoveryTime     = 5 * time.Second
	maxServersLost      = 2
)

const (
	traceDuration    = 10 * time.Minute
	modelServerSlots = 24
	serverKVTokens   = 40000

	modelService = "model"
	plainService = "plain"
	// modelDeadline is the deadline of online requests to the model service,
	// relative to their arrival.
	modelDeadline = 60 * time.Second
)

// profile holds the parameters of one generated trace.
type profile struct {
	serverSpeeds      []float64 // Server.Speed of each server of the model service
	plainServers      int       // servers of the plain service
	instances         int
	dataCentres       int
	onlineRate        float64 // online requests per second to the model service
	rateAmplitude     float64 // amplitude of the sinusoidal variation of onlineRate, as a share of it
	burstFactor       float64 // factor by which the rate is multiplied during a burst
	meanBurstGap      float64 // mean time between bursts, in seconds
	meanBurstLength   float64 // mean length of a burst, in seconds
	plainRate         float64 // requests per second to the plain service
	promptTemplates   int     // number of prompt prefixes that online requests share
	jobs              []jobProfile
	faults            []Event
	crashingRequestAt time.Duration // arrival of the request that crashes servers; zero for none
	targets           Targets
}

// jobProfile holds the parameters of one batch job.
type jobProfile struct {
	submittedAt time.Duration
	items       int
	// sharedPromptTokens is the length of the prompt prefix that all items share,
	// meanItemPromptTokens the mean length of the rest of the prompt.
	sharedPromptTokens, meanItemPromptTokens float64
	meanOutputTokens                         float64
	deadline                                 time.Duration // relative to the submission
	crashingItems                            int
}

// smallFleetSpeeds and largeFleetSpeeds are the speeds of the model servers in the
// kme and in the swanline traces.
var smallFleetSpeeds = []float64{1, 1, 1, 0.9, 0.8, 0.8, 0.7, 0.6, 0.5}

var largeFleetSpeeds = []float64{
	1.2, 1.2, 1.1, 1.1, 1, 1, 1, 1, 0.9, 0.9, 0.9, 0.8, 0.8, 0.8, 0.7, 0.7, 0.6, 0.5,
}

// batchTargets returns the targets that all traces have.
func batchTargets() Targets {
	return Targets{MaxP99Ratio: maxP99Ratio, MinIdleFillRatio: minIdleFillRatio, MaxWasteRatio: maxWasteRatio, MaxRefillDelay: maxRefillDelay}
}

// withOutageTargets adds the targets of a trace with a total outage.
func withOutageTargets(t Targets) Targets {
	t.MaxOutageLoadFactor, t.MaxRecoveryTime = maxOutageLoadFactor, maxRecoveryTime
	return t
}

// withCrashTargets adds the target of a trace with a crashing request.
func withCrashTargets(t Targets) Targets {
	t.MaxServersLost = maxServersLost
	return t
}

// profiles returns the profiles of the generated traces by name. Each scales a
// day of docs/design.md, section 1.1, down to ten minutes. The jobs hold more
// work than the fleet can finish, so that the share of idle capacity that is
// filled depends on the scheduling and not on the supply of work.
func profiles() map[string]profile {
	batchJobs := func(items int) []jobProfile {
		return []jobProfile{
			{0, items / 2, 600, 100, 220, 9 * time.Minute, 0},
			{20 * time.Second, items / 4, 450, 60, 120, 30 * time.Minute, 0},
			{90 * time.Second, items / 2, 700, 150, 300, 2 * time.Hour, 0},
		}
	}
	return map[string]profile{
		"kme-closing": {
			serverSpeeds: smallFleetSpeeds, plainServers: 4, instances: 10, dataCentres: 4,
			onlineRate: 12, rateAmplitude: 0.4, burstFactor: 1.4, meanBurstGap: 60, meanBurstLength: 8,
			plainRate: 10, promptTemplates: 12, jobs: batchJobs(20000), targets: batchTargets(),
			faults: []Event{
				{At: 150 * time.Second, Fault: Slow, Server: "m02", FaultDuration: 40 * time.Second, SlowdownFactor: 4},
				{At: 330 * time.Second, Fault: Crash, Server: "m05", FaultDuration: 20 * time.Second},
			},
		},
		"kme-quiet": {
			serverSpeeds: smallFleetSpeeds, plainServers: 4, instances: 10, dataCentres: 4,
			onlineRate: 3, rateAmplitude: 0.3, burstFactor: 2, meanBurstGap: 120, meanBurstLength: 5,
			plainRate: 2, promptTemplates: 12, jobs: batchJobs(24000), crashingRequestAt: 200 * time.Second,
			targets: withOutageTargets(withCrashTargets(batchTargets())),
			faults: []Event{
				{At: 400 * time.Second, Fault: Outage, Service: modelService, FaultDuration: 20 * time.Second},
			},
		},
		"swanline-day": {
			serverSpeeds: largeFleetSpeeds, plainServers: 3, instances: 12, dataCentres: 3,
			onlineRate: 22, rateAmplitude: 0.2, burstFactor: 2.5, meanBurstGap: 40, meanBurstLength: 6,
			plainRate: 15, promptTemplates: 20, jobs: batchJobs(36000), crashingRequestAt: 250 * time.Second,
			targets: withCrashTargets(batchTargets()),
			faults: []Event{
				{At: 120 * time.Second, Fault: Silent, Server: "m03"},
				{At: 420 * time.Second, Fault: Crash, Server: "m08", FaultDuration: 20 * time.Second},
			},
		},
		"swanline-night": {
			serverSpeeds: largeFleetSpeeds, plainServers: 3, instances: 12, dataCentres: 3,
			onlineRate: 3, rateAmplitude: 0.2, burstFactor: 4, meanBurstGap: 90, meanBurstLength: 4,
			plainRate: 1, promptTemplates: 20, jobs: batchJobs(48000), targets: withOutageTargets(batchTargets()),
			faults: []Event{
				{At: 100 * time.Second, Fault: Slow, Server: "m01", FaultDuration: 30 * time.Second, SlowdownFactor: 3},
				{At: 300 * time.Second, Fault: Outage, Service: modelService, FaultDuration: 20 * time.Second},
			},
		},
	}
}

// Generate returns the trace of that name for a seed. The result depends on the
// arguments alone.
func Generate(name string, seed uint64) (*Trace, error) {
	p, ok := profiles()[name]
	if !ok {
		return nil, fmt.Errorf("trace: no generated trace is named %q", name)
	}
	t := &Trace{Header: Header{
		Format: Format, Version: Version, Name: name, Seed: seed, Duration: traceDuration,
		Instances: p.instances, Targets: p.targets,
	}}
	t.Servers = p.servers()
	rng := rand.New(rand.NewPCG(seed, uint64(len(name))))
	t.Events = append(t.Events, p.faults...)
	t.Events = append(t.Events, p.onlineRequests(rng)...)
	t.Events = append(t.Events, p.plainRequests(rng)...)
	for i, j := range p.jobs {
		t.Events = append(t.Events, j.itemEvents(i, rng)...)
	}
	if p.crashingRequestAt > 0 {
		e := p.onlineRequest(p.crashingRequestAt, rng)
		e.CrashAtToken, e.Key = 5, CrashingKey
		t.Events = append(t.Events, e)
	}
	slices.SortStableFunc(t.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return t, nil
}

func (p profile) servers() []Server {
	var out []Server
	for i, speed := range p.serverSpeeds {
		out = append(out, Server{
			ID: fmt.Sprintf("m%02d", i), Service: modelService, DataCentre: fmt.Sprintf("dc%d", i%p.dataCentres),
			Speed: speed, Slots: modelServerSlots, KVTokens: serverKVTokens,
		})
	}
	for i := range p.plainServers {
		out = append(out, Server{
			ID: fmt.Sprintf("p%02d", i), Service: plainService, DataCentre: fmt.Sprintf("dc%d", i%p.dataCentres),
			Speed: 1, Slots: 32, KVTokens: serverKVTokens, Plain: true,
		})
	}
	return out
}

// onlineRequests returns the online requests to the model service. They arrive
// as a Poisson process with a rate that varies sinusoidally, two periods per
// trace, and is higher during bursts.
func (p profile) onlineRequests(rng *rand.Rand) []Event {
	var out []Event
	var burstEnd float64
	nextBurst := p.meanBurstGap * rng.ExpFloat64()
	peak := p.onlineRate * (1 + p.rateAmplitude) * p.burstFactor
	for at := 0.0; ; {
		at += rng.ExpFloat64() / peak
		if at >= traceDuration.Seconds() {
			return out
		}
		if at >= nextBurst {
			burstEnd = at + p.meanBurstLength*(0.5+rng.Float64())
			nextBurst = burstEnd + p.meanBurstGap*rng.ExpFloat64()
		}
		rate := p.onlineRate * (1 + p.rateAmplitude*math.Sin(2*math.Pi*at/traceDuration.Seconds()*2))
		if at < burstEnd {
			rate *= p.burstFactor
		}
		if rng.Float64()*peak < rate {
			out = append(out, p.onlineRequest(seconds(at), rng))
		}
	}
}

// onlineRequest returns a request to the model service with a random template
// and random sizes.
func (p profile) onlineRequest(at time.Duration, rng *rand.Rand) Event {
	template := rng.IntN(p.promptTemplates)
	prefix := 300 + 30*template
	return Event{
		At: at, Service: modelService, Class: Online,
		PromptTokens: prefix + logNormalSize(rng, 180, 0.8, 10, 1500), OutputTokens: logNormalSize(rng, 160, 0.6, 8, 700),
		Prefix: uint64(1000 + template), PrefixTokens: prefix, Deadline: modelDeadline,
		Workspace: fmt.Sprintf("w%d", template%5),
	}
}

// plainRequests returns the requests to the plain service, which arrive as a
// Poisson process of constant rate.
func (p profile) plainRequests(rng *rand.Rand) []Event {
	var out []Event
	for at := 0.0; ; {
		at += rng.ExpFloat64() / p.plainRate
		if at >= traceDuration.Seconds() {
			return out
		}
		out = append(out, Event{
			At: seconds(at), Service: plainService, Class: Online, PromptTokens: 1, OutputTokens: logNormalSize(rng, 8, 0.7, 1, 60),
			Deadline: 10 * time.Second, Workspace: "w0", NonIdempotent: rng.IntN(4) == 0,
		})
	}
}

// itemEvents returns the items of the job, which all arrive at its submission.
func (j jobProfile) itemEvents(jobIndex int, rng *rand.Rand) []Event {
	out := make([]Event, j.items)
	for i := range out {
		out[i] = Event{
			At: j.submittedAt, Service: modelService, Class: Batch,
			PromptTokens: int(j.sharedPromptTokens) + logNormalSize(rng, j.meanItemPromptTokens, 0.5, 5, 800),
			OutputTokens: logNormalSize(rng, j.meanOutputTokens, 0.5, 8, 900),
			Prefix:       uint64(9000 + jobIndex), PrefixTokens: int(j.sharedPromptTokens), Deadline: j.deadline,
			Job: fmt.Sprintf("job%d", jobIndex), Key: fmt.Sprintf("item%d", i), Workspace: fmt.Sprintf("w%d", jobIndex),
		}
	}
	return out
}

// logNormalSize draws a size from the log-normal distribution with the given mean,
// before rounding, and standard deviation of the logarithm, clamped to lower and
// upper.
func logNormalSize(rng *rand.Rand, mean, logStdDev float64, lower, upper int) int {
	v := math.Exp(math.Log(mean) - logStdDev*logStdDev/2 + logStdDev*rng.NormFloat64())
	return min(max(int(v), lower), upper)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
