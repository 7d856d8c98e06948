package gateway

import (
	"testing"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
)

// Guards against requests that wait until their deadline although no server can hold them, and
// against requests that a server could have run being refused unasked.
func TestOversizedRequest(t *testing.T) {
	revision := &serving.Revision{Services: map[string]*serving.Service{
		"small": {Engine: &serving.Engine{KVCacheTokens: 1000}}, "large": {Engine: &serving.Engine{KVCacheTokens: 5000}}, "plain": {},
	}}
	for name, c := range map[string]struct {
		services            []string
		prompt, output      int64
		sentCount, runCount int
		want                bool
	}{
		"fits":                        {[]string{"small"}, 900, 100, 1, 0, false},
		"the prompt is too large":     {[]string{"small"}, 1001, 0, 0, 0, true},
		"fits another service":        {[]string{"small", "large"}, 1001, 0, 0, 0, false},
		"with its output, not asked":  {[]string{"small"}, 900, 200, 0, 0, false},
		"with its output, refused":    {[]string{"small"}, 900, 200, 1, 0, true},
		"with its output, it ran":     {[]string{"small"}, 900, 200, 1, 1, false},
		"a service without an engine": {[]string{"plain"}, 1001, 0, 0, 0, false},
		"an unknown service":          {[]string{"none"}, 1001, 0, 0, 0, false},
		"no service":                  {nil, 1001, 0, 0, 0, false},
	} {
		route := &serving.Route{}
		for _, s := range c.services {
			route.Targets = append(route.Targets, serving.Target{Service: s})
		}
		call := &call{revision: revision, route: route, sentCount: c.sentCount, runCount: c.runCount}
		call.request.PromptTokens, call.request.OutputTokens = c.prompt, c.output
		if got := call.exceedsServers(); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
