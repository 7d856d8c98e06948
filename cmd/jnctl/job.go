package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

type jobCmd struct {
	Submit  jobSubmitCmd  `cmd:"" help:"Upload a file of items and start a job. Example: jnctl job submit items.jsonl --window 24h"`
	Status  jobStatusCmd  `cmd:"" help:"Show progress, rate and estimated completion time. Example: jnctl job status JOB --watch"`
	Results jobResultsCmd `cmd:"" help:"Write the results in JSON Lines format. Example: jnctl job results JOB > results.jsonl"`
	Cancel  jobCancelCmd  `cmd:"" help:"Cancel a job; results recorded so far stay readable. Example: jnctl job cancel JOB"`
	List    jobListCmd    `cmd:"" help:"List the workspace's jobs, newest first. Example: jnctl job list"`
}

// batch is the representation of a job in the callers' API.
type batch struct {
	ID             string            `json:"id"`
	Status         string            `json:"status"`
	Endpoint       string            `json:"endpoint"`
	Model          string            `json:"model"`
	InputFileID    string            `json:"input_file_id"`
	OutputFileID   string            `json:"output_file_id"`
	ErrorFileID    string            `json:"error_file_id"`
	CreatedAt      int64             `json:"created_at"`
	ExpiresAt      int64             `json:"expires_at"`
	CompletedAt    int64             `json:"completed_at"`
	CancelledAt    int64             `json:"cancelled_at"`
	Counts         counts            `json:"request_counts"`
	UnknownItems   int               `json:"unknown_items"`
	AtRisk         bool              `json:"at_risk"`
	ItemsPerSecond float64           `json:"items_per_second"`
	Metadata       map[string]string `json:"metadata,omitempty"`
}

type counts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

func (b *batch) remaining() int { return b.Counts.Total - b.Counts.Completed - b.Counts.Failed }

func (b *batch) ended() bool { return b.Status == "completed" || b.Status == "cancelled" }

// rate returns the recent number of items per second, or the average since the job's
// creation if no recent rate is known.
func (b *batch) rate(now time.Time) float64 {
	age := now.Sub(time.Unix(b.CreatedAt, 0)).Seconds()
	if b.ItemsPerSecond > 0 || age <= 0 {
		return b.ItemsPerSecond
	}
	return float64(b.Counts.Completed+b.Counts.Failed) / age
}

// estimatedEnd returns the time at which the job ends at its present rate, or the zero
// time if the job has ended or its rate is not known.
func (b *batch) estimatedEnd(now time.Time) time.Time {
	rate := b.rate(now)
	if b.ended() || rate <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(float64(b.remaining()) / rate * float64(time.Second)))
}

// outlook describes when the job ended or is expected to end, relative to its due time.
func (b *batch) outlook(now time.Time) string {
	due, end := time.Unix(b.ExpiresAt, 0), b.estimatedEnd(now)
	switch {
	case b.Status == "completed" && b.CompletedAt > 0:
		return "ended " + relativeToDue(due.Sub(time.Unix(b.CompletedAt, 0)))
	case b.ended():
		return "stopped"
	case end.IsZero() && b.AtRisk:
		return "no recent results; at risk of missing the due time"
	case end.IsZero():
		return "no recent results to estimate from"
	}
	text := fmt.Sprintf("ends about %s, %s", end.UTC().Format(time.RFC3339), relativeToDue(due.Sub(end)))
	if b.AtRisk {
		text += "; at risk"
	}
	return text
}

func relativeToDue(d time.Duration) string {
	if d < 0 {
		return (-d).Round(time.Second).String() + " after the due time"
	}
	return d.Round(time.Second).String() + " before the due time"
}

