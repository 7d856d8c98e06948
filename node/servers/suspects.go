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

// crash is the last crash of a server that this instance has seen.
type crash struct {
	at       time.Time
	recorded chan struct{} // closed when the report is recorded or has failed
}

func newSuspects(p *Pool) *suspects {
	return &suspects{pool: p, tracker: suspect.NewTracker(), leases: map[string]*suspect.Lease{},
		crashes: map[string]*crash{}, held: map[string]time.Time{}}
}

// verdict combines the fleet-wide quarantine with the crashes that this instance
// has seen.
func (s *suspects) verdict(fingerprint string) quarantine.Verdict {
	v := quarantine.Clear
	if s.pool.opts.Quarantine != nil {
		v = s.pool.opts.Quarantine.Verdict([]byte(fingerprint))
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if until, ok := s.held[fingerprint]; ok {
		if !now.Before(until) {
			delete(s.held, fingerprint)
		} else if v != quarantine.Quarantined {
			// A request of another instance may have been on the server, so only
			// the reports of the whole fleet show the cause.
			return quarantine.Held
		}
	}
	if v == quarantine.Suspect {
		s.tracker.MarkSuspect(now, fingerprint)
	}
	if v == quarantine.Clear && s.tracker.IsSuspect(now, fingerprint) {
		return quarantine.Suspect
	}
	return v
}

// start records a dispatch and returns its id. It returns false if the request has
// to run alone and cannot do so on the server now.
func (s *suspects) start(now time.Time, server, fingerprint string, alone bool) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if alone {
		lease := s.leases[server]
		if lease == nil {
			lease = new(suspect.Lease)
			s.leases[server] = lease
		}
		if !s.tracker.CanRun(now, server, fingerprint) || !lease.Acquire(now, fingerprint, suspectLeaseDuration) {
			return 0, false
		}
	}
	s.nextID++
	s.tracker.Started(s.nextID, server, fingerprint, 0)
	return s.nextID, true
}

// progress records the output tokens of a dispatch and reports whether they clear the
// request of suspicion.
func (s *suspects) progress(d *Dispatch, tokens int) bool {
	s.mu.Lock()
	cleared := s.tracker.Progress(time.Now(), d.suspectID, tokens)
	s.mu.Unlock()
	if cleared {
		s.cleared(d)
	}
	return cleared
}

func (s *suspects) finish(d *Dispatch, complete bool) {
	s.mu.Lock()
	cleared := s.tracker.Finished(d.suspectID, complete)
	if d.suspect && s.leases[d.Choice.Server] != nil {
		s.leases[d.Choice.Server].Release(d.fingerprint)
	}
	s.mu.Unlock()
	if cleared {
		s.cleared(d)
	}
}

// cleared releases the lease of a request that ran alone and was cleared of suspicion,
// and reports the run to the quarantine.
func (s *suspects) cleared(d *Dispatch) {
	s.mu.Lock()
	if lease := s.leases[d.Choice.Server]; lease != nil {
		lease.Release(d.fingerprint)
	}
	s.mu.Unlock()
	if s.pool.opts.Quarantine != nil {
		s.pool.opts.Quarantine.RanAlone([]byte(d.fingerprint))
	}
}

// ServerDied records the crash of the dispatch's server. It returns when the crash
// report has been recorded or reportTimeout has passed, so that no candidate is
// retried before that.
func (d *Dispatch) ServerDied(ctx context.Context) {
	d.group.pool.suspects.serverDied(ctx, d.Choice.Server)
}

func (s *suspects) serverDied(ctx context.Context, server string) {
	now := time.Now()
	s.mu.Lock()
	c := s.crashes[server]
	if c != nil && now.Sub(c.at) < sameCrashWindow {
		s.mu.Unlock()
		select {
		case <-c.recorded:
		case <-ctx.Done():
		}
		return
	}
	c = &crash{at: now, recorded: make(chan struct{})}
	s.crashes[server] = c
	report, ok := s.tracker.ServerDied(now, server)
	if ok && report.Certain && len(s.held) < maxHeld {
		s.held[report.Candidates[0]] = now.Add(holdDuration)
	}
	s.mu.Unlock()
	defer close(c.recorded)
	if !ok {
		return
	}
	m := s.pool.opts.Metrics
	m.CrashReports.Add(1)
	m.Suspects.Add(int64(len(report.Candidates)))
	klog.InfoS("server died with requests in flight", "server", server, "candidates", len(report.Candidates),
		"bystanders", report.Bystanders, "certain", report.Certain)
	s.pool.audit("crash-report", "", server, "server died with requests in flight", "", hexList(report.Candidates))
	if s.pool.opts.Quarantine == nil {
		return
	}
	// The report is recorded even if the caller of this request has disconnected.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	if err := s.pool.opts.Quarantine.Report(ctx, report); err != nil {
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
