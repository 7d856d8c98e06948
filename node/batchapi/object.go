package batchapi

import (
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/api"
)

// batchObject is the batch object of the OpenAI API. The last three fields are an
// extension.
type batchObject struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	Model            string            `json:"model"`
	Errors           any               `json:"errors"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           api.JobStatus     `json:"status"`
	OutputFileID     *string           `json:"output_file_id"`
	ErrorFileID      *string           `json:"error_file_id"`
	CreatedAt        int64             `json:"created_at"`
	InProgressAt     *int64            `json:"in_progress_at"`
	ExpiresAt        *int64            `json:"expires_at"`
	FinalizingAt     *int64            `json:"finalizing_at"`
	CompletedAt      *int64            `json:"completed_at"`
	FailedAt         *int64            `json:"failed_at"`
	ExpiredAt        *int64            `json:"expired_at"`
	CancellingAt     *int64            `json:"cancelling_at"`
	CancelledAt      *int64            `json:"cancelled_at"`
	RequestCounts    requestCounts     `json:"request_counts"`
	Metadata         map[string]string `json:"metadata"`
	UnknownItems     int               `json:"unknown_items"`
	AtRisk           bool              `json:"at_risk"`
	ItemsPerSecond   float64           `json:"items_per_second"`
}

// requestCounts counts the items of a batch. Failed includes those with an unknown
// outcome.
type requestCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

func newBatchObject(j *api.Job) batchObject {
	b := batchObject{ID: j.ID, Object: "batch", Endpoint: j.Endpoint, Model: j.Model, InputFileID: j.FileID,
		CompletionWindow: j.Window, Status: j.Status, CreatedAt: j.CreatedAt.Unix(), InProgressAt: unixSeconds(j.CreatedAt),
		ExpiresAt: unixSeconds(j.Due), CompletedAt: unixSeconds(j.CompletedAt), CancellingAt: unixSeconds(j.CancelledAt),
		RequestCounts: requestCounts{Total: j.Items, Completed: j.Completed, Failed: j.Failed + j.Unknown},
		Metadata:      j.Metadata, UnknownItems: j.Unknown, AtRisk: j.AtRisk, ItemsPerSecond: j.ItemsPerSecond}
	if b.CompletionWindow == "" {
		// The log does not hold the window in the caller's notation.
		b.CompletionWindow = j.Due.Sub(j.CreatedAt).Round(time.Minute).String()
	}
	if j.Status == api.JobCancelled {
		b.CancelledAt = unixSeconds(j.CancelledAt)
	}
	if j.Status.Ended() {
		if j.Completed > 0 {
			id := outputPrefix + j.ID
			b.OutputFileID = &id
		}
		if j.Failed+j.Unknown > 0 {
			id := errorPrefix + j.ID
			b.ErrorFileID = &id
		}
	}
	return b
}

// unixSeconds returns t in Unix seconds, or nil if t is zero.
func unixSeconds(t time.Time) *int64 {
	if t.IsZero() {
		return nil
	}
	s := t.Unix()
	return &s
}
