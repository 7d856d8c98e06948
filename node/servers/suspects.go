package servers

import (
	"context"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/quarantine"
	"github.com/jacinthnotch/jacinthnotch/policy/suspect"
)

const (
	// reportTimeout bounds the wait for a crash report to be recorded. While the
	// log is down the reports of this instance alone decide.
	reportTimeout = 2 * time.Second
	// sameDeath is the time in which the losses of one server's connections
	// count as one death.
	sameDeath = time.Second
	// heldFor is how long a request that has crashed two servers is held back by
	// this instance alone, before and without a decision of the fleet.
	heldFor = 10 * time.Minute
	// maxHeld bounds the requests held back by this instance alone.
	maxHeld = 1024
)

// suspects contains requests that crash servers.
type suspects struct {
	pool *Pool

	mu      sync.Mutex
	tracker *suspect.Tracker
	gates   map[string]*suspect.Lease
	deaths  map[string]*death
	held    map[string]time.Time
	nextID  uint64
}

type death struct {
	at       time.Time
	recorded chan struct{}
}

func newSuspects(p *Pool) *suspects {
	return &suspects{pool: p, tracker: suspect.NewTracker(), gates: map[string]*suspect.Lease{},
		deaths: map[string]*death{}, held: map[string]time.Time{}}
}

// verdict joins the fleet's record and what this instance has seen itself.
func (x *suspects) verdict(fingerprint string) quarantine.Verdict {
	v := quarantine.Clear
	if x.pool.opts.Quarantine != nil {
		v = x.pool.opts.Quarantine.Verdict([]byte(fingerprint))
	}
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if until, ok := x.held[fingerprint]; ok {
		if !now.Before(until) {
			delete(x.held, fingerprint)
		} else if v != quarantine.Quarantined {
			// Another instance's request may have been on the server, so that only
			// the reports of the fleet show the cause.
			return quarantine.Held
		}
	}
	if v == quarantine.Suspect {
		x.tracker.MarkSuspect(now, fingerprint)
	}
	if v == quarantine.Clear && x.tracker.IsSuspect(now, fingerprint) {
		return quarantine.Suspect
	}
	return v
}

// start records a dispatch; false when the suspect may not start there now.
func (x *suspects) start(now time.Time, server, fingerprint string, alone bool) (uint64, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if alone {
		gate := x.gates[server]
		if gate == nil {
			gate = new(suspect.Lease)
			x.gates[server] = gate
		}
		if !x.tracker.CanRun(now, server, fingerprint) || !gate.Acquire(now, fingerprint, suspectLimit) {
			return 0, false
		}
	}
	x.nextID++
	x.tracker.Started(x.nextID, server, fingerprint, 0)
	return x.nextID, true
}

func (x *suspects) progress(f *Dispatch, tokens int) bool {
	x.mu.Lock()
	cleared := x.tracker.Progress(time.Now(), f.id, tokens)
	x.mu.Unlock()
	if cleared {
		x.cleared(f)
	}
	return cleared
}

func (x *suspects) finish(f *Dispatch, complete bool) {
	x.mu.Lock()
	cleared := x.tracker.Finished(f.id, complete)
	if f.suspect && x.gates[f.Choice.Server] != nil {
		x.gates[f.Choice.Server].Release(f.fingerprint)
	}
	x.mu.Unlock()
	if cleared {
		x.cleared(f)
	}
}

func (x *suspects) cleared(f *Dispatch) {
	x.mu.Lock()
	if g := x.gates[f.Choice.Server]; g != nil {
		g.Release(f.fingerprint)
	}
	x.mu.Unlock()
	if x.pool.opts.Quarantine != nil {
		x.pool.opts.Quarantine.RanAlone([]byte(f.fingerprint))
	}
}

// ServerDied records the death of the flight's server and returns when the crash
// report was recorded, so that no candidate runs again before that.
func (f *Dispatch) ServerDied(ctx context.Context) { f.group.pool.suspects.died(ctx, f.Choice.Server) }

func (x *suspects) died(ctx context.Context, server string) {
	now := time.Now()
	x.mu.Lock()
	d := x.deaths[server]
	if d != nil && now.Sub(d.at) < sameDeath {
		x.mu.Unlock()
		select {
		case <-d.recorded:
		case <-ctx.Done():
		}
		return
	}
	d = &death{at: now, recorded: make(chan struct{})}
	x.deaths[server] = d
	report, ok := x.tracker.ServerDied(now, server)
	if ok && report.Certain && len(x.held) < maxHeld {
		x.held[report.Candidates[0]] = now.Add(heldFor)
	}
	x.mu.Unlock()
	defer close(d.recorded)
	if !ok {
		return
	}
	m := x.pool.opts.Metrics
	m.CrashReports.Add(1)
	m.Suspects.Add(int64(len(report.Candidates)))
	klog.InfoS("Server died with requests in flight", "server", server, "candidates", len(report.Candidates),
		"bystanders", report.Bystanders, "certain", report.Certain)
	x.pool.audit("crash-report", "", server, "server died with requests in flight", "", hexList(report.Candidates))
	if x.pool.opts.Quarantine == nil {
		return
	}
	// The report is recorded even if the caller of this request has gone.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	if err := x.pool.opts.Quarantine.Report(ctx, report); err != nil {
		klog.InfoS("Crash report not recorded", "server", server, "err", err)
	}
}

func hexList(fingerprints []string) string {
	const digits, most = "0123456789abcdef", 8
	var b strings.Builder
	for i, f := range fingerprints {
		if i == most {
			b.WriteString(" ...")
			break
		}
		if i > 0 {
			b.WriteByte(' ')
		}
		for _, c := range []byte(f) {
			b.WriteByte(digits[c>>4])
			b.WriteByte(digits[c&15])
		}
	}
	return b.String()
}
