package jobs

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/workspace"
)

// Item is one request of a job.
type Item struct {
	ID string `json:"id"`
	// Path is the path of the request, including the query.
	Path   string            `json:"path"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	// Tokens is the size of the prompt plus the maximum size of the output.
	Tokens int64 `json:"tokens,omitempty"`
}

// CallKind is the operation that a call about a job requests.
type CallKind uint8

// The kinds of calls.
const (
	Submit CallKind = iota + 1
	ReadResults
	ReadItem
	End
)

// String returns the name of the kind in logs.
func (k CallKind) String() string {
	return [...]string{"none", "submit", "read results", "read item", "end"}[k]
}

// Call is a call about a job.
type Call struct {
	Kind CallKind
	Job  string
	// Item is the ID of the item for ReadItem.
	Item string
	// After is the first position to read for ReadResults, and Wait is the time for which
	// the call may wait for a result at this position.
	After int
	Wait  time.Duration
	// Caller is who makes the call.
	Caller workspace.Caller
}

// ItemResult is the result of an item as it is returned to callers.
type ItemResult struct {
	ID         string
	DeadLetter bool
	Text       []byte
}

// Codec decodes and encodes the calls about jobs, and the headers of items.
type Codec interface {
	// ParseCall decodes a call. It returns false if the request is not a call about a job.
	// The argument onBatchRoute is true if the request matches a batch route.
	ParseCall(r *http.Request, onBatchRoute bool) (Call, bool)
	// ParseSubmission decodes the items of a submission.
	ParseSubmission(body []byte) ([]Item, error)
	// EncodeResults encodes the response to ReadResults: the total number of items and the
	// results from the position after on.
	EncodeResults(total, after int, results []ItemResult) ([]byte, error)
	// SetRequestID sets the header with the ID under which an item runs.
	SetRequestID(h http.Header, id string)
	// IsReservedHeader reports whether the system sets a header of an item's request itself.
	// The name has the canonical form.
	IsReservedHeader(name string) bool
}

func encodeItems(items []Item) ([]byte, error) { return json.Marshal(items) }

func decodeItems(raw []byte) ([]Item, error) {
	var items []Item
	err := json.Unmarshal(raw, &items)
	return items, err
}
