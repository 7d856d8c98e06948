package jobs

import (
	"encoding/json"
	"net/http"
	"time"
)

// Item is one request of a job.
type Item struct {
	ID string `json:"id"`
	// Path is the request's path with its query.
	Path   string            `json:"path"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	// Tokens is the size of the prompt and the longest output together.
	Tokens int64 `json:"tokens,omitempty"`
}

// CallKind is what a call about a job asks for.
type CallKind uint8

// The kinds of call.
const (
	Submit CallKind = iota + 1
	ReadResults
	ReadItem
	End
)

// String returns the kind's name in logs.
func (k CallKind) String() string {
	return [...]string{"none", "submit", "read results", "read item", "end"}[k]
}

// Call is a call about a job.
type Call struct {
	Kind CallKind
	Job  string
	// Item is the id of an item, with ReadItem.
	Item string
	// After is the first position to read, with ReadResults, and Wait how long the
	// call may be kept waiting for a result there.
	After int
	Wait  time.Duration
}

// ItemResult is a result as a caller reads it.
type ItemResult struct {
	ID         string
	DeadLetter bool
	Text       []byte
}

// Codec translates the calls about jobs and the headers of items.
type Codec interface {
	// ParseCall decodes a call; false means that the request is none. Under tells that
	// the request matched a route of jobs.
	ParseCall(r *http.Request, under bool) (Call, bool)
	// ParseSubmission decodes the items of a submission.
	ParseSubmission(body []byte) ([]Item, error)
	// EncodeResults encodes the answer to a read: the number of items and the results from
	// position after on.
	EncodeResults(total, after int, results []ItemResult) ([]byte, error)
	// SetRequestID writes the id under which an item runs.
	SetRequestID(h http.Header, id string)
}

func encodeItems(items []Item) ([]byte, error) { return json.Marshal(items) }

func decodeItems(raw []byte) ([]Item, error) {
	var items []Item
	err := json.Unmarshal(raw, &items)
	return items, err
}
