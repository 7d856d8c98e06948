package store

import (
	"context"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/ident"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// jobsClient has the methods that the local owner and the drpc client of an owner
// at another instance have in common.
type jobsClient interface {
	BindKey(context.Context, *peerpb.BindKeyRequest) (*peerpb.BindKeyResponse, error)
	GetFile(context.Context, *peerpb.FileRequest) (*peerpb.FileInfo, error)
	ListFiles(context.Context, *peerpb.ListFilesRequest) (*peerpb.ListFilesResponse, error)
	Create(context.Context, *peerpb.CreateJobRequest) (*peerpb.JobInfo, error)
	Get(context.Context, *peerpb.JobRequest) (*peerpb.JobInfo, error)
	List(context.Context, *peerpb.ListJobsRequest) (*peerpb.ListJobsResponse, error)
	Cancel(context.Context, *peerpb.CancelJobRequest) (*peerpb.JobInfo, error)
}

func (s *Store) jobs(t target) jobsClient {
	if t.conn == nil {
		return s.opts.Local
	}
	return peerpb.NewDRPCJobsClient(t.conn)
}

// filePartition and jobPartition return the partition of an identifier. A malformed
// identifier is refused as not found.
func filePartition(id string) (int, error) {
	p, err := ident.FilePartition(id)
	if err != nil {
		return 0, api.NotFound("file_id", "no such file")
	}
	return p, nil
}

func jobPartition(id string) (int, error) {
	p, err := ident.JobPartition(id)
	if err != nil {
		return 0, api.NotFound("batch_id", "no such batch")
	}
	return p, nil
}

// BindKey implements api.Jobs.
func (s *Store) BindKey(ctx context.Context, req api.BindKeyRequest) (string, error) {
	ctx, cancel := withDefaultDeadline(ctx)
	defer cancel()
	var out *peerpb.BindKeyResponse
	p := ident.KeyPartition(req.Workspace, req.Key, s.opts.Partitions)
	err := s.callOwner(ctx, p, maxRetryTime, attemptTimeout, func(ctx context.Context, t target) (*peerpb.Refusal, error) {
		var err error
		out, err = s.jobs(t).BindKey(ctx, &peerpb.BindKeyRequest{Workspace: req.Workspace, Key: req.Key,
			Content: req.Content, JobId: req.JobID, WaitMs: waitMs(ctx)})
		return out.GetRefusal(), err
	})
	return out.GetJobId(), err
}

// jobRequest sends a request about a job to its owner.
func (s *Store) jobRequest(ctx context.Context, id string, f func(context.Context, jobsClient) (*peerpb.JobInfo, error)) (api.Job, error) {
	p, err := jobPartition(id)
	if err != nil {
		return api.Job{}, err
	}
	ctx, cancel := withDefaultDeadline(ctx)
	defer cancel()
	var out *peerpb.JobInfo
	err = s.callOwner(ctx, p, maxRetryTime, attemptTimeout, func(ctx context.Context, t target) (*peerpb.Refusal, error) {
		var err error
		out, err = f(ctx, s.jobs(t))
		return out.GetRefusal(), err
	})
	if err != nil {
		return api.Job{}, err
	}
	return toJob(out), nil
}

// Create implements api.Jobs.
func (s *Store) Create(ctx context.Context, spec api.JobSpec) (api.Job, error) {
	return s.jobRequest(ctx, spec.ID, func(ctx context.Context, j jobsClient) (*peerpb.JobInfo, error) {
		return j.Create(ctx, &peerpb.CreateJobRequest{WaitMs: waitMs(ctx), Job: &recordpb.JobCreated{
			JobId: spec.ID, Workspace: spec.Workspace, Key: spec.Key, FileId: spec.FileID, Endpoint: spec.Endpoint,
			Model: spec.Model, Items: uint32(spec.Items), DueMs: spec.Due.UnixMilli(), Weight: uint32(max(spec.Weight, 0)),
			NonIdempotent: spec.NonIdempotent, Metadata: spec.Metadata, Window: spec.Window}})
	})
}

// Get implements api.Jobs.
func (s *Store) Get(ctx context.Context, workspace, jobID string) (api.Job, error) {
	return s.jobRequest(ctx, jobID, func(ctx context.Context, j jobsClient) (*peerpb.JobInfo, error) {
		return j.Get(ctx, &peerpb.JobRequest{Workspace: workspace, JobId: jobID})
	})
}

// Cancel implements api.Jobs.
func (s *Store) Cancel(ctx context.Context, workspace, jobID, actor string) (api.Job, error) {
	return s.jobRequest(ctx, jobID, func(ctx context.Context, j jobsClient) (*peerpb.JobInfo, error) {
		return j.Cancel(ctx, &peerpb.CancelJobRequest{Workspace: workspace, JobId: jobID, Actor: actor, WaitMs: waitMs(ctx)})
	})
}

func toJob(in *peerpb.JobInfo) api.Job {
	j := in.GetJob()
	return api.Job{
		JobSpec: api.JobSpec{ID: j.GetJobId(), Workspace: j.GetWorkspace(), Key: j.GetKey(), FileID: j.GetFileId(),
			Endpoint: j.GetEndpoint(), Model: j.GetModel(), Items: int(j.GetItems()), Due: time.UnixMilli(j.GetDueMs()),
			Weight: int(j.GetWeight()), NonIdempotent: j.GetNonIdempotent(), Metadata: j.GetMetadata(), Window: j.GetWindow()},
		Status: api.JobStatus(in.Status), Completed: int(in.Completed), Failed: int(in.Failed), Unknown: int(in.Unknown),
		CreatedAt: toTime(in.CreatedMs), CancelledAt: toTime(in.CancelledMs), CompletedAt: toTime(in.CompletedMs),
		AtRisk: in.AtRisk, ItemsPerSecond: in.ItemsPerSecond,
	}
}

func toTime(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

func toFile(in *peerpb.FileInfo) api.File {
	f := in.GetFile()
	return api.File{ID: f.GetFileId(), Workspace: f.GetWorkspace(), Name: f.GetName(), Purpose: f.GetPurpose(),
		Lines: int(f.GetLines()), Bytes: int64(f.GetBytes()), Digest: f.GetDigest(), CreatedAt: toTime(in.GetCreatedMs())}
}

// FileInfo implements api.Jobs.
func (s *Store) FileInfo(ctx context.Context, workspace, fileID string) (api.File, error) {
	p, err := filePartition(fileID)
	if err != nil {
		return api.File{}, err
	}
	ctx, cancel := withDefaultDeadline(ctx)
	defer cancel()
	var out *peerpb.FileInfo
	err = s.callOwner(ctx, p, maxRetryTime, attemptTimeout, func(ctx context.Context, t target) (*peerpb.Refusal, error) {
		var err error
		out, err = s.jobs(t).GetFile(ctx, &peerpb.FileRequest{Workspace: workspace, FileId: fileID})
		return out.GetRefusal(), err
	})
	if err != nil {
		return api.File{}, err
	}
	return toFile(out), nil
}
