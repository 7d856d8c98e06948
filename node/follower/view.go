package follower

import (
	"encoding/hex"
	"slices"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
	"github.com/jacinthnotch/jacinthnotch/node/api"
)

// nobody stands for a workspace list that admits none: no workspace has an
// empty name.
var nobody = []string{""}

// viewOf returns the part of a document that the edge of the instance needs.
func viewOf(doc *config.Document, h *config.Replica) *api.View {
	v := &api.View{Revision: doc.Revision, Workspaces: map[string]api.Workspace{}, Services: map[string]api.Service{},
		Models: map[string]api.Model{}, Limits: api.Limits{
			MaxBodyBytes: int64(doc.Fleet.MaxBodyKiB) << 10,
			MaxFileBytes: int64(doc.Fleet.BatchMaxFileMiB) << 20,
			MaxFileLines: doc.Fleet.BatchMaxItems,
		}}
	for name, w := range doc.Workspaces {
		v.Workspaces[name] = api.Workspace{Name: name, KeyHashes: hashes(w.KeyHashes), Weight: w.Weight}
	}
	for name, s := range doc.Services {
		v.Services[name] = api.Service{Name: name, Kind: api.ServiceKind(s.Kind), Workspaces: admitted(doc, name), IsNonIdempotent: s.IsNonIdempotent}
	}
	for name, m := range doc.Models {
		v.Models[name] = api.Model{Name: name, Service: m.Service, OwnedBy: m.Owner,
			Created: created(h, "models."+name), Workspaces: admitted(doc, m.Service)}
	}
	for name, a := range doc.Adapters {
		if base := doc.Models[a.Model]; base != nil {
			v.Models[name] = api.Model{Name: name, Service: base.Service, OwnedBy: a.Owner,
				Created: created(h, "adapters."+name), Workspaces: admitted(doc, base.Service)}
		}
	}
	return v
}

// admitted returns the workspaces that may call a service. Without any
// workspace in the document everyone may.
func admitted(doc *config.Document, service string) []string {
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
		return nobody
	}
	slices.Sort(out)
	return out
}

func hashes(texts []string) []api.KeyHash {
	var out []api.KeyHash
	for _, text := range texts {
		var h api.KeyHash
		if n, err := hex.Decode(h[:], []byte(text)); err == nil && n == len(h) {
			out = append(out, h)
		}
	}
	return out
}

// created returns when a section got its current revision, in Unix seconds.
func created(h *config.Replica, section string) int64 {
	s, _ := h.Section(section)
	return s.Record.GetAtMs() / 1000
}
