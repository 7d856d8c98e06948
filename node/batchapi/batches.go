package batchapi

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/jacinthnotch/jacinthnotch/domain/ident"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/web"
)

const (
	// minWindow and maxWindow limit the time from the submission to the due time.
	minWindow = time.Minute
	maxWindow = 30 * 24 * time.Hour

	// The limits of metadata are those of the OpenAI API. Lengths are in bytes.
	maxMetadataEntries    = 16
	maxMetadataKeyBytes   = 64
	maxMetadataValueBytes = 512

	defaultWeight = 100

	defaultBatchLimit, maxBatchLimit = 20, 100
)

// submission is the body of POST /v1/batches.
type submission struct {
	InputFileID string            `json:"input_file_id"`
	Endpoint    string            `json:"endpoint"`
	Window      string            `json:"completion_window"`
	Metadata    map[string]string `json:"metadata"`
	// DueAt, in Unix seconds, is an extension of the OpenAI API. It takes precedence
	// over Window.
	DueAt int64 `json:"due_at"`
	// NonIdempotent is set from a request header, not from the body.
	NonIdempotent bool `json:"-"`
}

// parseSubmission parses and validates the body of POST /v1/batches. The returned
// time is the due time of the job.
func parseSubmission(body []byte, now time.Time) (submission, time.Time, error) {
	var sub submission
	fields, err := parseObject(body)
	if err != nil {
		r := api.Invalid("body", "the body is not a JSON object: %v", err)
		r.Code = api.CodeInvalidJSON
		return sub, now, r
	}
	targets := map[string]any{"input_file_id": &sub.InputFileID, "endpoint": &sub.Endpoint, "completion_window": &sub.Window,
		"metadata": &sub.Metadata, "due_at": &sub.DueAt}
	for name, raw := range fields {
		target, ok := targets[name]
		if !ok {
			return sub, now, api.Invalid(name, "the field is not known")
		}
		if json.Unmarshal(raw, target) != nil {
			return sub, now, api.Invalid(name, "the value has another type")
		}
	}
	if sub.InputFileID == "" {
		return sub, now, api.Invalid("input_file_id", "the field is missing")
	}
	if !slices.Contains(endpoints, sub.Endpoint) {
		return sub, now, api.Invalid("endpoint", "%q is not one of %v", sub.Endpoint, endpoints)
	}
	if err := checkMetadata(sub.Metadata); err != nil {
		return sub, now, err
	}
	due, err := sub.due(now)
	return sub, due, err
}

func (sub *submission) due(now time.Time) (time.Time, error) {
	if sub.DueAt != 0 {
		// A due time in the past is valid, so that a repeated submission of an
		// accepted job succeeds.
		due := time.Unix(sub.DueAt, 0)
		if sub.DueAt < 0 || due.After(now.Add(maxWindow)) {
			return now, api.Invalid("due_at", "the time is not within %s", maxWindow)
		}
		return due, nil
	}
	window, err := parseWindow(sub.Window)
	if err != nil || window < minWindow || window > maxWindow {
		return now, api.Invalid("completion_window", "%q is not a time span from 1m to 30d, such as \"24h\"", sub.Window)
	}
	return now.Add(window), nil
}

// parseWindow parses a duration in the notation of time.ParseDuration or as a
// number of days, such as "7d".
func parseWindow(s string) (time.Duration, error) {
	if days, ok := strings.CutSuffix(s, "d"); ok {
		n, err := strconv.ParseUint(days, 10, 8)
		return time.Duration(n) * 24 * time.Hour, err
	}
	return time.ParseDuration(s)
}

func checkMetadata(m map[string]string) error {
	if len(m) > maxMetadataEntries {
		return api.Invalid("metadata", "there are more than %d entries", maxMetadataEntries)
	}
	for k, v := range m {
		if k == "" || len(k) > maxMetadataKeyBytes || len(v) > maxMetadataValueBytes {
			return api.Invalid("metadata", "a name has 1 to %d bytes and a value at most %d", maxMetadataKeyBytes, maxMetadataValueBytes)
		}
	}
	return nil
}

// digest returns a digest of everything that defines the job. Submissions with the
// same key and the same digest are the same job.
func (sub *submission) digest() ([]byte, error) {
	// NonIdempotent is listed again, because its tag excludes it from the encoding of
	// submission.
	encoded, err := json.Marshal(struct {
		submission
		NonIdempotent bool
	}{*sub, sub.NonIdempotent})
	if err != nil {
		return nil, fmt.Errorf("batchapi: digest of a submission: %w", err)
	}
	sum := sha256.Sum256(encoded)
	return sum[:], nil
}

// createBatch serves POST /v1/batches.
func (a *API) createBatch(c fiber.Ctx, r web.Request) error {
	key, err := web.IdempotencyKey(c)
	if err != nil {
		return err
	}
	nonIdempotent, err := web.NonIdempotent(c)
	if err != nil {
		return err
	}
	body, err := web.ReadBody(c, web.BodyLimits{Bytes: web.LowerLimit(a.opts.Limits.BodyBytes, r.View.Limits.MaxBodyBytes),
		Timeout: a.opts.Limits.ReadTimeout, MinRate: a.opts.Limits.MinReadRate})
	if err != nil {
		return err
	}
	sub, due, err := parseSubmission(body, time.Now())
	if err != nil {
		return err
	}
	sub.NonIdempotent = nonIdempotent
	ctx, cancel := a.requestContext()
	defer cancel()
	spec, err := a.jobSpec(ctx, r, sub, due)
	if err != nil {
		return err
	}
	if spec.ID, err = a.bindKey(ctx, r, key, &sub); err != nil {
		return err
	}
	spec.Key = key
	job, err := a.opts.Jobs.Create(ctx, spec)
	if err != nil {
		return err
	}
	return c.JSON(newBatchObject(&job))
}

