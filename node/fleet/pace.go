package fleet

import (
	"expvar"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/policy/pace"
)

// paceMetrics counts what servers state of their pace.
type paceMetrics struct{ statements, spells expvar.Int }

// PaceMetrics returns the number of statements of their pace that servers made to this instance, of
// slow spells that began by them, and of servers that are slow now.
func (v *View) PaceMetrics() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("statements", &v.paces.statements)
	m.Set("slow_spells", &v.paces.spells)
	m.Set("slow_servers", expvar.Func(func() any {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.table.SlowServers(time.Now())
	}))
	return m
}

// recordPace records what a server states of itself to this instance.
func (v *View) recordPace(server string, statement pace.Statement) {
	v.paces.statements.Add(1)
	v.mu.Lock()
	defer v.mu.Unlock()
	change := v.table.RecordPace(server, statement)
	if change.Began {
		v.paces.spells.Add(1)
	}
	if change.Began || change.Ended {
		klog.V(2).InfoS("pace of a server", "server", server, "pace", statement.Pace)
	}
	if change.Report {
		v.notifyLoadChange()
	}
}

// HasUnreportedPaces reports whether there are statements for TakePaces.
func (v *View) HasUnreportedPaces() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.HasUnreportedPaces()
}

// TakePaces returns the statements of servers to this instance that it has to report.
func (v *View) TakePaces() map[string]pace.Statement {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.TakePaces(time.Now())
}

// UpdatePeerPaces records the statements of servers that a peer reports.
func (v *View) UpdatePeerPaces(list map[string]pace.Statement) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.UpdatePeerPaces(list)
}
