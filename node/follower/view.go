package follower

import (
	"slices"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
	"github.com/jacinthnotch/jacinthnotch/domain/workspace"
	"github.com/jacinthnotch/jacinthnotch/node/api"
)

// noWorkspaces is a list that allows no workspace, because no workspace has an empty name.
// An empty list would allow all of them.
var noWorkspaces = []string{""}

// viewOf returns the part of a document that the instance's HTTP edge needs.
func viewOf(doc *config.Document, replica *config.Replica) *api.View {
	v := &api.View{Revision: doc.Revision, Workspaces: map[string]api.Workspace{}, Services: map[string]api.Service{},
		Models: map[string]api.Model{}, Limits: api.Limits{
			MaxBodyBytes: int64(doc.Fleet.MaxBodyKiB) << 10,
			MaxFileBytes: int64(doc.Fleet.BatchMaxFileMiB) << 20,
			MaxFileLines: doc.Fleet.BatchMaxItems,
		}}
	for name, w := range doc.Workspaces {
		v.Workspaces[name] = api.Workspace{Name: name, KeyHashes: parseKeyHashes(w.KeyHashes), Weight: w.Weight}
	}
	for name, s := range doc.Services {
		v.Services[name] = api.Service{Name: name, Kind: api.ServiceKind(s.Kind), Workspaces: allowedWorkspaces(doc, name), IsNonIdempotent: s.IsNonIdempotent}
	}
	for name, m := range doc.Models {
		v.Models[name] = api.Model{Name: name, Service: m.Service, OwnedBy: m.Owner,
			Created: createdAt(replica, "models."+name), Workspaces: allowedWorkspaces(doc, m.Service)}
	}
	for name, a := range doc.Adapters {
		if base := doc.Models[a.Model]; base != nil {
			v.Models[name] = api.Model{Name: name, Service: base.Service, OwnedBy: a.Owner,
				Created: createdAt(replica, "adapters."+name), Workspaces: allowedWorkspaces(doc, base.Service)}
		}
	}
	return v
}

// allowedWorkspaces returns the workspaces that may call a service. If the document has no
// workspace, it returns nil, which allows all callers.
func allowedWorkspaces(doc *config.Document, service string) []string {
	if len(doc.Workspaces) == 0 {
		return nil
	}
	var out []string
	for name, w := range doc.Workspaces {
		if w.Allows(service) {
			out = append(out, name)
		}
	}
	if out == nil {
		return noWorkspaces
	}
	slices.Sort(out)
	return out
}

func parseKeyHashes(texts []string) []api.KeyHash {
	var out []api.KeyHash
	for _, text := range texts {
		if h, err := workspace.ParseKeyHash(text); err == nil {
			out = append(out, h)
		}
	}
	return out
}

// createdAt returns the time of a section's current revision, in Unix seconds.
func createdAt(replica *config.Replica, section string) int64 {
	s, _ := replica.Section(section)
	return s.Record.GetAtMs() / 1000
}
