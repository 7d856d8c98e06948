package jobs

import (
	"net/http"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/gateway"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
)

// describePrompt sets the prompt of a query, if the items of the job are in memory. The first
// item of a job is placed without, since reading the job would delay all items.
func (r *Runner) describePrompt(c candidate, query *balance.Query) {
	items := r.contents.get(c.job.Job)
	if c.index >= len(items) {
		return
	}
	request := r.parseItem(&items[c.index])
	query.Bytes = int64(len(items[c.index].Body))
	query.Prompt, query.PromptTokens, query.OutputTokens = gateway.PromptSegments(&request), request.PromptTokens, request.OutputTokens
}

// parseItem decodes the headers of an item.
func (r *Runner) parseItem(item *Item) serving.Request {
	h := http.Header{}
	for name, value := range item.Header {
		h.Set(name, value)
	}
	return r.Protocol.ParseRequest(h)
}
