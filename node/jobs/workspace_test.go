package jobs_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/jacinthnotch/jacinthnotch/domain/workspace"
	"github.com/jacinthnotch/jacinthnotch/node/jobs"
)

// newSharedCluster returns a cluster of two workspaces, studio with the keys s1 and s2, and yard
// with the key y1.
func newSharedCluster(t *testing.T) *cluster {
	c := newCluster(t)
	c.workspaces, _ = workspace.NewDirectory([]workspace.Definition{
		{Workspace: workspace.Workspace{Name: "studio"}, Keys: []string{"s1", "s2"}},
		{Workspace: workspace.Workspace{Name: "yard"}, Keys: []string{"y1"}},
	})
	return c
}

// Guards against callers who read or end a job of another workspace, or learn that it exists, and
// against a workspace that loses its job with the key that submitted it.
func TestJobsBelongToTheirWorkspace(t *testing.T) {
	c := newSharedCluster(t)
	a, b := c.start("a", 1), c.start("b", 2)
	held := make(chan struct{})
	c.server.respond = func(net.Conn, *http.Request, int) bool { <-held; return false }
	defer close(held)
	for _, key := range []string{"", "unknown"} {
		if code, _ := a.call(jobs.Submit, "j", submission("x"), "Key", key); code != http.StatusUnauthorized {
			t.Errorf("submission with the key %q: %d", key, code)
		}
	}
	if code, _ := a.call(jobs.Submit, "j", submission("x"), "Key", "s1"); code != http.StatusAccepted {
		t.Fatalf("submission: %d", code)
	}
	for _, want := range []struct {
		kind jobs.CallKind
		key  string
		code int
	}{
		{jobs.ReadResults, "s2", http.StatusOK}, {jobs.ReadItem, "s2", http.StatusOK}, {jobs.Submit, "s2", http.StatusAccepted},
		{jobs.ReadResults, "y1", http.StatusNotFound}, {jobs.ReadItem, "y1", http.StatusNotFound}, {jobs.End, "y1", http.StatusNotFound},
		{jobs.Submit, "y1", http.StatusConflict},
		{jobs.ReadResults, "gone", http.StatusUnauthorized}, {jobs.End, "", http.StatusUnauthorized},
		{jobs.End, "s2", http.StatusOK},
	} {
		for _, i := range []*instance{a, b} {
			if code, raw := i.call(want.kind, "j", submission("x"), "Key", want.key, "Item", "x"); code != want.code {
				t.Errorf("%v at %s with the key %q: %d %s, want %d", want.kind, i.name, want.key, code, raw, want.code)
			}
			if want.kind == jobs.Submit {
				break // at the other instance the answer depends on what that has read
			}
		}
	}
	if code, _ := a.call(jobs.ReadResults, "none", nil, "Key", "gone"); code != http.StatusUnauthorized {
		t.Errorf("job that does not exist, unknown key: %d", code)
	}
}

// Guards against items that run for no workspace, or with what their submission says in a
// header, also at an instance that takes the job over.
func TestItemsRunForTheirWorkspace(t *testing.T) {
	c := newSharedCluster(t)
	a := c.start("a", 1)
	requests := make(chan http.Header, 8)
	c.server.respond = func(_ net.Conn, r *http.Request, _ int) bool {
		requests <- r.Header
		return false
	}
	items := []byte(`[{"id":"x","path":"/b/x","headers":{"Key":"s1","Workspace":"yard"},"body":"Ym9keQ==","tokens":1}]`)
	if code, raw := a.call(jobs.Submit, "j", items, "Key", "s1"); code != http.StatusAccepted {
		t.Fatalf("submission: %d %s", code, raw)
	}
	if h := <-requests; h.Get("Workspace") != "studio" || h.Get("Key") != "" {
		t.Errorf("the server got %v", h)
	}
}
