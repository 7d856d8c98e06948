package owner

import (
	"context"
	"errors"
	"io"
	"iter"
	"slices"

	"storj.io/drpc"

	"github.com/jacinthnotch/jacinthnotch/domain/ident"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	// maxPageSize bounds the entries of one page of a list.
	maxPageSize = 200
	// maxMessageBytes is the size at which a message of lines or results is sent. It
	// leaves room for one more large line below the 4 MiB limit of node/peer.
	maxMessageBytes = 1 << 20
)

// Director implements the methods of the service Batch that a director serves.
type Director interface {
	Preempt(context.Context, *peerpb.PreemptRequest) (*peerpb.PreemptResponse, error)
	StopJob(context.Context, *peerpb.StopJobRequest) (*peerpb.StopJobResponse, error)
}

// Register adds the services Calls, Jobs and Batch to mux. Preempt and StopJob
// go to the director of this instance; nil leaves them unimplemented.
func (m *Manager) Register(mux drpc.Mux, director Director) error {
	if director == nil {
		director = &peerpb.DRPCBatchUnimplementedServer{}
	}
	return errors.Join(peerpb.DRPCRegisterCalls(mux, m), peerpb.DRPCRegisterJobs(mux, &jobServer{Manager: m}),
		peerpb.DRPCRegisterBatch(mux, &batchServer{Manager: m, Director: director}))
}

// batchServer combines the owner's and the director's methods of the service Batch.
type batchServer struct {
	*Manager
	Director
}

func (m *Manager) ownerOfKey(workspace, key string) (*partitionOwner, *peerpb.Refusal) {
	return m.localOwner(ident.KeyPartition(workspace, key, m.opts.Partitions))
}

// localOwner returns the local owner of a partition, or the refusal of the request.
func (m *Manager) localOwner(number int) (*partitionOwner, *peerpb.Refusal) {
	if number < 0 || number >= m.opts.Partitions {
		return nil, refuse(api.CodeNotFound, "no such identifier")
	}
	owner, hint := m.ownerOf(number)
	if owner == nil {
		return nil, refuseOwner(hint, "this instance does not hold the partition")
	}
	return owner, nil
}

// Begin implements the service Calls.
func (m *Manager) Begin(ctx context.Context, in *peerpb.BeginRequest) (*peerpb.BeginResponse, error) {
	owner, r := m.ownerOfKey(in.Workspace, in.Key)
	if r != nil {
		return &peerpb.BeginResponse{Refusal: r}, nil
	}
	return owner.begin(ctx, in)
}

// Finish implements the service Calls.
func (m *Manager) Finish(ctx context.Context, in *peerpb.FinishRequest) (*peerpb.FinishResponse, error) {
	owner, r := m.ownerOfKey(in.GetFinished().GetWorkspace(), in.GetFinished().GetKey())
	if r != nil {
		return &peerpb.FinishResponse{Refusal: r}, nil
	}
	return owner.finish(ctx, in)
}

// Lookup implements the service Calls.
func (m *Manager) Lookup(ctx context.Context, in *peerpb.LookupRequest) (*peerpb.BeginResponse, error) {
	owner, r := m.ownerOfKey(in.Workspace, in.Key)
	if r != nil {
		return &peerpb.BeginResponse{Refusal: r}, nil
	}
	return owner.lookup(ctx, in)
}

// BindKey implements the service Jobs.
func (m *Manager) BindKey(ctx context.Context, in *peerpb.BindKeyRequest) (*peerpb.BindKeyResponse, error) {
	owner, r := m.ownerOfKey(in.Workspace, in.Key)
	if r != nil {
		return &peerpb.BindKeyResponse{Refusal: r}, nil
	}
	return owner.bindKey(ctx, in)
}

// StoreFile records a file from an iterator over its lines. It fails with the first
// error of lines.
func (m *Manager) StoreFile(ctx context.Context, seal *recordpb.FileSealed, lines iter.Seq2[[]byte, error]) (*peerpb.FileInfo, error) {
	owner, r := m.localOwner(partitionOfFile(seal.GetFileId()))
	if r != nil {
		return &peerpb.FileInfo{Refusal: r}, nil
	}
	return owner.putFile(ctx, seal, lines)
}