func (e *env) printJob(b *batch) error {
	return e.print(b, func(w io.Writer) {
		writeRow(w, "job", b.ID)
		writeRow(w, "status", b.Status)
		writeRow(w, "model", b.Model)
		writeRow(w, "items", fmt.Sprintf("%d: %d completed, %d failed (%d of them with an unknown outcome), %d left",
			b.Counts.Total, b.Counts.Completed, b.Counts.Failed, b.UnknownItems, b.remaining()))
		writeRow(w, "created", formatUnix(b.CreatedAt))
		writeRow(w, "due", formatUnix(b.ExpiresAt))
		if !b.ended() {
			writeRow(w, "rate", fmt.Sprintf("%.1f items/s", b.rate(time.Now())))
		}
		writeRow(w, "outlook", b.outlook(time.Now()))
	})
}

func formatUnix(seconds int64) string {
	if seconds == 0 {
		return "-"
	}
	return time.Unix(seconds, 0).UTC().Format(time.RFC3339)
}

type jobSubmitCmd struct {
	callerFlags
	File          string            `arg:"" help:"File of items, one JSON object per line; - for standard input."`
	Endpoint      string            `help:"Request path of every item." default:"/v1/chat/completions"`
	Window        string            `help:"Time until the job is due, from 1m to 30d." default:"24h"`
	JobKey        string            `help:"Idempotency key of the job; submitting again with the same key returns the same job. Derived from the file and the other options by default." placeholder:"KEY"`
	NonIdempotent bool              `help:"Start each item at most once, even if its outcome is lost."`
	Metadata      map[string]string `help:"Metadata of the job, as name=value." placeholder:"NAME=VALUE"`
}

// Run uploads the file and creates the job.
func (c *jobSubmitCmd) Run(e *env) error {
	content, err := e.readInput(c.File)
	if err != nil {
		return err
	}
	var form bytes.Buffer
	w := multipart.NewWriter(&form)
	_ = w.WriteField("purpose", "batch")
	part, err := w.CreateFormFile("file", filepath.Base(c.File)+".jsonl")
	if err != nil {
		return err
	}
	_, _ = part.Write(content)
	if err := w.Close(); err != nil {
		return err
	}
	var file struct {
		ID string `json:"id"`
	}
	resp, err := c.client().open(e.ctx, http.MethodPost, "/v1/files", nil, &form, map[string]string{"Content-Type": w.FormDataContentType()})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := decode(resp.Body, &file); err != nil {
		return err
	}
	body := map[string]any{"input_file_id": file.ID, "endpoint": c.Endpoint, "completion_window": c.Window}
	if len(c.Metadata) > 0 {
		body["metadata"] = c.Metadata
	}
	job := new(batch)
	if err := c.create(e.ctx, body, file.ID, job); err != nil {
		return err
	}
	return e.printJob(job)
}

// create creates the job with an idempotency key. Without --job-key the key is derived from the
// file and the options, so that repeating the command returns the same job.
func (c *jobSubmitCmd) create(ctx context.Context, body map[string]any, fileID string, out *batch) error {
	text, err := encode(body)
	if err != nil {
		return err
	}
	key := c.JobKey
	if key == "" {
		sum := sha256.Sum256([]byte(fmt.Sprint(fileID, c.Endpoint, c.Window, c.NonIdempotent, c.Metadata)))
		key = "jnctl-" + hex.EncodeToString(sum[:12])
	}
	headers := map[string]string{"Content-Type": "application/json", "Idempotency-Key": key}
	if c.NonIdempotent {
		headers["Jacinthnotch-Non-Idempotent"] = "true"
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	resp, err := c.client().open(ctx, http.MethodPost, "/v1/batches", nil, bytes.NewReader(text), headers)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return decode(resp.Body, out)
}

func (e *env) readInput(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(e.in)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, usageError("%v", err)
	}
	return text, nil
}

func (f callerFlags) fetchJob(ctx context.Context, id string) (*batch, error) {
	b := new(batch)
	return b, f.client().call(ctx, http.MethodGet, "/v1/batches/"+url.PathEscape(id), nil, nil, b)
}

type jobStatusCmd struct {
	callerFlags
	Job   string        `arg:"" help:"Identifier of the job."`
	Watch bool          `help:"Show the state repeatedly until the job has ended."`
	Every time.Duration `help:"Polling interval of --watch." default:"2s"`
}

