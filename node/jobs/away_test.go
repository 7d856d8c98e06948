package jobs_test

import (
	"net/http"
	"testing"

	"github.com/jacinthnotch/jacinthnotch/node/exchange"
	"github.com/jacinthnotch/jacinthnotch/node/jobs"
	"github.com/jacinthnotch/jacinthnotch/platform"
	"github.com/jacinthnotch/jacinthnotch/standin/store"
)

// Guards against three calls for each write while no path to the store works: other
// partitions are tried only if some instance reaches the store.
func TestNoOtherPartitionWhileTheStoreIsAway(t *testing.T) {
	for _, away := range []bool{false, true} {
		s := store.New()
		s.SetFault(store.Unavailable, false)
		blobs := jobs.NewBlobStore(platform.NewStore(s.Address(), exchange.DialControl), jobs.BlobStoreOptions{
			RecordBytes: 64 << 10, CallBytes: 1 << 20, Partitions: 8, IsStoreAway: func() bool { return away },
		})
		if _, err := blobs.Write(t.Context(), 0, [][]byte{[]byte("x")}); err == nil {
			t.Fatal("a write succeeds without a store")
		}
		calls, want := s.CallCount(platform.PathAppend), 3
		if away {
			want = 1
		}
		if calls != want {
			t.Errorf("store away %v: %d calls for one write, want %d", away, calls, want)
		}
		s.Close()
	}
}

// Guards against jobs that are refused for a while after the store is back.
func TestJobIsAcceptedOnceTheStoreIsBack(t *testing.T) {
	c := newCluster(t)
	a := c.start("a", 1)
	submitJob(t, a, "before", "x")
	for _, job := range []string{"j", "k", "l"} {
		c.store.SetFault(store.Unavailable, false)
		if code, _ := a.call(jobs.Submit, job, submission("x"+job)); code != http.StatusServiceUnavailable {
			t.Fatalf("without a store: %d", code)
		}
		c.store.SetFault(store.NoFault, false)
		if code, raw := a.call(jobs.Submit, job, submission("x"+job)); code != http.StatusAccepted {
			t.Fatalf("the store is back: %d %s", code, raw)
		}
	}
}
