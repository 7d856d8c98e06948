package workspacequota

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/workspace"
)

// The size of the fleet that is planned for.
const (
	benchInstances, benchWorkspaces = 390, 560
	benchRequests                   = 3200 // a second
)

// fill puts five seconds of requests into a hub's table.
func fill() (*Table, time.Time) {
	t, now := NewTable(epoch, 1), epoch
	for i := range 5 * benchRequests {
		now = now.Add(time.Second / benchRequests)
		t.RecordGrant(now, fmt.Sprint("n", i%benchInstances), uint64(i), uint32(i*7%benchWorkspaces))
	}
	return t, now
}

// BenchmarkDecide measures a hub's decision on a request with its grant.
func BenchmarkDecide(b *testing.B) {
	t, now := fill()
	q, n := workspace.Quota{Rate: 1e6, Burst: 1e6}, 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second / benchRequests)
		n++
		w := uint32(n % benchWorkspaces)
		if t.Decide(now, w, q, Role{}).Allowed {
			t.RecordGrant(now, "n1", uint64(n), w)
			t.DropGrant(now, "n1", uint64(n))
		}
	}
}

// BenchmarkApply measures a report of eight workspaces at a hub.
func BenchmarkApply(b *testing.B) {
	t, now := fill()
	r := &Report{Instance: "n1", Incarnation: 1, Uptime: time.Minute, Counts: make([]Count, 8)}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		for i := range r.Counts {
			r.Counts[i] = Count{Workspace: uint32(i), Total: r.Counts[i].Total + 1}
		}
		t.Apply(now, r)
	}
}

// Guards against a hub's table that grows beyond 8 MB of the 32 MB of an instance.
func TestMemoryOfAHub(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table, now := fill()
	for i := range benchInstances {
		r := &Report{Instance: fmt.Sprint("n", i), Incarnation: 1, Uptime: time.Minute, Full: true}
		for w := range 100 {
			r.Counts = append(r.Counts, Count{Workspace: uint32((i + w*5) % benchWorkspaces), Total: 1, Recent: []uint32{1}})
		}
		table.Apply(now, r)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytes := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d KB", bytes>>10)
	if bytes > 8<<20 {
		t.Errorf("%d bytes", bytes)
	}
	runtime.KeepAlive(table)
}