// Run shows the state of the job.
func (c *jobStatusCmd) Run(e *env) error {
	for {
		b, err := c.fetchJob(e.ctx, c.Job)
		if err != nil {
			return err
		}
		if !c.Watch || b.ended() {
			return e.printJob(b)
		}
		if e.asJSON {
			if err := e.printJob(b); err != nil {
				return err
			}
		} else {
			fmt.Fprintf(e.out, "%s  %d of %d done, %d failed, %.1f items/s, %s\n", b.Status, b.Counts.Completed+b.Counts.Failed,
				b.Counts.Total, b.Counts.Failed, b.rate(time.Now()), b.outlook(time.Now()))
		}
		if err := e.sleep(c.Every); err != nil {
			return err
		}
	}
}

type jobResultsCmd struct {
	callerFlags
	Job    string `arg:"" help:"Identifier of the job."`
	Only   string `help:"Results to write: all, completed or failed." enum:"all,completed,failed" default:"all"`
	ToFile string `help:"File to write; standard output by default." placeholder:"FILE"`
}

// Run writes the results of a job that has ended.
func (c *jobResultsCmd) Run(e *env) error {
	b, err := c.fetchJob(e.ctx, c.Job)
	if err != nil {
		return err
	}
	if !b.ended() {
		return &failure{code: exitUnavailable, message: fmt.Sprintf("the job is %s with %d of %d items left", b.Status, b.remaining(), b.Counts.Total),
			hint: "Wait until it ends with: jnctl job status " + c.Job + " --watch"}
	}
	out := e.out
	if c.ToFile != "" {
		f, err := os.Create(c.ToFile)
		if err != nil {
			return usageError("%v", err)
		}
		defer f.Close()
		out = f
	}
	for _, part := range []struct{ name, file string }{{"completed", b.OutputFileID}, {"failed", b.ErrorFileID}} {
		if part.file == "" || c.Only != "all" && c.Only != part.name {
			continue
		}
		if err := c.copyFile(e, part.file, out); err != nil {
			return err
		}
	}
	return nil
}

// copyFile writes the content of a stored file to out.
func (c *jobResultsCmd) copyFile(e *env, fileID string, out io.Writer) error {
	resp, err := c.client().open(e.ctx, http.MethodGet, "/v1/files/"+url.PathEscape(fileID)+"/content", nil, nil, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(out, resp.Body); err != nil {
		return &failure{code: exitUnavailable, message: "reading the results was interrupted: " + err.Error(), hint: "Run the command again; the results of an ended job do not change."}
	}
	return nil
}

type jobCancelCmd struct {
	callerFlags
	Job string `arg:"" help:"Identifier of the job."`
}

// Run cancels the job.
func (c *jobCancelCmd) Run(e *env) error {
	b := new(batch)
	if err := c.client().call(e.ctx, http.MethodPost, "/v1/batches/"+url.PathEscape(c.Job)+"/cancel", nil, nil, b); err != nil {
		return err
	}
	return e.printJob(b)
}

type jobListCmd struct {
	callerFlags
	Limit int `help:"Maximum number of jobs to show, up to 100." default:"20"`
}

// Run lists the jobs.
func (c *jobListCmd) Run(e *env) error {
	var out struct {
		Data []batch `json:"data"`
		More bool    `json:"has_more"`
	}
	if err := c.client().call(e.ctx, http.MethodGet, "/v1/batches", url.Values{"limit": {strconv.Itoa(c.Limit)}}, nil, &out); err != nil {
		return err
	}
	return e.print(out, func(w io.Writer) {
		writeRow(w, "JOB", "STATUS", "MODEL", "ITEMS", "COMPLETED", "FAILED", "DUE", "AT RISK")
		for _, b := range out.Data {
			writeRow(w, b.ID, b.Status, b.Model, b.Counts.Total, b.Counts.Completed, b.Counts.Failed, formatUnix(b.ExpiresAt), b.AtRisk)
		}
	})
}
