package serving

import (
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated of a request.
type Kind uint8

// The kinds of route.
const (
	// Unsafe requests run at most once. It is the zero value, so that a route of a
	// kind that is not known is never repeated.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Stream requests are answered with a series of events. They run at most once,
	// unless the route is resumable.
	Stream
	// Batch routes take batch jobs.
	Batch
)

// String returns the kind's name in logs.
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

// Target is one of the services among which a route's requests are divided.
type Target struct {
	Service string
	// Weight is the share, relative to the other targets of the route.
	Weight float64
}

// Route is one route of the configuration.
type Route struct {
	Name, Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	Targets    []Target
	// Timeout is the longest time that the operator wants a request kept waiting;
	// zero means no limit. It does not bound the items of batch jobs.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer (streams: the first event; jobs:
	// the acceptance) is on time.
	LatencyObjective time.Duration
	// GapObjective is the longest pause between events of an answer on time.
	GapObjective time.Duration
	// Priority is the rank; 0 is the most urgent.
	Priority int
	// MaxAttempts is the most servers that one attempt of a caller, or the answers
	// of 500 that one item, may take.
	MaxAttempts int
	// Resumable streams go on at another server after the last event.
	Resumable bool
	// DueAfter is the time after a job's first submission at which all results are due.
	DueAfter time.Duration
	// Retention is the time after a job's first submission at which an item may be
	// abandoned.
	Retention time.Duration
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Kind == Batch }

// Engine describes the model servers of a service.
type Engine struct {
	// Slots is the number of requests that a server runs at once.
	Slots int
	// KVCacheTokens is the memory that running requests and cached parts share.
	KVCacheTokens int64
}

// Service is one service of the configuration.
type Service struct {
	Name, HealthPath string
	// MaxConns is the number of connections that a server accepts from all callers.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Revision is one version of the configuration.
type Revision struct {
	// Version grows with each change, in uneven steps.
	Version  int64
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits
	byHost   map[string][]*Route
}

// Index prepares Match; it is called once, before the revision is shared.
func (r *Revision) Index() {
	r.byHost = map[string][]*Route{}
	for _, route := range r.Routes {
		r.byHost[route.Host] = append(r.byHost[route.Host], route)
	}
	for _, routes := range r.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
}

// Match returns the route of the host with the longest prefix that begins path,
// or nil.
func (r *Revision) Match(host, path string) *Route {
	for _, route := range r.byHost[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Slots returns the number of requests that a server of the service runs at once
// according to the configuration; zero when it does not say.
func (r *Revision) Slots(service string) int {
	if s := r.Services[service]; s != nil && s.Engine != nil {
		return s.Engine.Slots
	}
	return 0
}
