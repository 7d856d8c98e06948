package jobs_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/jacinthnotch/jacinthnotch/node/jobs"
	"github.com/jacinthnotch/jacinthnotch/platform"
)

// Guards against one call to the store for each result of a job that is read at an instance which
// does not have the outputs.
func TestResultsAreReadWithFewCalls(t *testing.T) {
	const items, maxCalls = 60, 20
	s := newCluster(t)
	a := s.start("a", 1)
	var ids []string
	for n := range items {
		ids = append(ids, fmt.Sprint("i", n))
	}
	submitJob(t, a, "j", ids...)
	a.awaitResults("j", items)
	b := s.start("b", 2)
	waitFor(t, func() bool {
		code, _ := b.call(jobs.ReadResults, "j", nil, "From", fmt.Sprint(items))
		return code == http.StatusOK
	})
	before := s.store.CallCount(platform.PathRead)
	checkResults(t, b.awaitResults("j", items), ids...)
	if calls := s.store.CallCount(platform.PathRead) - before; calls > maxCalls {
		t.Errorf("%d calls to read %d results, want at most %d", calls, items, maxCalls)
	}
}