// GetFile implements the service Jobs.
func (m *Manager) GetFile(ctx context.Context, in *peerpb.FileRequest) (*peerpb.FileInfo, error) {
	owner, r := m.localOwner(partitionOfFile(in.FileId))
	if r != nil {
		return fileOrRefusal(nil, r), nil
	}
	ctx, cancel := withDefaultTimeout(ctx, defaultWait)
	defer cancel()
	return fileOrRefusal(owner.fileInfo(ctx, in.Workspace, in.FileId)), nil
}

// ReadFile calls fn with consecutive groups of lines, starting at line in.First.
func (m *Manager) ReadFile(ctx context.Context, in *peerpb.FileRequest, fn func(first uint32, lines [][]byte) error) (*peerpb.Refusal, error) {
	owner, r := m.localOwner(partitionOfFile(in.FileId))
	if r != nil {
		return r, nil
	}
	return owner.readLines(ctx, in.Workspace, in.FileId, in.First, fn)
}

// ListFiles implements the service Jobs for the partitions that this instance owns.
func (m *Manager) ListFiles(ctx context.Context, in *peerpb.ListFilesRequest) (*peerpb.ListFilesResponse, error) {
	ctx, cancel := withDefaultTimeout(ctx, defaultWait)
	defer cancel()
	in.Limit = min(max(in.Limit, 1), maxPageSize)
	var all []*peerpb.FileInfo
	var covered []uint32
	for _, owner := range m.activeOwners() {
		list, r := owner.listFiles(ctx, in)
		if r != nil {
			return &peerpb.ListFilesResponse{Refusal: r}, nil
		}
		all, covered = append(all, list...), append(covered, uint32(owner.number))
	}
	all = newest(all, int(in.Limit), func(f *peerpb.FileInfo) (int64, string) { return f.CreatedMs, f.File.FileId })
	return &peerpb.ListFilesResponse{Files: all, Partitions: covered}, nil
}

// Create implements the service Jobs.
func (m *Manager) Create(ctx context.Context, in *peerpb.CreateJobRequest) (*peerpb.JobInfo, error) {
	owner, r := m.localOwner(partitionOfJob(in.GetJob().GetJobId()))
	if r != nil {
		return jobOrRefusal(nil, r), nil
	}
	return owner.create(ctx, in)
}

// Get implements the service Jobs.
func (m *Manager) Get(ctx context.Context, in *peerpb.JobRequest) (*peerpb.JobInfo, error) {
	owner, r := m.localOwner(partitionOfJob(in.JobId))
	if r != nil {
		return jobOrRefusal(nil, r), nil
	}
	return owner.getJob(ctx, in)
}

// List implements the service Jobs for the partitions that this instance owns.
func (m *Manager) List(ctx context.Context, in *peerpb.ListJobsRequest) (*peerpb.ListJobsResponse, error) {
	ctx, cancel := withDefaultTimeout(ctx, defaultWait)
	defer cancel()
	in.Limit = min(max(in.Limit, 1), maxPageSize)
	var all []*peerpb.JobInfo
	var covered []uint32
	for _, owner := range m.activeOwners() {
		list, r := owner.listJobs(ctx, in)
		if r != nil {
			return &peerpb.ListJobsResponse{Refusal: r}, nil
		}
		all, covered = append(all, list...), append(covered, uint32(owner.number))
	}
	all = newest(all, int(in.Limit), func(j *peerpb.JobInfo) (int64, string) { return j.CreatedMs, j.Job.JobId })
	return &peerpb.ListJobsResponse{Jobs: all, Partitions: covered}, nil
}

// Cancel implements the service Jobs.
func (m *Manager) Cancel(ctx context.Context, in *peerpb.CancelJobRequest) (*peerpb.JobInfo, error) {
	owner, r := m.localOwner(partitionOfJob(in.JobId))
	if r != nil {
		return jobOrRefusal(nil, r), nil
	}
	return owner.cancelJob(ctx, in)
}

// ReadResults calls fn for each recorded result, in order of items.
func (m *Manager) ReadResults(ctx context.Context, in *peerpb.JobRequest, fn func(*recordpb.ItemResult) error) (*peerpb.Refusal, error) {
	owner, r := m.localOwner(partitionOfJob(in.JobId))
	if r != nil {
		return r, nil
	}
	return owner.readResults(ctx, in, fn)
}

