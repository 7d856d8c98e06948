package store

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"github.com/sourcegraph/conc/pool"

	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

const (
	// maxPageSize limits a page. An owner returns at most one element more, which
	// shows that there is another page.
	maxPageSize = 100
	// maxConcurrentLists limits the concurrent list requests to owners.
	maxConcurrentLists = 16
)

// ownerList is the list of one owner and the partitions that it covers.
type ownerList[T any] struct {
	items      []T
	partitions []uint32
}

// Files implements api.Jobs.
func (s *Store) Files(ctx context.Context, workspace, after string, limit int) (api.FilePage, error) {
	limit = min(max(limit, 1), maxPageSize)
	in := &peerpb.ListFilesRequest{Workspace: workspace, Limit: uint32(limit + 1), BeforeId: after}
	if after != "" {
		f, err := s.FileInfo(ctx, workspace, after)
		if err != nil {
			return api.FilePage{}, err
		}
		in.BeforeMs = f.CreatedAt.UnixMilli()
	}
	files, err := gather(ctx, s, func(ctx context.Context, t target) (ownerList[api.File], *peerpb.Refusal, error) {
		// The local owner changes its request, so each owner gets its own copy.
		req := &peerpb.ListFilesRequest{Workspace: in.Workspace, Limit: in.Limit, BeforeMs: in.BeforeMs, BeforeId: in.BeforeId}
		out, err := s.jobs(t).ListFiles(ctx, req)
		list := ownerList[api.File]{partitions: out.GetPartitions()}
		for _, f := range out.GetFiles() {
			list.items = append(list.items, toFile(f))
		}
		return list, out.GetRefusal(), err
	})
	if err != nil {
		return api.FilePage{}, err
	}
	files = sortNewestFirst(files, func(f api.File) (int64, string) { return f.CreatedAt.UnixMilli(), f.ID })
	return api.FilePage{Files: files[:min(limit, len(files))], More: len(files) > limit}, nil
}

// List implements api.Jobs.
func (s *Store) List(ctx context.Context, workspace, after string, limit int) (api.JobPage, error) {
	limit = min(max(limit, 1), maxPageSize)
	in := &peerpb.ListJobsRequest{Workspace: workspace, Limit: uint32(limit + 1), BeforeId: after}
	if after != "" {
		j, err := s.Get(ctx, workspace, after)
		if err != nil {
			return api.JobPage{}, err
		}
		in.BeforeMs = j.CreatedAt.UnixMilli()
	}
	jobs, err := gather(ctx, s, func(ctx context.Context, t target) (ownerList[api.Job], *peerpb.Refusal, error) {
		// The local owner changes its request, so each owner gets its own copy.
		req := &peerpb.ListJobsRequest{Workspace: in.Workspace, Limit: in.Limit, BeforeMs: in.BeforeMs, BeforeId: in.BeforeId}
		out, err := s.jobs(t).List(ctx, req)
		list := ownerList[api.Job]{partitions: out.GetPartitions()}
		for _, j := range out.GetJobs() {
			list.items = append(list.items, toJob(j))
		}
		return list, out.GetRefusal(), err
	})
	if err != nil {
		return api.JobPage{}, err
	}
	jobs = sortNewestFirst(jobs, func(j api.Job) (int64, string) { return j.CreatedAt.UnixMilli(), j.ID })
	return api.JobPage{Jobs: jobs[:min(limit, len(jobs))], More: len(jobs) > limit}, nil
}

// gather fetches the lists of all owners and concatenates them. It returns a refusal
// if the lists do not cover every partition.
func gather[T any](ctx context.Context, s *Store, fetch func(context.Context, target) (ownerList[T], *peerpb.Refusal, error)) ([]T, error) {
	ctx, cancel := withDefaultDeadline(ctx)
	defer cancel()
	owners := map[string]bool{}
	for p := range s.opts.Partitions {
		if instance, _ := s.opts.Preference.Preferred(p); instance != "" {
			owners[instance] = true
		}
	}
	workers := pool.NewWithResults[ownerList[T]]().WithErrors().WithMaxGoroutines(maxConcurrentLists)
	for instance := range owners {
		workers.Go(func() (list ownerList[T], err error) {
			refusal, err := s.callInstance(ctx, instance, attemptTimeout, func(ctx context.Context, t target) (r *peerpb.Refusal, err error) {
				list, r, err = fetch(ctx, t)
				return r, err
			})
			if refusal != nil {
				err = errors.Join(err, toRefusal(refusal))
			}
			return list, err
		})
	}
	lists, err := workers.Wait()
	if err != nil {
		return nil, s.ownerUnavailable(false, err)
	}
	covered := map[uint32]bool{}
	var all []T
	for _, list := range lists {
		all = append(all, list.items...)
		for _, partition := range list.partitions {
			covered[partition] = true
		}
	}
	if len(covered) < s.opts.Partitions {
		return nil, s.ownerUnavailable(false, errNoOwner)
	}
	return all, nil
}

// sortNewestFirst sorts by time and identifier, newest first, and removes
// duplicates: during a change of owner two instances may list the same element.
func sortNewestFirst[T any](list []T, at func(T) (int64, string)) []T {
	slices.SortFunc(list, func(a, b T) int {
		ams, aid := at(a)
		bms, bid := at(b)
		if c := cmp.Compare(bms, ams); c != 0 {
			return c
		}
		return cmp.Compare(bid, aid)
	})
	return slices.CompactFunc(list, func(a, b T) bool {
		_, aid := at(a)
		_, bid := at(b)
		return aid == bid
	})
}
