package workspace

import (
	"fmt"
	"strings"
)

// Quota limits the online requests of a workspace, over all instances together.
type Quota struct {
	// Rate is the sustained rate in requests a second; zero means no limit.
	Rate float64
	// Burst is the number of requests above the sustained rate.
	Burst float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Workspace is a team of callers.
type Workspace struct {
	Name string
	// Priority is the priority class of all requests of the workspace, which takes precedence
	// over that of their routes; nil if the routes decide.
	Priority *int
	Quota    Quota
}

// Directory holds the workspaces of one configuration revision and their keys. It is immutable
// once built and safe for concurrent use. A nil directory stands for a configuration without
// workspaces, in which callers need no keys.
type Directory struct {
	keys       KeyIndex
	workspaces map[string]*Workspace
}

// Definition is a workspace as it is configured, with its keys in the clear.
type Definition struct {
	Workspace
	Keys []string
}

// NewDirectory returns a directory of the defined workspaces. What cannot be used is left out
// and described in problems, which contain no keys: names that cannot be sent in a header,
// further definitions of a name (their keys count as those of the first one), empty keys, and
// keys of another workspace.
func NewDirectory(definitions []Definition) (d *Directory, problems []string) {
	d = &Directory{workspaces: make(map[string]*Workspace, len(definitions))}
	for i := range definitions {
		definition := &definitions[i]
		name := definition.Name
		if !validName(name) {
			problems = append(problems, fmt.Sprintf("workspace %d: the name %.40q is not printable ASCII", i, name))
			continue
		}
		if d.workspaces[name] == nil {
			w := definition.Workspace
			d.workspaces[name] = &w
		} else {
			problems = append(problems, fmt.Sprintf("workspace %s is defined twice", name))
		}
		for k, key := range definition.Keys {
			// Spaces around a header's value do not belong to it.
			if key = strings.Trim(key, " \t"); key == "" {
				problems = append(problems, fmt.Sprintf("workspace %s: key %d is empty", name, k))
			} else if holder := d.keys.Add(HashKey(key), name); holder != name {
				problems = append(problems, fmt.Sprintf("workspace %s: key %d belongs to %s", name, k, holder))
			}
		}
	}
	return d, problems
}

// validName reports whether a name can be the value of a header.
func validName(name string) bool {
	if name == "" || strings.TrimSpace(name) != name {
		return false
	}
	for i := range len(name) {
		if name[i] < 0x20 || name[i] > 0x7e {
			return false
		}
	}
	return true
}

// Workspace returns the workspace of a name, or nil.
func (d *Directory) Workspace(name string) *Workspace {
	if d == nil {
		return nil
	}
	return d.workspaces[name]
}

// All returns the workspaces by name. The map must not be changed.
func (d *Directory) All() map[string]*Workspace {
	if d == nil {
		return nil
	}
	return d.workspaces
}

// Keys returns the number of keys.
func (d *Directory) Keys() int {
	if d == nil {
		return 0
	}
	return d.keys.Len()
}

// Identify returns the caller that holds a key.
func (d *Directory) Identify(key string) Caller {
	if d == nil {
		return Caller{}
	}
	caller := Caller{KeyRequired: true}
	if key == "" {
		return caller
	}
	if name, ok := d.keys.Holder(HashKey(key)); ok {
		caller.Workspace = d.workspaces[name]
	}
	return caller
}

// Caller is who sent a request, as far as its key tells.
type Caller struct {
	// Workspace is the workspace of the caller's key; nil if the key is unknown or absent.
	Workspace *Workspace
	// KeyRequired is set if the configuration has workspaces, so that callers need keys.
	KeyRequired bool
}

// Unknown reports whether the caller needs a key and has none that is known.
func (c Caller) Unknown() bool { return c.KeyRequired && c.Workspace == nil }

// Name returns the name of the caller's workspace; empty if it has none.
func (c Caller) Name() string {
	if c.Workspace == nil {
		return ""
	}
	return c.Workspace.Name
}

// PriorityOr returns the priority class of the caller's workspace, or that of the route if the
// workspace has none.
func (c Caller) PriorityOr(route int) int {
	if c.Workspace == nil || c.Workspace.Priority == nil {
		return route
	}
	return *c.Workspace.Priority
}
