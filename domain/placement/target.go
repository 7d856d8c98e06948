package placement

import (
	"math"
	"slices"
	"sort"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
)

// assignment is what a server should hold. With an empty model the server is not
// changed.
type assignment struct {
	model    string
	role     string
	adapters []string
}

// serverQuotas returns how many of n servers each model of the service gets. Models with
// a fixed number of replicas come first. The other servers are divided by the
// configured shares, or equally without any, with the largest remainder method.
func serverQuotas(doc *config.Document, service string, n int) map[string]int {
	models := doc.ModelsOf(service)
	shares := doc.CapacityOf(service).ServerShares
	out := make(map[string]int, len(models))
	remaining := n
	var shared []string
	for _, m := range models {
		if r := doc.Models[m].Replicas; r > 0 {
			out[m] = min(r, remaining)
			remaining -= out[m]
		} else if len(shares) == 0 || shares[m] > 0 {
			shared = append(shared, m)
		}
	}
	fraction := make(map[string]float64, len(shared))
	exactTotal, assigned, available := 0.0, 0, remaining
	for _, m := range shared {
		exact := float64(available) / float64(len(shared))
		if len(shares) > 0 {
			exact = min(shares[m]*float64(n), float64(available))
		}
		exactTotal += exact
		out[m] = int(math.Floor(exact + 1e-9))
		fraction[m] = exact - float64(out[m])
		assigned += out[m]
	}
	sort.SliceStable(shared, func(i, j int) bool { return fraction[shared[i]] > fraction[shared[j]] })
	for i := 0; i < len(shared) && assigned < min(available, int(math.Round(exactTotal))); i++ {
		out[shared[i]]++
		assigned++
	}
	// The sum of replicas and shares can exceed the number of servers.
	for i := len(models) - 1; i >= 0 && assigned > available; i-- {
		if doc.Models[models[i]].Replicas == 0 {
			cut := min(out[models[i]], assigned-available)
			out[models[i]] -= cut
			assigned -= cut
		}
	}
	return out
}

// expectedModel returns the model that the server holds or, with a pending load, was
// told to load.
func (s *server) expectedModel() string {
	if s.pending != nil && s.pending.order.Kind == LoadModel {
		return s.pending.order.Model
	}
	return s.state.Model
}

// expectedRole returns the role that the server has or was told to change to.
func (s *server) expectedRole() string {
	if s.pending != nil && s.pending.order.Kind == SetRole {
		return s.pending.order.Role
	}
	return s.state.Role
}

// expectsAdapter reports whether the server has an adapter or was told to load it.
func (s *server) expectsAdapter(adapter string) bool {
	if s.pending != nil && s.pending.order.Kind == LoadAdapter && s.pending.order.Adapter == adapter {
		return true
	}
	return slices.Contains(s.state.Adapters, adapter)
}

// assignServers assigns the servers to the models. Servers keep what they hold where the
// quotas allow it, so that a change of the configuration changes few of them.
func assignServers(doc *config.Document, service string, servers []*server) map[string]*assignment {
	quota := serverQuotas(doc, service, len(servers))
	out := make(map[string]*assignment, len(servers))
	byModel := map[string][]*server{}
	assign := func(s *server, model string) {
		out[s.id] = &assignment{model: model, role: RoleBoth}
		byModel[model] = append(byModel[model], s)
		quota[model]--
	}
	for _, s := range servers {
		// A server whose state is temporarily unknown keeps its last known model, so
		// that a failed read does not move the model to another server.
		if m := s.expectedModel(); !s.stateAt.IsZero() && quota[m] > 0 {
			assign(s, m)
		}
	}
	models := doc.ModelsOf(service)
	for _, s := range servers {
		if out[s.id] != nil {
			continue
		}
		out[s.id] = &assignment{}
		for _, m := range models {
			if quota[m] > 0 {
				assign(s, m)
				break
			}
		}
	}
	for _, m := range models {
		assignRoles(doc.Models[m], byModel[m], out)
		for _, a := range doc.Models[m].Adapters {
			assignAdapter(a, doc.Adapters[a], byModel[m], out)
		}
	}
	return out
}

// selectServers returns up to n servers, with preferred ones first.
func selectServers(servers []*server, n int, preferred func(*server) bool) []*server {
	sorted := slices.Clone(servers)
	sort.SliceStable(sorted, func(i, j int) bool { return preferred(sorted[i]) && !preferred(sorted[j]) })
	return sorted[:min(n, len(sorted))]
}

func assignRoles(m *config.Model, servers []*server, out map[string]*assignment) {
	remaining := servers
	for _, r := range []struct {
		role string
		n    int
	}{{RolePrefill, m.PrefillReplicas}, {RoleDecode, m.DecodeReplicas}} {
		for _, s := range selectServers(remaining, r.n, func(s *server) bool { return s.expectedRole() == r.role }) {
			out[s.id].role = r.role
			remaining = slices.DeleteFunc(slices.Clone(remaining), func(x *server) bool { return x == s })
		}
	}
}

func assignAdapter(name string, a *config.Adapter, servers []*server, out map[string]*assignment) {
	n := a.Replicas
	if n == 0 {
		n = len(servers)
	}
	for _, s := range selectServers(servers, n, func(s *server) bool { return s.expectsAdapter(name) }) {
		out[s.id].adapters = append(out[s.id].adapters, name)
	}
}
