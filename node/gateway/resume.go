package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/origin"
	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
)

const (
	// unreadableRetryAfter is the retry delay of a stream that is taken up while its origin
	// cannot be read.
	unreadableRetryAfter = 300 * time.Millisecond
	// confirmTimeout limits the time until a stream that broke goes on elsewhere.
	confirmTimeout = 150 * time.Millisecond
)

const (
	causeUnknownOrigin    = "the version at which the stream began is not known"
	causeUnreadableOrigin = "the version at which the stream began cannot be read now"
	causeNoVersion        = "no server has the version at which the stream began"
)

// streamOrigin is where a stream began that can only go on at the same version. It is empty
// for a request without an event so far.
type streamOrigin struct {
	origin.Origin
	known bool
	// sentAt is when the request was sent to the server, and confirmed is set once the version
	// that the server had then is certain.
	sentAt    time.Time
	confirmed bool
}

// resumable reports whether the request is a stream that may go on at another server.
func (c *call) resumable() bool { return c.route.Kind == serving.Stream && c.route.Resumable }

// bindToOrigin finds out where a stream began that the caller takes up. It returns false after
// it has refused the request: a guess could join the outputs of two versions.
func (c *call) bindToOrigin(ctx context.Context) bool {
	service := ""
	if len(c.route.Targets) == 1 {
		service = c.route.Targets[0].Service
	}
	o, status := c.gateway.Origins.Resolve(ctx, service, c.request.Resumes)
	isTarget := slices.ContainsFunc(c.route.Targets, func(t serving.Target) bool { return t.Service == o.Service })
	if status == origin.Known && isTarget {
		c.service = o.Service
		c.origin = streamOrigin{Origin: o, known: true, confirmed: true}
		klog.InfoS("stream taken up", "id", c.request.ID, "resumes", c.request.Resumes, "after", c.lastEvent, "service", o.Service, "serverVersion", o.Version)
		return true
	}
	c.gateway.Metrics.count("origin_unknown")
	if status == origin.Unreadable {
		c.refuse(unreadableRetryAfter, causeUnreadableOrigin)
	} else {
		c.refuse(0, causeUnknownOrigin)
	}
	return false
}

// refuse ends a request that was sent to no server.
func (c *call) refuse(retryAfter time.Duration, cause string) {
	c.gateway.reject(c.writer, c.request.ID, http.StatusServiceUnavailable, retryAfter, cause)
}

// confirmOrigin makes sure of the version at which a stream began that is about to go on at
// another server. It returns false if the stream cannot go on.
func (c *call) confirmOrigin(ctx context.Context) bool {
	if !c.origin.known || c.origin.confirmed {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	c.origin.confirmed = c.gateway.Origins.Confirm(ctx, c.origin.Origin, c.origin.sentAt)
	return c.origin.confirmed
}

// recordOrigin records that the first event of the stream comes from the server of a lease.
func (c *call) recordOrigin(lease *fleet.Lease, sentAt time.Time) {
	if c.origin.known || !c.resumable() {
		return
	}
	c.origin = streamOrigin{known: true, sentAt: sentAt, Origin: origin.Origin{
		Service: lease.Server.Service, Version: lease.Server.Version, Server: lease.Server.ID,
	}}
}

// query returns the properties of the request by which a server is picked.
func (c *call) query() balance.Query {
	return balance.Query{
		Service: c.service, Class: balance.Online, AtMostOnce: !c.repeatable(), Tried: c.tried,
		RequireVersion: c.origin.known, Version: c.origin.Version,
		Workspace: c.caller.Name(), Priority: c.caller.PriorityOr(c.route.Priority), Charged: c.charged || c.route.Public,
		Prompt: PromptSegments(&c.request), PromptTokens: c.request.PromptTokens, OutputTokens: c.request.OutputTokens,
		Bytes: int64(len(c.body)),
	}
}

// versionIsGone reports whether no server of any load is left at which the stream could go on.
func (c *call) versionIsGone() bool {
	if !c.origin.known {
		return false
	}
	query := c.query()
	query.Tried = nil
	return !c.gateway.View.HasEligible(query)
}
