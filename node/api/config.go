package api

import "crypto/sha256"

// Config gives access to the configuration document in effect.
type Config interface {
	// View returns the document in effect; it is never changed after it was
	// returned. It is nil before the first document was read.
	View() *View
}

// View is the part of the configuration document that the edge needs.
type View struct {
	Revision   int64
	Workspaces map[string]Workspace
	Services   map[string]Service
	// Models holds the models and adapters by the name in requests.
	Models map[string]Model
	Limits Limits
}

// KeyHash is the SHA-256 digest of a bearer key.
type KeyHash [sha256.Size]byte

// Workspace is one group of callers.
type Workspace struct {
	Name      string
	KeyHashes []KeyHash
	// Weight is the share of the workspace's jobs, 100 for the usual share.
	Weight int
}

// ServiceKind separates model services from plain ones.
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
	// IsNonIdempotent reports whether requests to a path of a plain service must not run
	// twice, whatever their method. The path is decoded; nil stands for none.
	IsNonIdempotent func(path string) bool
	// Idempotent says that every request to a plain service may be repeated.
	// Without it, methods other than GET, HEAD, OPTIONS, TRACE, PUT and DELETE
	// count as non-idempotent.
	Idempotent bool
	// Workspaces limits the service to the named workspaces; empty for all.
	Workspaces []string
}

// Model is a model or adapter that callers can name.
type Model struct {
	Name    string
	Service string
	// Created is the time of the revision that added it, in Unix seconds.
	Created int64
	OwnedBy string
	// Workspaces limits the model to the named workspaces; empty for all.
	Workspaces []string
}

// Limits are the limits of the configuration document. Zero leaves the
// instance's own setting in force; another value can only lower it.
type Limits struct {
	MaxBodyBytes int64
	MaxFileBytes int64
	MaxFileLines int
	MaxLineBytes int
}

// Status reports the state of the instance.
type Status interface {
	// Ready reports whether the instance may receive work, and otherwise why not.
	Ready() (ready bool, reason string)
	// Draining reports that the instance is shutting down. It still serves
	// work that arrives.
	Draining() bool
}
