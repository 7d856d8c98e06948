package batchapi

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc/panics"

	"github.com/jacinthnotch/jacinthnotch/domain/ident"
	"github.com/jacinthnotch/jacinthnotch/node/api"
)

const (
	outputPrefix = "output-"
	errorPrefix  = "errors-"
	// contentBufferBytes is the size of the buffer from which content is sent.
	contentBufferBytes = 64 << 10
)

// resultFile identifies the output file or the error file of a job.
type resultFile struct {
	job string
	// failed is set for the error file, which holds the failed items.
	failed bool
}

// parseResultFile parses the identifier of a result file.
func parseResultFile(id string) (resultFile, bool) {
	if job, ok := strings.CutPrefix(id, outputPrefix); ok {
		return resultFile{job: job}, validJob(job)
	}
	job, ok := strings.CutPrefix(id, errorPrefix)
	return resultFile{job: job, failed: true}, ok && validJob(job)
}

func validJob(id string) bool {
	_, err := ident.JobPartition(id)
	return err == nil
}

// resultLine is one line of an output or error file of the OpenAI API.
type resultLine struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *resultResponse `json:"response"`
	Error    *resultError    `json:"error"`
}

type resultResponse struct {
	StatusCode int    `json:"status_code"`
	RequestID  string `json:"request_id"`
	Body       any    `json:"body"`
}

type resultError struct {
	Code    string      `json:"code"`
	Message string      `json:"message"`
	Outcome api.Outcome `json:"outcome"`
}

// newResultLine returns the line for one result, in JSON.
func newResultLine(job string, res *api.ItemResult) ([]byte, error) {
	line := resultLine{ID: fmt.Sprintf("%s-%d", job, res.Item), CustomID: res.CustomID}
	if res.Status > 0 {
		line.Response = &resultResponse{StatusCode: res.Status, RequestID: line.ID, Body: string(res.Body)}
		if json.Valid(res.Body) {
			line.Response.Body = json.RawMessage(res.Body)
		}
	}
	if isFailed(res) {
		line.Error = &resultError{Code: res.Code, Message: res.Message, Outcome: res.Outcome}
		if line.Error.Code == "" {
			line.Error.Code = string(failureCode(res))
		}
	}
	return json.Marshal(line)
}

func isFailed(res *api.ItemResult) bool { return res.Failed || res.Outcome != api.Ran }

func failureCode(res *api.ItemResult) api.Code {
	if res.Outcome == api.Unknown {
		return api.CodeOutcomeUnknown
	}
	return api.CodeServerFailed
}

// forEachResultLine calls write for each line of a result file.
func (a *API) forEachResultLine(ctx context.Context, workspace string, file resultFile, write func([]byte) error) error {
	return a.opts.Jobs.Results(ctx, workspace, file.job, func(res *api.ItemResult) error {
		if isFailed(res) != file.failed {
			return nil
		}
		line, err := newResultLine(file.job, res)
		if err != nil {
			return fmt.Errorf("batchapi: result of item %d: %w", res.Item, err)
		}
		return write(line)
	})
}

// resultFileInfo returns the file object of a result file. It reads the whole file to
// determine the size.
func (a *API) resultFileInfo(ctx context.Context, workspace, id string, file resultFile) (fileObject, error) {
	job, err := a.job(ctx, workspace, file.job, "file_id")
	if err != nil {
		return fileObject{}, err
	}
	f := fileObject{ID: id, Object: "file", Filename: id + ".jsonl", Purpose: "batch_output", Status: "processed",
		CreatedAt: job.CreatedAt.Unix()}
	if !job.CompletedAt.IsZero() {
		f.CreatedAt = job.CompletedAt.Unix()
	}
	err = a.forEachResultLine(ctx, workspace, file, func(line []byte) error {
		f.Lines++
		f.Bytes += int64(len(line)) + 1
		return nil
	})
	return f, err
}

// streamLines streams the lines that read passes to its callback as the body of the
// response. size is the size of the body in bytes, or -1 if it is unknown. If read
// fails, the connection is closed early, so that the caller cannot mistake truncated
// content for the whole.
func (a *API) streamLines(c fiber.Ctx, size int, read func(context.Context, func([]byte) error) error) error {
	ctx, cancel := context.WithCancel(a.baseCtx)
	pr, pw := io.Pipe()
	a.senders.Go(func() {
		out := bufio.NewWriterSize(pw, contentBufferBytes)
		var err error
		recovered := panics.Try(func() {
			err = read(ctx, func(line []byte) error {
				out.Write(line)
				return out.WriteByte('\n')
			})
			if err == nil {
				err = out.Flush()
			}
		})
		if recovered != nil {
			err = recovered.AsError()
		}
		if err != nil && ctx.Err() == nil {
			contentFailures.Add(1)
		}
		pw.CloseWithError(err)
	})
	c.Set(fiber.HeaderContentType, "application/jsonl")
	c.Status(http.StatusOK).Response().SetBodyStream(&cancelReader{pr, cancel}, size)
	return nil
}

// cancelReader cancels the goroutine that writes to the pipe when it is closed.
type cancelReader struct {
	*io.PipeReader
	cancel context.CancelFunc
}

// Close is called by fasthttp after the response has been sent or the caller has
// disconnected.
func (r *cancelReader) Close() error {
	r.cancel()
	return r.PipeReader.Close()
}
