package jobs

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// Guards against a long item that waits behind the short items of its job until it cannot
// be completed in time, and against an old job that waits behind a new one after a restart
// of all instances.
func TestItemWithLeastSlackComesFirst(t *testing.T) {
	r := testRunner("a")
	r.View = fleet.NewView(rand.New(rand.NewPCG(1, 2)))
	route := &serving.Route{Host: "h", PathPrefix: "/b/", Kind: serving.Batch, DueAfter: 18 * time.Second, Targets: []serving.Target{{Service: "svc"}}}
	revision := &serving.Revision{Version: 1, Routes: []*serving.Route{route}}
	revision.Index()
	r.View.ApplyConfig([]port.Entry[serving.Revision]{{Key: "c", Value: revision}}, true)
	// The instance has just started and reads both acceptances together.
	now := time.Now()
	table := joblog.NewTable()
	for offset, a := range []*joblog.Accepted{
		{Job: "new", At: now.Add(-time.Second).UnixMilli(), Items: 3, Tokens: []int64{500, 2500, 600}},
		{Job: "old", At: now.Add(-9 * time.Second).UnixMilli(), Items: 2, Tokens: []int64{400, 300}},
	} {
		a.Host, a.Path, a.Holder = "h", "/b/x", r.Self
		raw, err := (&joblog.Record{Accepted: a}).Encode()
		if err != nil {
			t.Fatal(err)
		}
		table.Apply(now, int64(offset), raw)
	}
	var jobs []joblog.Job
	table.ForEach(func(j *joblog.Job) { jobs = append(jobs, *j) })
	r.update(now, jobs, nil)
	var order []int64
	for _, c := range r.startable(now) {
		order = append(order, c.job.Tokens[c.index])
	}
	want := []int64{400, 300, 2500, 600, 500}
	for i := range want {
		if len(order) != len(want) || order[i] != want[i] {
			t.Fatalf("order %v, want %v", order, want)
		}
	}
}
