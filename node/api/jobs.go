package api

import (
	"context"
	"iter"
	"time"
)

// Jobs stores and reads files and jobs through the owners of their partitions. For
// the identifier of a file or job of another workspace the refusal has CodeNotFound.
type Jobs interface {
	// BindKey binds an idempotency key to a job and returns the job that the key is
	// bound to. If the key was bound several times, the first binding in stream
	// order is valid. If that binding has other content, the refusal has
	// CodeKeyConflict.
	BindKey(ctx context.Context, req BindKeyRequest) (jobID string, err error)

	// PutFile records a file. It returns after the file has been sealed and read
	// back. lines yields each line without its terminator and may be iterated
	// again after a failure. If the file exists already, it is returned unchanged.
	PutFile(ctx context.Context, file File, lines iter.Seq[[]byte]) (File, error)

	// FileInfo returns a sealed file.
	FileInfo(ctx context.Context, workspace, fileID string) (File, error)

	// FileContent calls fn for each line, starting with line first, counted from
	// zero. It stops at the first error of fn and returns that error.
	FileContent(ctx context.Context, workspace, fileID string, first int, fn func(line []byte) error) error

	// Files returns the workspace's files, newest first. The page starts after the
	// file with the identifier after, or with the newest file if after is empty.
	Files(ctx context.Context, workspace, after string, limit int) (FilePage, error)

	// Create creates a job for a sealed file. It returns after the record has been
	// read back. If the job exists already, it is returned unchanged.
	Create(ctx context.Context, spec JobSpec) (Job, error)

	// Get returns a job.
	Get(ctx context.Context, workspace, jobID string) (Job, error)

	// List returns the workspace's jobs, newest first. The page starts after the
	// job with the identifier after, or with the newest job if after is empty.
	List(ctx context.Context, workspace, after string, limit int) (JobPage, error)

	// Cancel cancels a job. Results that have been recorded stay readable. If the
	// job has ended already, it is returned unchanged.
	Cancel(ctx context.Context, workspace, jobID, actor string) (Job, error)

	// Results calls fn for the valid result of each finished item, in the order of
	// the items. It stops at the first error of fn and returns that error.
	Results(ctx context.Context, workspace, jobID string, fn func(*ItemResult) error) error
}

// BindKeyRequest is a request to bind an idempotency key to a job.
type BindKeyRequest struct {
	Workspace string
	Key       string
	// Content is the digest of the parts of a submission that define the job.
	Content []byte
	// JobID is the job that the key is bound to if it is not bound yet.
	JobID string
}

// File is a sealed input file.
type File struct {
	ID        string
	Workspace string
	Name      string
	Purpose   string
	Lines     int
	// Bytes is the size of the lines, each with a terminator of one byte.
	Bytes     int64
	Digest    []byte
	CreatedAt time.Time
}

// FilePage is one page of a list of files.
type FilePage struct {
	Files []File
	More  bool
}

// JobSpec is a job as it was submitted.
type JobSpec struct {
	ID            string
	Workspace     string
	Key           string
	FileID        string
	Endpoint      string
	Model         string
	Items         int
	Due           time.Time
	Weight        int
	NonIdempotent bool
	Metadata      map[string]string
	// Window is the completion window in the caller's notation.
	Window string
}

// JobStatus is the status of a job. The values are those of the OpenAI batch API.
type JobStatus string

// The statuses of a job.
const (
	JobInProgress JobStatus = "in_progress"
	JobCompleted  JobStatus = "completed"
	JobCancelling JobStatus = "cancelling"
	JobCancelled  JobStatus = "cancelled"
)

// Ended reports whether the job can receive no more results.
func (s JobStatus) Ended() bool { return s == JobCompleted || s == JobCancelled }

// Job is a job and its progress.
type Job struct {
	JobSpec
	Status    JobStatus
	Completed int
	Failed    int
	// Unknown counts non-idempotent items whose answer was lost.
	Unknown     int
	CreatedAt   time.Time
	CancelledAt time.Time
	CompletedAt time.Time
	// AtRisk is set when the job is not expected to end by its due time.
	AtRisk         bool
	ItemsPerSecond float64
}

// JobPage is one page of a list of jobs.
type JobPage struct {
	Jobs []Job
	More bool
}

// ItemResult is the valid result of an item.
type ItemResult struct {
	// Item is the item's line in the input file, counted from zero.
	Item     int
	CustomID string
	// Outcome is Ran or Unknown. If it is Ran, Failed tells whether the item
	// succeeded.
	Outcome Outcome
	Failed  bool
	Status  int
	Body    []byte
	// Code and Message describe a failure.
	Code    string
	Message string
}
