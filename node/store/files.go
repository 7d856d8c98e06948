package store

import (
	"context"
	"errors"
	"io"
	"iter"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	// maxUploadMessageBytes limits the lines in one message of an upload.
	maxUploadMessageBytes = 512 << 10
	// transferTimeout limits one attempt of an upload or a download. The time of a
	// transfer depends on its size, so usually the caller's deadline is shorter.
	transferTimeout = 10 * time.Minute
)

// PutFile implements api.Jobs.
func (s *Store) PutFile(ctx context.Context, file api.File, lines iter.Seq[[]byte]) (api.File, error) {
	p, err := filePartition(file.ID)
	if err != nil {
		return api.File{}, err
	}
	// The lines are not sent if the owner already has the file or cannot be reached.
	known, err := s.FileInfo(ctx, file.Workspace, file.ID)
	if r := (*api.Refusal)(nil); err == nil || !errors.As(err, &r) || r.Code != api.CodeNotFound {
		return known, err
	}
	var out *peerpb.FileInfo
	err = s.callOwner(ctx, p, maxRetryTime, transferTimeout, func(ctx context.Context, t target) (*peerpb.Refusal, error) {
		seal := &recordpb.FileSealed{FileId: file.ID, Workspace: file.Workspace, Name: file.Name, Purpose: file.Purpose,
			Bytes: uint64(file.Bytes), Digest: file.Digest}
		var err error
		if t.conn == nil {
			out, err = s.opts.Local.StoreFile(ctx, seal, func(yield func([]byte, error) bool) {
				for l := range lines {
					if !yield(l, ctx.Err()) {
						return
					}
				}
			})
		} else {
			out, err = upload(ctx, peerpb.NewDRPCJobsClient(t.conn), seal, lines)
		}
		return out.GetRefusal(), err
	})
	if err != nil {
		return api.File{}, err
	}
	return toFile(out), nil
}

// upload sends a file to an owner at another instance. An owner that refuses the
// file stops reading, so after a failed send its answer is read.
func upload(ctx context.Context, c peerpb.DRPCJobsClient, seal *recordpb.FileSealed, lines iter.Seq[[]byte]) (*peerpb.FileInfo, error) {
	stream, err := c.PutFile(ctx)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	msg, size := &peerpb.PutFileRequest{File: seal}, 0
	for l := range lines {
		if size > 0 && size+len(l) > maxUploadMessageBytes {
			if err := stream.Send(msg); err != nil {
				return ownerAnswer(stream, err)
			}
			msg, size = &peerpb.PutFileRequest{}, 0
		}
		msg.Lines, size = append(msg.Lines, append([]byte(nil), l...)), size+len(l)+1
	}
	if err := stream.Send(msg); err != nil {
		return ownerAnswer(stream, err)
	}
	return stream.CloseAndRecv()
}

// ownerAnswer returns the answer of an owner that has closed the stream, which a
// failed send reports as io.EOF. Other errors of the send are returned.
func ownerAnswer(stream peerpb.DRPCJobs_PutFileClient, err error) (*peerpb.FileInfo, error) {
	if !errors.Is(err, io.EOF) {
		return nil, err
	}
	return stream.CloseAndRecv()
}

// callbackError wraps an error of the caller's function, to tell it from an error
// of the transport.
type callbackError struct{ err error }

func (e *callbackError) Error() string { return e.err.Error() }

// callbackCause returns the error with which the caller's function ended a
// download, and false for other errors.
func callbackCause(err error) (error, bool) {
	if c := (*callbackError)(nil); errors.As(err, &c) {
		return c.err, true
	}
	return nil, false
}

// FileContent implements api.Jobs. A retry resumes at the first line that was not
// passed to fn.
func (s *Store) FileContent(ctx context.Context, workspace, fileID string, first int, fn func([]byte) error) error {
	p, err := filePartition(fileID)
	if err != nil {
		return err
	}
	next := uint32(max(first, 0))
	var callbackErr error
	passLines := func(from uint32, lines [][]byte) error {
		if from != next {
			return errors.New("store: owner sent file lines out of order")
		}
		for _, l := range lines {
			if err := fn(l); err != nil {
				return &callbackError{err}
			}
			next++
		}
		return nil
	}
	err = s.callOwner(ctx, p, maxRetryTime, transferTimeout, func(ctx context.Context, t target) (*peerpb.Refusal, error) {
		in := &peerpb.FileRequest{Workspace: workspace, FileId: fileID, First: next}
		refusal, err := s.readContent(ctx, t, in, passLines)
		if cause, ok := callbackCause(err); ok {
			callbackErr = cause
			return nil, nil
		}
		return refusal, err
	})
	return errors.Join(callbackErr, err)
}

func (s *Store) readContent(ctx context.Context, t target, in *peerpb.FileRequest, fn func(uint32, [][]byte) error) (*peerpb.Refusal, error) {
	if t.conn == nil {
		return s.opts.Local.ReadFile(ctx, in, fn)
	}
	stream, err := peerpb.NewDRPCJobsClient(t.conn).FileContent(ctx, in)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	for {
		msg, err := stream.Recv()
		switch {
		case errors.Is(err, io.EOF):
			return nil, nil
		case err != nil:
			return nil, err
		case msg.Refusal != nil:
			return msg.Refusal, nil
		}
		if err := fn(msg.FirstLine, msg.Lines); err != nil {
			return nil, err
		}
	}
}

// Results implements api.Jobs. A retry skips the items that were passed to fn.
func (s *Store) Results(ctx context.Context, workspace, jobID string, fn func(*api.ItemResult) error) error {
	p, err := jobPartition(jobID)
	if err != nil {
		return err
	}
	last := -1
	var callbackErr error
	passResult := func(r *recordpb.ItemResult) error {
		if int(r.Item) <= last {
			return nil
		}
		if err := fn(itemResult(r)); err != nil {
			return &callbackError{err}
		}
		last = int(r.Item)
		return nil
	}
	err = s.callOwner(ctx, p, maxRetryTime, transferTimeout, func(ctx context.Context, t target) (*peerpb.Refusal, error) {
		refusal, err := s.readResults(ctx, t, &peerpb.JobRequest{Workspace: workspace, JobId: jobID}, passResult)
		if cause, ok := callbackCause(err); ok {
			callbackErr = cause
			return nil, nil
		}
		return refusal, err
	})
	return errors.Join(callbackErr, err)
}

func (s *Store) readResults(ctx context.Context, t target, in *peerpb.JobRequest, fn func(*recordpb.ItemResult) error) (*peerpb.Refusal, error) {
	if t.conn == nil {
		return s.opts.Local.ReadResults(ctx, in, fn)
	}
	stream, err := peerpb.NewDRPCJobsClient(t.conn).Results(ctx, in)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	for {
		page, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil, nil
		} else if err != nil {
			return nil, err
		}
		for _, r := range page.Results {
			if err := fn(r); err != nil {
				return nil, err
			}
		}
		if page.Refusal != nil {
			return page.Refusal, nil
		}
	}
}

func itemResult(r *recordpb.ItemResult) *api.ItemResult {
	out := &api.ItemResult{Item: int(r.Item), CustomID: r.CustomId, Outcome: api.Ran, Status: int(r.Status),
		Failed: r.Outcome == recordpb.Outcome_OUTCOME_FAILED, Body: r.Body, Code: r.Code, Message: r.Message}
	if r.Outcome == recordpb.Outcome_OUTCOME_UNKNOWN {
		out.Outcome = api.Unknown
	}
	return out
}
