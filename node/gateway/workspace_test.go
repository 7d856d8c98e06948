package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/domain/workspace"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// setKeys puts a revision with workspaces in force: the map gives the key of each.
func (f *fakeFleet) setKeys(keys map[string]string) {
	next := *f.view.Revision()
	next.Version++
	var definitions []workspace.Definition
	for name, key := range keys {
		definitions = append(definitions, workspace.Definition{Workspace: workspace.Workspace{Name: name}, Keys: []string{key}})
	}
	next.Workspaces, _ = workspace.NewDirectory(definitions)
	next.Index()
	f.view.ApplyConfig([]port.Entry[serving.Revision]{{Key: "c", Value: &next}}, true)
}

// Guards against a key that reaches a server, on the first send or a later one, and against a
// workspace that the caller chooses itself.
func TestServersLearnTheWorkspaceAndNoKey(t *testing.T) {
	f := newFleet(t, 3, safeRoute(), func(c net.Conn, _ *http.Request, n int) {
		if n == 0 {
			fmt.Fprint(c, fullResponse(http.StatusInternalServerError, "", "Signature", "s"))
			return
		}
		fmt.Fprint(c, fullResponse(http.StatusOK, "done", "Signature", "s"))
	})
	f.setKeys(map[string]string{"studio": "k1", "other": "k2"})
	if response, _, err := f.send(t, "Key", "k1", "Workspace", "other"); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("%v %v", response, err)
	}
	if f.count() != 2 {
		t.Fatalf("%d sends, want a first one and a retry", f.count())
	}
	for i, r := range f.requests {
		if r.Header.Get("Key") != "" || r.Header.Get("Workspace") != "studio" {
			t.Errorf("send %d has the headers %v", i, r.Header)
		}
	}
}

// Guards against a request without a known key that runs, and against a removed key that still
// lets callers in.
func TestUnknownKeysAreRefused(t *testing.T) {
	f := newFleet(t, 1, safeRoute(), func(c net.Conn, _ *http.Request, _ int) {
		fmt.Fprint(c, fullResponse(http.StatusOK, "done", "Signature", "s"))
	})
	f.setKeys(map[string]string{"studio": "old"})
	f.setKeys(map[string]string{"studio": "new"})
	for _, header := range [][]string{nil, {"Key", ""}, {"Key", "old"}, {"Key", "new,old"}} {
		if response, _, err := f.send(t, header...); err != nil || response.StatusCode != http.StatusUnauthorized {
			t.Errorf("key %q: %v %v", header, response, err)
		}
	}
	if f.count() != 0 {
		t.Errorf("%d requests ran", f.count())
	}
	if response, _, err := f.send(t, "Key", "new"); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("known key: %v %v", response, err)
	}
}

// Guards against a list of prompt segments that does not fit into a datagram to a hub, and against
// one that loses the segment by which sessions are told apart.
func TestLongPromptsAreCut(t *testing.T) {
	var request serving.Request
	for i := range 5000 {
		request.Prompt = append(request.Prompt, serving.PromptSegment{ID: fmt.Sprint(i), Tokens: int64(i)})
	}
	segments := PromptSegments(&request)
	if n := len(segments); n > maxPromptSegments || segments[0].Tokens != 0 || segments[n-1].Tokens != 4999 {
		t.Errorf("%d segments: %v", len(segments), segments)
	}
	if parts := SharedParts(&request); len(parts) > maxSharedParts {
		t.Errorf("%d shared parts", len(parts))
	}
}

// Guards against a public route that asks for keys, and against a caller that names a workspace
// there.
func TestPublicRouteTakesAnyKey(t *testing.T) {
	route := safeRoute()
	route.Public = true
	f := newFleet(t, 1, route, func(c net.Conn, _ *http.Request, _ int) {
		fmt.Fprint(c, fullResponse(http.StatusOK, "done", "Signature", "s"))
	})
	f.setKeys(map[string]string{"studio": "k1"})
	for i, c := range []struct{ key, workspace string }{{"", ""}, {"unknown", ""}, {"k1", "studio"}} {
		if response, _, err := f.send(t, "Key", c.key, "Workspace", "other"); err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("key %q: %v %v", c.key, response, err)
		}
		if h := f.requests[i].Header; h.Get("Workspace") != c.workspace || h.Get("Key") != "" {
			t.Errorf("key %q: server got %v", c.key, h)
		}
	}
}
