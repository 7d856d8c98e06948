package gateway

// causeOversized is the cause of the refusal of a request that no server can hold.
const causeOversized = "the request is larger than the memory of a server"

// exceedsServers reports whether no server that the route names can hold the request: because of
// its prompt alone or, after a server refused it, together with its output. Servers refuse such
// requests as if they were full.
func (c *call) exceedsServers() bool {
	tokens := c.request.PromptTokens
	if c.sentCount > 0 && c.runCount == 0 {
		tokens += c.request.OutputTokens
	}
	for _, target := range c.route.Targets {
		s := c.revision.Services[target.Service]
		if s == nil || s.Engine == nil || s.Engine.KVCacheTokens <= 0 || tokens <= s.Engine.KVCacheTokens {
			return false
		}
	}
	return len(c.route.Targets) > 0
}
