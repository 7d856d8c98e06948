package api

import "github.com/jacinthnotch/jacinthnotch/domain/workspace"

// Config provides the configuration document in effect.
type Config interface {
	// View returns a view of the document in effect, or nil if no document has been
	// read yet. The view is immutable.
	View() *View
}

// View is the part of the configuration document that handling callers' requests
// requires.
type View struct {
	Revision   int64
	Workspaces map[string]Workspace
	Services   map[string]Service
	// Models maps the names that requests use to models and adapters.
	Models map[string]Model
	Limits Limits
}

// KeyHash is the hash of an API key.
type KeyHash = workspace.KeyHash

// Workspace is a group of callers with its API keys.
type Workspace struct {
	Name      string
	KeyHashes []KeyHash
	// Weight is the scheduling weight of the workspace's jobs relative to those of
	// other workspaces. The default is 100.
	Weight int
}

// ServiceKind distinguishes model services from plain services.
type ServiceKind string

// The kinds of service.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "plain"
)

// Service is one service of the configuration.
type Service struct {
	Name string
	Kind ServiceKind
	// IsNonIdempotent reports whether requests to a decoded path of a plain service
	// must not run twice, whatever their method. If it is nil, there are no such
	// paths.
	IsNonIdempotent func(path string) bool
	// Idempotent is set when every request to a plain service may be repeated.
	// Otherwise methods other than GET, HEAD, OPTIONS, TRACE, PUT and DELETE are
	// treated as non-idempotent.
	Idempotent bool
	// Workspaces are the workspaces that may use the service; empty for all.
	Workspaces []string
}

// Model is a model or adapter that callers can request.
type Model struct {
	Name    string
	Service string
	// Created is the time of the revision that added the model, in Unix seconds.
	Created int64
	OwnedBy string
	// Workspaces are the workspaces that may use the model; empty for all.
	Workspaces []string
}

// Limits are the limits of the configuration document. They can only lower the
// limits of the instance's settings; zero leaves those unchanged.
type Limits struct {
	MaxBodyBytes int64
	MaxFileBytes int64
	MaxFileLines int
	MaxLineBytes int
}

// Status reports the state of the instance.
type Status interface {
	// Ready reports whether the instance may receive requests; if not, reason says
	// why.
	Ready() (ready bool, reason string)
	// Draining reports whether the instance is shutting down. It still serves
	// requests that arrive.
	Draining() bool
}
