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
	// reportTimeout limits the wait for a crash report to be recorded. While the
	// log is down, only this instance's own reports take effect.
	reportTimeout = 2 * time.Second
	// sameCrashWindow is the time within which lost connections to one server count
	// as one crash.
	sameCrashWindow = time.Second
	// holdDuration is how long this instance holds back a request that has crashed
	// two servers, before and without a fleet-wide decision.
	holdDuration = 10 * time.Minute
	// maxHeld limits the number of requests held back by this instance.
	maxHeld = 1024
)

// suspects tracks requests that may crash servers and limits where they run.
type suspects struct {
	pool *Pool

	mu      sync.Mutex
	tracker *suspect.Tracker
	leases  map[string]*suspect.Lease
	crashes map[string]*crash
	held    map[string]time.Time
	nextID  uint64
}

type crash struct {
	at       time.Time
	recorded chan struct{}
}

func newSuspects(p *Pool) *suspects {
	return &suspects{pool: p, tracker: suspect.NewTracker(), leases: map[string]*suspect.Lease{},
		crashes: map[string]*crash{}, held: map[string]time.Time{}}
}

// verdict combines the fleet-wide quarantine with the crashes that this instance
// has seen.
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
			// A request of another instance may have been on the server, so only
			// the reports of the whole fleet show the cause.
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

// start records a dispatch and returns its id. It returns false if the request has
// to run alone and cannot do so on the server now.
func (x *suspects) start(now time.Time, server, fingerprint string, alone bool) (uint64, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if alone {
		gate := x.leases[server]
		if gate == nil {
			gate = new(suspect.Lease)
			x.leases[server] = gate
		}
		if !x.tracker.CanRun(now, server, fingerprint) || !gate.Acquire(now, fingerprint, suspectLeaseDuration) {
			return 0, false
		}
	}
	x.nextID++
	x.tracker.Started(x.nextID, server, fingerprint, 0)
	return x.nextID, true
}

func (x *suspects) progress(f *Dispatch, tokens int) bool {
	x.mu.Lock()
	cleared := x.tracker.Progress(time.Now(), f.suspectID, tokens)
	x.mu.Unlock()
	if cleared {
		x.cleared(f)
	}
	return cleared
}

func (x *suspects) finish(f *Dispatch, complete bool) {
	x.mu.Lock()
	cleared := x.tracker.Finished(f.suspectID, complete)
	if f.suspect && x.leases[f.Choice.Server] != nil {
		x.leases[f.Choice.Server].Release(f.fingerprint)
	}
	x.mu.Unlock()
	if cleared {
		x.cleared(f)
	}
}

func (x *suspects) cleared(f *Dispatch) {
	x.mu.Lock()
	if g := x.leases[f.Choice.Server]; g != nil {
		g.Release(f.fingerprint)
	}
	x.mu.Unlock()
	if x.pool.opts.Quarantine != nil {
		x.pool.opts.Quarantine.RanAlone([]byte(f.fingerprint))
	}
}

// ServerDied records the crash of the dispatch's server. It returns when the crash
// report has been recorded or reportTimeout has passed, so that no candidate is
// retried before that.
func (f *Dispatch) ServerDied(ctx context.Context) {
	f.group.pool.suspects.serverDied(ctx, f.Choice.Server)
}

func (x *suspects) serverDied(ctx context.Context, server string) {
	now := time.Now()
	x.mu.Lock()
	d := x.crashes[server]
	if d != nil && now.Sub(d.at) < sameCrashWindow {
		x.mu.Unlock()
		select {
		case <-d.recorded:
		case <-ctx.Done():
		}
		return
	}
	d = &crash{at: now, recorded: make(chan struct{})}
	x.crashes[server] = d
	report, ok := x.tracker.ServerDied(now, server)
	if ok && report.Certain && len(x.held) < maxHeld {
		x.held[report.Candidates[0]] = now.Add(holdDuration)
	}
	x.mu.Unlock()
	defer close(d.recorded)
	if !ok {
		return
	}
	m := x.pool.opts.Metrics
	m.CrashReports.Add(1)
	m.Suspects.Add(int64(len(report.Candidates)))
	klog.InfoS("server died with requests in flight", "server", server, "candidates", len(report.Candidates),
		"bystanders", report.Bystanders, "certain", report.Certain)
	x.pool.audit("crash-report", "", server, "server died with requests in flight", "", hexList(report.Candidates))
	if x.pool.opts.Quarantine == nil {
		return
	}
	// The report is recorded even if the caller of this request has disconnected.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	if err := x.pool.opts.Quarantine.Report(ctx, report); err != nil {
		klog.InfoS("recording crash report failed", "server", server, "err", err)
	}
}

func hexList(fingerprints []string) string {
	const digits, maxListed = "0123456789abcdef", 8
	var b strings.Builder
	for i, f := range fingerprints {
		if i == maxListed {
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
