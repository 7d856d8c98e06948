package serving

import (
	"sort"
	"strings"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/workspace"
)

// Kind determines how the requests of a route are handled and whether they may be
// retried.
type Kind uint8

// The kinds of route.
const (
	// Unsafe requests run at most once. Unsafe is the zero value, so that requests of
	// a route of an unknown kind are never retried.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Stream requests are answered with an event stream. They run at most once unless
	// the route is resumable.
	Stream
	// Batch routes accept batch jobs.
	Batch
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	case Batch:
		return "batch"
	}
	return "unsafe"
}

// Target is one of the services between which the requests of a route are split.
type Target struct {
	Service string
	// Weight is the share of requests relative to the other targets of the route.
	Weight float64
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name, Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	Targets    []Target
	// Timeout is the operator's limit on how long a request is kept waiting; zero
	// means no limit. It does not apply to the items of batch jobs.
	Timeout time.Duration
	// LatencyObjective is the target time to the response, to the first event of a
	// stream, or to the acceptance of a batch job.
	LatencyObjective time.Duration
	// GapObjective is the target for the longest pause between two events of a stream.
	GapObjective time.Duration
	// Priority is the priority class; 0 is the most urgent.
	Priority int
	// MaxAttempts limits the number of servers tried for one attempt of a caller, and
	// the number of responses with status 500 to one item of a batch job.
	MaxAttempts int
	// Resumable streams can be continued on another server after the last event.
	Resumable bool
	// Public routes take requests without a key.
	Public bool
	// DueAfter is the time from the first submission of a job until all its results
	// are due.
	DueAfter time.Duration
	// Retention is the time from the first submission of a job after which its items
	// may be abandoned.
	Retention time.Duration
	// MaxWaitingTokens limits the tokens of the unfinished items of all jobs on a batch
	// route, over all instances and, if there are workspaces, by workspace; zero means no
	// limit.
	MaxWaitingTokens int64
}

// Idempotent reports whether requests of the route may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Kind == Batch }

// Engine describes the model servers of a service.
type Engine struct {
	// Slots is the number of requests that a server runs concurrently.
	Slots int
	// KVCacheTokens is the capacity of the KV cache, which running requests and
	// cached prompt segments share.
	KVCacheTokens int64
}

// Service is a group of backend servers that serve the same requests.
type Service struct {
	Name, HealthPath string
	// MaxConns is the number of connections that a server accepts from all callers
	// together.
	MaxConns int
	// Engine is nil for a service without model servers.
	Engine *Engine
}

// Limits bound the requests and connections of callers.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Revision is one revision of the configuration.
type Revision struct {
	// Version increases with each change, not necessarily by one.
	Version  int64
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits
	// Workspaces is nil for a configuration without workspaces.
	Workspaces *workspace.Directory
	// Problems describes what of the configuration is not used, for the log.
	Problems []string
	byHost   map[string][]*Route
}

// Index builds the index that Match uses. It must be called once, before the revision
// is shared between goroutines.
func (r *Revision) Index() {
	r.byHost = map[string][]*Route{}
	for _, route := range r.Routes {
		r.byHost[route.Host] = append(r.byHost[route.Host], route)
	}
	for _, routes := range r.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
}

// Match returns the route of the host with the longest matching path prefix, or nil if
// there is none.
func (r *Revision) Match(host, path string) *Route {
	for _, route := range r.byHost[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Slots returns the configured number of requests that a server of the service runs
// concurrently, or zero if the configuration does not state it.
func (r *Revision) Slots(service string) int {
	if s := r.Services[service]; s != nil && s.Engine != nil {
		return s.Engine.Slots
	}
	return 0
}
