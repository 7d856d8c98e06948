package jobs

import (
	"context"
	"errors"
	"expvar"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/policy/quota"
)

// limitedJob is a job on a route that limits the waiting tokens.
type limitedJob struct {
	id     string
	key    quota.Key
	limit  int64
	tokens int64
}

// admissions decides which jobs fit under the limits of their routes. The lock of the index
// guards it.
type admissions struct{ table *quota.Table }

// observe passes the sums of all routes to the table after a read up to the end of the index.
func (a *admissions) observe(now time.Time, t *joblog.Table) {
	isKnown := func(job string) bool { return t.Job(job) != nil }
	t.ForEachWaiting(func(k joblog.WaitingKey, w joblog.Waiting) {
		a.table.Observe(now, quota.Key{Route: k.Route, Workspace: k.Workspace}, toSum(w), isKnown)
	})
	t.ResetLowest()
}

func toSum(w joblog.Waiting) quota.Sum {
	return quota.Sum{Waiting: w.Tokens, Lowest: w.Lowest, Finished: w.Finished}
}

// Admit decides on a job and, if it may be appended, counts it as pending. For AcceptAt it
// returns the offset at which the index has to end.
func (x *Index) Admit(job limitedJob, instances int) (verdict quota.Verdict, offset int64) {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	verdict = x.admissions.table.Decide(now, job.key, job.limit, job.tokens, instances)
	if verdict.Decision == quota.Accept || verdict.Decision == quota.AcceptAt {
		x.admissions.table.Begin(now, job.key, job.id, job.tokens)
	}
	return verdict, x.table.Next()
}

// Fits reports whether a job fits under its limit, as far as the instance knows.
func (x *Index) Fits(job limitedJob, instances int) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	verdict := x.admissions.table.Decide(time.Now(), job.key, job.limit, job.tokens, instances)
	return verdict.Decision == quota.Accept || verdict.Decision == quota.AcceptAt
}

// CancelAdmission withdraws a job whose record was not appended and never will be.
func (x *Index) CancelAdmission(job limitedJob) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.admissions.table.Cancel(job.key, job.id)
}

// AppendAt appends a record on the condition that the index ends at an offset. Errors are
// those of port.Store.
func (x *Index) AppendAt(ctx context.Context, offset int64, r *joblog.Record) error {
	raw, err := r.Encode()
	if err != nil {
		return errors.Join(port.ErrUnavailable, err)
	}
	return x.store.AppendAt(ctx, indexPartition, offset, [][]byte{raw})
}

// WaitingMetrics returns the sums of waiting tokens by route, over all workspaces, with their age.
func (x *Index) WaitingMetrics() expvar.Func {
	type waiting struct {
		Tokens int64 `json:"tokens"`
		AgeMs  int64 `json:"age_ms"`
	}
	return func() any {
		now := time.Now()
		x.mu.Lock()
		defer x.mu.Unlock()
		routes := map[string]waiting{}
		x.table.ForEachWaiting(func(k joblog.WaitingKey, w joblog.Waiting) {
			routes[k.Route] = waiting{routes[k.Route].Tokens + w.Tokens, now.Sub(x.currentAt).Milliseconds()}
		})
		return routes
	}
}

// refusal is the reason for which a job is not accepted.
type refusal struct {
	status     int
	retryAfter time.Duration
	cause      string
	err        error
}

// checkLimit refuses a job that does not fit at once, before its items are written. It
// returns nil for any other job.
func (s *Service) checkLimit(ctx context.Context, job limitedJob) *refusal {
	if s.Index.Fits(job, s.instances()) {
		return nil
	}
	// Items may have been finished since the last read.
	if err := s.Index.CatchUp(ctx); err != nil {
		return storeRefusal(false, err)
	}
	if known, _, _ := s.lookUp(job.id); known != nil {
		return nil
	}
	verdict, _ := s.Index.Admit(job, s.instances())
	s.Index.CancelAdmission(job)
	if verdict.Decision == quota.Refuse || verdict.Decision == quota.Postpone {
		return s.limitRefusal(job, verdict)
	}
	return nil
}

// instances returns the number of live instances.
func (s *Service) instances() int { return len(s.Runner.Members.Alive()) + 1 }

// appendLimited appends the acceptance record of a job under the limit of its route. It
// returns nil if the job is accepted.
func (s *Service) appendLimited(ctx context.Context, job limitedJob, record *joblog.Accepted) *refusal {
	verdict, _ := s.Index.Admit(job, s.instances())
	if verdict.Decision != quota.Accept {
		s.Index.CancelAdmission(job)
		return s.appendAtEnd(ctx, job, record)
	}
	err := s.appendIdempotent(ctx, &joblog.Record{Accepted: record})
	if err == nil {
		return nil
	}
	if noEffect(err) {
		s.Index.CancelAdmission(job)
	}
	return storeRefusal(!noEffect(err), err)
}

// appendAtEnd appends the acceptance record on the condition that it follows the records that
// the decision was made on, and repeats both until that succeeds.
//
// An append whose outcome is unknown can still take effect only while the index ends at its
// offset; once the index is longer and does not hold the job, it never will.
func (s *Service) appendAtEnd(ctx context.Context, job limitedJob, record *joblog.Accepted) *refusal {
	unknownAt := int64(-1) // the offset of an append whose outcome is unknown
	for {
		if err := s.Index.CatchUp(ctx); err != nil {
			return storeRefusal(unknownAt >= 0, err)
		}
		if known, _, _ := s.lookUp(job.id); known != nil {
			return nil
		}
		verdict, offset := s.Index.Admit(job, s.instances())
		if offset > unknownAt {
			unknownAt = -1
		}
		if verdict.Decision == quota.Refuse || verdict.Decision == quota.Postpone {
			if unknownAt >= 0 {
				return storeRefusal(true, port.ErrOutcomeUnknown)
			}
			return s.limitRefusal(job, verdict)
		}
		err := s.Index.AppendAt(ctx, offset, &joblog.Record{Accepted: record})
		if err == nil {
			return nil
		}
		if !errors.Is(err, port.ErrOffsetMismatch) && !noEffect(err) {
			unknownAt = offset // the job stays pending until the index tells
		} else if unknownAt < 0 {
			s.Index.CancelAdmission(job)
		}
		if noEffect(err) || ctx.Err() != nil {
			return storeRefusal(unknownAt >= 0, err)
		}
	}
}

func storeRefusal(unknown bool, err error) *refusal {
	if unknown {
		return &refusal{status: http.StatusGatewayTimeout, cause: "the store may have taken the job", err: err}
	}
	return &refusal{status: http.StatusServiceUnavailable, retryAfter: storeRetryAfter, cause: "the store did not take the job", err: err}
}

// limitRefusal refuses a job that does not fit, or not yet.
func (s *Service) limitRefusal(job limitedJob, verdict quota.Verdict) *refusal {
	klog.InfoS("limit on waiting tokens", "job", job.id, "route", job.key.Route, "decision", verdict.Decision.String(), "tokens", job.tokens,
		"waiting", verdict.Waiting, "limit", job.limit, "age", time.Since(verdict.ReadAt), "retryAfter", verdict.RetryAfter)
	if verdict.Decision == quota.Refuse {
		s.Runner.Metrics.count("refused_over_limit")
		return &refusal{status: http.StatusTooManyRequests, retryAfter: verdict.RetryAfter, cause: "more tokens would wait on the route than its limit"}
	}
	s.Runner.Metrics.count("postponed_at_limit")
	return &refusal{status: http.StatusServiceUnavailable, retryAfter: verdict.RetryAfter, cause: "other jobs may take the rest of the route's limit"}
}
