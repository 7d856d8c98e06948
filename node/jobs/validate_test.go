package jobs_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/jacinthnotch/jacinthnotch/node/jobs"
)

// Guards against an item that makes a server run a second request, or a request that nobody
// sent, and against jobs that are accepted in part.
func TestInvalidItemsAreRefused(t *testing.T) {
	s := newCluster(t)
	a := s.start("a", 1)
	for name, item := range map[string]jobs.Item{
		"CR LF in the path":      {ID: "y", Path: "/b/y HTTP/1.1\r\nHost: h\r\n\r\nGET /other"},
		"space in the path":      {ID: "y", Path: "/b/y HTTP/1.1"},
		"no path":                {ID: "y"},
		"not a path":             {ID: "y", Path: "b/y"},
		"absolute URL":           {ID: "y", Path: "http://h/b/y"},
		"fragment":               {ID: "y", Path: "/b/y#z"},
		"bad escape":             {ID: "y", Path: "/b/%zz"},
		"beyond ASCII":           {ID: "y", Path: "/b/ü"},
		"no id":                  {Path: "/b/y"},
		"CR LF in the id":        {ID: "y\r\nOther: z", Path: "/b/y"},
		"header name":            {ID: "y", Path: "/b/y", Header: map[string]string{"A: b\r\nC": "d"}},
		"header value":           {ID: "y", Path: "/b/y", Header: map[string]string{"A": "b\r\nC: d"}},
		"header twice":           {ID: "y", Path: "/b/y", Header: map[string]string{"Model": "m", "model": "n"}},
		"length":                 {ID: "y", Path: "/b/y", Header: map[string]string{"content-length": "4"}},
		"transfer coding":        {ID: "y", Path: "/b/y", Header: map[string]string{"Transfer-Encoding": "chunked"}},
		"host":                   {ID: "y", Path: "/b/y", Header: map[string]string{"Host": "other"}},
		"header of the system":   {ID: "y", Path: "/b/y", Header: map[string]string{"expect-server": "s9"}},
		"header of a connection": {ID: "y", Path: "/b/y", Header: map[string]string{"Connection": "close"}},
	} {
		raw, err := json.Marshal([]jobs.Item{{ID: "x", Path: "/b/x?q=%20&r"}, item})
		if err != nil {
			t.Fatal(err)
		}
		code, body := a.call(jobs.Submit, "j", raw)
		if code != http.StatusBadRequest || !strings.Contains(string(body), "item 1: ") {
			t.Errorf("%s: %d %s", name, code, body)
		}
	}
	if code, _ := a.call(jobs.ReadResults, "j", nil); code != http.StatusNotFound || s.server.count("x") > 0 {
		t.Errorf("a part of a refused job was accepted: status %d", code)
	}
	submitJob(t, a, "j", "x")
	checkResults(t, a.awaitResults("j", 1), "x")
}
