package gateway

import "net/http"

// causeOverQuota is the cause of the refusal of a request over its workspace's quota.
const causeOverQuota = "the workspace is over its quota"

// returnQuota takes the request back from its workspace's quota if it has not run.
func (c *call) returnQuota() {
	if c.charged && !c.route.Public && c.sentCount == c.notRunCount && c.gateway.Quotas != nil {
		c.gateway.Quotas.ReturnQuota(c.query())
	}
}

// refuseOverQuota answers a request that its workspace's quota does not allow now.
func (c *call) refuseOverQuota() {
	c.gateway.Metrics.count("over_quota")
	c.gateway.reject(c.writer, c.request.ID, http.StatusTooManyRequests, c.rejection.RetryAfter, causeOverQuota)
}
