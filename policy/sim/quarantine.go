package sim

import (
	"fmt"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/suspect"
)

// quarantine stands in for the fleet-wide quarantine: a fingerprint that was a candidate in
// two crashes does not run again. A new entry reaches the instances after quarantineDelay.
type quarantine struct {
	sim           *simulation
	crashes       map[string]map[string]bool // crashes by fingerprint; a crash is named by server and time
	candidates    map[string][]string        // fingerprints by crash
	quarantined   map[string]bool            // fingerprints in force
	suspectLeases map[string]*suspect.Lease  // by server ID
}

// quarantineDelay is the time from the report that quarantines a fingerprint until the
// entry is in force on the instances.
const quarantineDelay = 200 * time.Millisecond

func newQuarantine(s *simulation) *quarantine {
	return &quarantine{
		sim: s, crashes: map[string]map[string]bool{}, candidates: map[string][]string{}, quarantined: map[string]bool{},
		suspectLeases: map[string]*suspect.Lease{},
	}
}

// suspectLease returns the lease of a server, with which one suspect at a time runs there.
func (q *quarantine) suspectLease(server string) *suspect.Lease {
	if q.suspectLeases[server] == nil {
		q.suspectLeases[server] = &suspect.Lease{}
	}
	return q.suspectLeases[server]
}

// recordReport records a crash report: its candidates become suspects on all instances,
// and those with a second crash are quarantined.
func (q *quarantine) recordReport(r suspect.CrashReport) {
	q.sim.after(crashReportDelay, func() {
		crash := fmt.Sprint(r.Server, r.At)
		for _, f := range r.Candidates {
			for _, x := range q.sim.instances {
				x.suspects.MarkSuspect(q.sim.wallTime(), f)
			}
			if q.crashes[f] == nil {
				q.crashes[f] = map[string]bool{}
			}
			q.crashes[f][crash] = true
			q.candidates[crash] = append(q.candidates[crash], f)
			if len(q.crashes[f]) == 2 {
				q.add(f)
			}
		}
		for _, f := range r.Withdrawn {
			q.clearSuspect(f)
		}
	})
}

// add quarantines a fingerprint and clears the other candidates of the crashes that it
// explains.
func (q *quarantine) add(f string) {
	q.sim.stats.quarantinedKeys = append(q.sim.stats.quarantinedKeys, f)
	q.sim.after(quarantineDelay, func() {
		q.quarantined[f] = true
		for crash := range q.crashes[f] {
			for _, o := range q.candidates[crash] {
				if o != f {
					q.clearSuspect(o)
				}
			}
		}
	})
}

// clearSuspect clears a fingerprint of suspicion on all instances.
func (q *quarantine) clearSuspect(f string) {
	delete(q.crashes, f)
	for _, x := range q.sim.instances {
		x.suspects.Clear(f)
		x.updateSuspectServers()
	}
}