// errStopReading ends the reading of a file after its first line.
var errStopReading = errors.New("batchapi: no more lines needed")

// jobSpec returns the job of a submission. The endpoint and the model are those of the
// file's first line; the upload ensured that all lines have the same.
func (a *API) jobSpec(ctx context.Context, r web.Request, sub submission, due time.Time) (api.JobSpec, error) {
	file, err := a.fileInfo(ctx, r.Workspace, sub.InputFileID)
	if err != nil {
		return api.JobSpec{}, withNotFoundParam(err, "input_file_id")
	}
	var first item
	err = a.opts.Jobs.FileContent(ctx, r.Workspace, file.ID, 0, func(line []byte) error {
		var err error
		if first, err = parseLine(line); err != nil {
			return invalidLine(1, err)
		}
		return errStopReading
	})
	if err != nil && !errors.Is(err, errStopReading) {
		return api.JobSpec{}, err
	}
	if first.URL != sub.Endpoint {
		return api.JobSpec{}, api.Invalid("endpoint", "the items of the file are for %q", first.URL)
	}
	if m, ok := r.View.Models[first.Model]; !ok || !web.Allowed(m.Workspaces, r.Workspace) {
		return api.JobSpec{}, &api.Refusal{Code: api.CodeModelNotFound, Status: http.StatusNotFound, Param: "model",
			Message: fmt.Sprintf("the model %q of the file does not exist or is not open to this workspace", first.Model), Outcome: api.NotRun}
	}
	weight := r.View.Workspaces[r.Workspace].Weight
	if weight <= 0 {
		weight = defaultWeight
	}
	return api.JobSpec{Workspace: r.Workspace, FileID: file.ID, Endpoint: sub.Endpoint, Model: first.Model, Items: file.Lines,
		Due: due, Weight: weight, NonIdempotent: sub.NonIdempotent, Metadata: sub.Metadata, Window: sub.Window}, nil
}

// bindKey returns the identifier of the job: the one that the key is bound to, or a
// new one if there is no key.
func (a *API) bindKey(ctx context.Context, r web.Request, key string, sub *submission) (string, error) {
	partition, err := ident.FilePartition(sub.InputFileID)
	if err != nil {
		return "", api.NotFound("input_file_id", "no such file")
	}
	id := ident.JobID(r.Workspace, key, r.ID, partition)
	if key == "" {
		return id, nil
	}
	digest, err := sub.digest()
	if err != nil {
		return "", err
	}
	return a.opts.Jobs.BindKey(ctx, api.BindKeyRequest{Workspace: r.Workspace, Key: key, Content: digest, JobID: id})
}

// withNotFoundParam replaces a refusal with CodeNotFound by one that names param.
func withNotFoundParam(err error, param string) error {
	if r := api.AsRefusal(err); r.Code == api.CodeNotFound {
		return api.NotFound(param, "no such file")
	}
	return err
}

// job returns a job of the workspace.
func (a *API) job(ctx context.Context, workspace, id, param string) (api.Job, error) {
	if !validJob(id) {
		return api.Job{}, api.NotFound(param, "no such batch")
	}
	return a.opts.Jobs.Get(ctx, workspace, id)
}

// batch serves GET /v1/batches/{id}.
func (a *API) batch(c fiber.Ctx, r web.Request) error {
	ctx, cancel := a.requestContext()
	defer cancel()
	job, err := a.job(ctx, r.Workspace, c.Params("id"), "batch_id")
	if err != nil {
		return err
	}
	return c.JSON(newBatchObject(&job))
}

// cancelBatch serves POST /v1/batches/{id}/cancel.
func (a *API) cancelBatch(c fiber.Ctx, r web.Request) error {
	ctx, cancel := a.requestContext()
	defer cancel()
	id := c.Params("id")
	if !validJob(id) {
		return api.NotFound("batch_id", "no such batch")
	}
	job, err := a.opts.Jobs.Cancel(ctx, r.Workspace, id, "workspace "+r.Workspace)
	if err != nil {
		return err
	}
	return c.JSON(newBatchObject(&job))
}

// batches serves GET /v1/batches.
func (a *API) batches(c fiber.Ctx, r web.Request) error {
	limit, err := queryLimit(c, defaultBatchLimit, maxBatchLimit)
	if err != nil {
		return err
	}
	ctx, cancel := a.requestContext()
	defer cancel()
	page, err := a.opts.Jobs.List(ctx, r.Workspace, c.Query("after"), limit)
	if err != nil {
		return err
	}
	data := make([]batchObject, len(page.Jobs))
	for i := range page.Jobs {
		data[i] = newBatchObject(&page.Jobs[i])
	}
	return c.JSON(newList(data, func(b *batchObject) *string { return &b.ID }, page.More))
}
