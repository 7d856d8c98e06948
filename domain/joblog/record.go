package joblog

import "encoding/json"

// MaxItems is the maximum number of items of a job as documented by the platform.
const MaxItems = 200

// Extent refers to consecutive records of the bulk topic that hold (part of) a blob.
type Extent struct {
	Partition int   `json:"p"`
	Offset    int64 `json:"o"`
	Records   int   `json:"n"`
	// Bytes is the length of the blob without the framing of the records.
	Bytes int `json:"b"`
}

// TotalBytes returns the length in bytes of the blob that the extents hold.
func TotalBytes(extents []Extent) int {
	size := 0
	for _, e := range extents {
		size += e.Bytes
	}
	return size
}

// Accepted records that the system has accepted responsibility for a job.
type Accepted struct {
	Job string `json:"job"`
	// Host and Path are those of the submission; they select the job's route.
	Host string `json:"host"`
	Path string `json:"path"`
	// Route is the name of the route at the time of the acceptance. The limit on waiting
	// tokens counts the job on it.
	Route string `json:"route,omitempty"`
	// Workspace is the name of the workspace that the job belongs to; empty for a job that was
	// submitted without a key.
	Workspace string `json:"workspace,omitempty"`
	// Revision is the version of the configuration at the acceptance. A configuration with a
	// lower version does not tell whether the route still exists.
	Revision int64 `json:"revision,omitempty"`
	// Items is the number of items.
	Items int `json:"items"`
	// Tokens are the sizes of the items as stated in the submission.
	Tokens []int64 `json:"tokens,omitempty"`
	// At is the wall clock time of the acceptance in Unix milliseconds. It is used to
	// order items, so a clock jump affects only their order.
	At int64 `json:"at,omitempty"`
	// Content holds the encoded items.
	Content []Extent `json:"content"`
	// Holder is the instance that accepted the job; it runs the items until another
	// instance claims the job.
	Holder
}

// Holder identifies the instance that runs the items of a job. An empty Instance means
// that no instance holds the job.
type Holder struct {
	Instance string `json:"instance"`
	// Incarnation changes at each start of the instance.
	Incarnation uint32 `json:"incarnation"`
}

// Claimed records that a job passes from one holder to another. It is ignored unless
// From is the holder at that point of the log.
type Claimed struct {
	Job  string `json:"job"`
	From Holder `json:"from"`
	// To has an empty Instance if From releases the job.
	To Holder `json:"to"`
}

// State is the final state of an item.
type State string

// The states.
const (
	Completed State = "completed"
	// DeadLetter items were abandoned.
	DeadLetter State = "dead"
)

// Result records the final state of an item.
type Result struct {
	Job string `json:"job"`
	// Item is the item's zero-based index in the submission; ID is the caller's ID of
	// the item.
	Item  int    `json:"item"`
	ID    string `json:"id"`
	State State  `json:"state"`
	// Output is the output of a completed item.
	Output []Extent `json:"text,omitempty"`
	// Reason says why the item was abandoned.
	Reason string `json:"reason,omitempty"`
}

// Progress saves the output so far of an item that an instance stopped running.
type Progress struct {
	Job  string `json:"job"`
	Item int    `json:"item"`
	// LastEvent is the last event that Output includes.
	LastEvent int64    `json:"after"`
	Output    []Extent `json:"text"`
	// Origin is where the output began. Only servers of the same version can go on with it.
	Origin Origin `json:"origin"`
}

// Origin is the server that began an output.
type Origin struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Server  string `json:"server"`
	// SentAtMs is when the item was sent to it, in Unix milliseconds.
	SentAtMs int64 `json:"sentAt"`
}

// Failed records that a server answered an item with a failure.
type Failed struct {
	Job  string `json:"job"`
	Item int    `json:"item"`
	// Count is the number of failures so far, whichever instances they were answered to.
	Count int `json:"count"`
}

// Ended records that the caller ended a job.
type Ended struct {
	Job string `json:"job"`
}

// Record is one record of the log; exactly one field is set.
type Record struct {
	Accepted *Accepted `json:"accepted,omitempty"`
	Result   *Result   `json:"result,omitempty"`
	Progress *Progress `json:"progress,omitempty"`
	Ended    *Ended    `json:"ended,omitempty"`
	Claimed  *Claimed  `json:"claimed,omitempty"`
	Failed   *Failed   `json:"failed,omitempty"`
}

// Encode returns the record in its JSON encoding.
func (r *Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Decode decodes a record.
func Decode(raw []byte) (*Record, error) {
	r := &Record{}
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, err
	}
	return r, nil
}
