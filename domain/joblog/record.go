package joblog

import "encoding/json"

// MaxItems is the largest number of items of a job, as the platform states it.
const MaxItems = 200

// Extent names consecutive records of the bulk topic that hold one blob.
type Extent struct {
	Partition int   `json:"p"`
	Offset    int64 `json:"o"`
	Records   int   `json:"n"`
	// Bytes is the blob's length without the records' framing.
	Bytes int `json:"b"`
}

// TotalBytes returns the length of the blob that the extents hold, in bytes.
func TotalBytes(extents []Extent) int {
	size := 0
	for _, e := range extents {
		size += e.Bytes
	}
	return size
}

// Accepted says that a job is the system's to keep.
type Accepted struct {
	Job string `json:"job"`
	// Host and Path are those of the submission; they select the job's route.
	Host string `json:"host"`
	Path string `json:"path"`
	// Items is the number of items.
	Items int `json:"items"`
	// Tokens are the sizes of the items, as their submission states them.
	Tokens []int64 `json:"tokens,omitempty"`
	// At is the time of day of the acceptance in Unix ms. Items are ordered by it; a clock
	// that jumps costs their order only.
	At int64 `json:"at,omitempty"`
	// Content holds the encoded items.
	Content []Extent `json:"content"`
	// Holder is the instance that accepted the job; it runs the items until another one
	// claims the job.
	Holder
}

// Holder names the instance that runs the items of a job. Without a name nobody does.
type Holder struct {
	Instance string `json:"instance"`
	// Incarnation changes at each start of the instance.
	Incarnation uint32 `json:"incarnation"`
}

// Claimed says that a job goes from one holder to another. It is void unless From holds
// the job at that place in the order of the records.
type Claimed struct {
	Job  string `json:"job"`
	From Holder `json:"from"`
	// To has no name when From gives the job back.
	To Holder `json:"to"`
}

// State is the state of a listed item.
type State string

// The states.
const (
	Completed State = "completed"
	// DeadLetter items were given up.
	DeadLetter State = "dead"
)

// Result lists an item.
type Result struct {
	Job string `json:"job"`
	// Item is the item's number in the submission, from 0; ID is its id.
	Item  int    `json:"item"`
	ID    string `json:"id"`
	State State  `json:"state"`
	// Output is the output of a completed item.
	Output []Extent `json:"text,omitempty"`
	// Reason says why an item was given up.
	Reason string `json:"reason,omitempty"`
}

// Progress keeps the output of an item that an instance stopped running.
type Progress struct {
	Job  string `json:"job"`
	Item int    `json:"item"`
	// LastEvent is the last event that Text holds.
	LastEvent int64    `json:"after"`
	Output    []Extent `json:"text"`
}

// Ended says that a job was ended by its owner.
type Ended struct {
	Job string `json:"job"`
}

// Record is one record; exactly one field is set.
type Record struct {
	Accepted *Accepted `json:"accepted,omitempty"`
	Result   *Result   `json:"result,omitempty"`
	Progress *Progress `json:"progress,omitempty"`
	Ended    *Ended    `json:"ended,omitempty"`
	Claimed  *Claimed  `json:"claimed,omitempty"`
}

// Encode returns the record's bytes.
func (r *Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Decode decodes a record.
func Decode(raw []byte) (*Record, error) {
	r := &Record{}
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, err
	}
	return r, nil
}