// PullItems leases items of a model to a director, starting with the partition that
// has the earliest due time.
func (m *Manager) PullItems(ctx context.Context, in *peerpb.PullItemsRequest) (*peerpb.PullItemsResponse, error) {
	ctx, cancel := withDefaultTimeout(ctx, defaultWait)
	defer cancel()
	out := &peerpb.PullItemsResponse{}
	remaining := int(min(in.MaxItems, maxPullItems))
	size := 0
	for _, owner := range m.ownersByDue(in.Model) {
		if remaining <= 0 || size >= maxMessageBytes {
			break
		}
		items, r := owner.pullItems(ctx, in, remaining)
		if r != nil && out.Refusal == nil {
			out.Refusal = r
		}
		for _, item := range items {
			size += len(item.Line)
		}
		out.Items = append(out.Items, items...)
		remaining -= len(items)
	}
	if len(out.Items) > 0 {
		out.Refusal = nil
	}
	return out, nil
}

// ownersByDue returns the owners with a backlog of the model, earliest due time first.
func (m *Manager) ownersByDue(model string) []*partitionOwner {
	type due struct {
		owner *partitionOwner
		ms    int64
	}
	var list []due
	for _, owner := range m.activeOwners() {
		backlog := owner.backlog.Load()
		if backlog == nil {
			continue
		}
		for _, b := range *backlog {
			if b.Items > 0 && (model == "" || b.Model == model) {
				list = append(list, due{owner, b.EarliestDueMs})
				break
			}
		}
	}
	slices.SortStableFunc(list, func(a, b due) int { return int(max(-1, min(1, a.ms-b.ms))) })
	out := make([]*partitionOwner, len(list))
	for i, entry := range list {
		out[i] = entry.owner
	}
	return out
}

// PushResults records the results of a director and takes back the items it returns.
func (m *Manager) PushResults(ctx context.Context, in *peerpb.PushResultsRequest) (*peerpb.PushResultsResponse, error) {
	owner, r := m.localOwner(partitionOfJob(in.JobId))
	if r != nil {
		return &peerpb.PushResultsResponse{Refusal: r}, nil
	}
	return owner.pushResults(ctx, in)
}

func currentEpoch(ctx context.Context, o *partitionOwner) (uint64, *peerpb.Refusal) {
	return query(ctx, o, func() (uint64, *peerpb.Refusal) { return o.writer.Epoch(), nil })
}

// jobServer adapts the streaming calls of the service Jobs.
type jobServer struct{ *Manager }

// PutFile implements the service Jobs. It reads the upload to its end even if the
// answer is known before: drpc buffers one message in each direction, so that two
// sides that only send would deadlock.
func (s *jobServer) PutFile(stream peerpb.DRPCJobs_PutFileStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	ended := false
	info, err := s.StoreFile(stream.Context(), first.File, func(yield func([]byte, error) bool) {
		for in := first; ; {
			for _, l := range in.Lines {
				if !yield(l, nil) {
					return
				}
			}
			var err error
			if in, err = stream.Recv(); errors.Is(err, io.EOF) {
				ended = true
				return
			} else if err != nil {
				yield(nil, err)
				return
			}
		}
	})
	for err == nil && !ended {
		if _, err = stream.Recv(); errors.Is(err, io.EOF) {
			ended, err = true, nil
		}
	}
	if err != nil {
		return err
	}
	return stream.SendAndClose(info)
}

// FileContent implements the service Jobs.
func (s *jobServer) FileContent(in *peerpb.FileRequest, stream peerpb.DRPCJobs_FileContentStream) error {
	refusal, err := s.ReadFile(stream.Context(), in, func(first uint32, lines [][]byte) error {
		return stream.Send(&peerpb.Lines{FirstLine: first, Lines: lines})
	})
	if refusal != nil {
		return stream.Send(&peerpb.Lines{Refusal: refusal})
	}
	return err
}

// Results implements the service Jobs.
func (s *jobServer) Results(in *peerpb.JobRequest, stream peerpb.DRPCJobs_ResultsStream) error {
	page, size := &peerpb.ResultPage{}, 0
	refusal, err := s.ReadResults(stream.Context(), in, func(r *recordpb.ItemResult) error {
		page.Results = append(page.Results, r)
		if size += len(r.Body); size < maxMessageBytes {
			return nil
		}
		full := page
		page, size = &peerpb.ResultPage{}, 0
		return stream.Send(full)
	})
	if err != nil {
		return err
	}
	if page.Refusal = refusal; refusal == nil && len(page.Results) == 0 {
		return nil
	}
	return stream.Send(page)
}
