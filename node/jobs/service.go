package jobs

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"os"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/domain/workspace"
	"github.com/jacinthnotch/jacinthnotch/node/edge"
	"github.com/jacinthnotch/jacinthnotch/node/gateway"
	"github.com/jacinthnotch/jacinthnotch/node/internal/clock"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/policy/pathselect"
	"github.com/jacinthnotch/jacinthnotch/policy/quota"
)

const (
	// storeWriteTimeout is the timeout for all writes of one submission or end of a job.
	// Callers wait a few seconds in total for a submission and resend it to other
	// instances.
	storeWriteTimeout = 2500 * time.Millisecond
	// storeReadTimeout is the timeout for reading a blob, and for the read of the index
	// that confirms that a job does not exist.
	storeReadTimeout = time.Second
	// storeRetryAfter is the retry delay sent to callers while the store is unavailable.
	// Callers retry a submission for a few seconds before they give up.
	storeRetryAfter = 300 * time.Millisecond
	// maxResultBytes is the maximum size of the outputs in one response, in bytes. The
	// platform allows 1 MB including its framing.
	maxResultBytes = 900 << 10
	// maxSubmissionTime is the time for which a caller may take to send a submission.
	maxSubmissionTime = 30 * time.Second
	// maxResponseTime is the time for which a caller may take to read a response.
	maxResponseTime = time.Minute
	// defaultMaxSubmissionBytes is the maximum size of a submission, in bytes, if the
	// configuration has no limit.
	defaultMaxSubmissionBytes = 4 << 20
)

// Service serves the calls about jobs.
type Service struct {
	Index  *Index
	Blobs  *BlobStore
	Runner *Runner
	Codec  Codec
	// StorePath provides the reachability of the store from this instance.
	StorePath StorePath
	// Revision returns the configuration in force.
	Revision func() *serving.Revision
	// Refuse writes an error response. A retryAfter above zero tells the caller when to
	// retry.
	Refuse func(w http.ResponseWriter, status int, retryAfter time.Duration, cause string)
	// Closed reports whether the instance is about to stop and accepts no more connections; nil
	// if it never does.
	Closed func() bool
	// Self identifies this instance.
	Self joblog.Holder
}

// causeUnknownKey is the cause of the refusal of a call without a known key.
const causeUnknownKey = "a known key is required"

// causeNoJob is the cause of the refusal of a call about a job that does not exist, or not for the
// caller.
const causeNoJob = "no such job"

// causeClosed is the cause of the refusal of a call that could be cut off.
const causeClosed = "the instance is about to stop"

func (s *Service) isClosed() bool { return s.Closed != nil && s.Closed() }

// StorePath provides the reachability of the store from an instance.
type StorePath interface {
	// Reachability returns the reachability of the store as far as the instance knows.
	Reachability() pathselect.Reachability
	// CallTimeout returns the maximum time of a call while any path to the store works.
	CallTimeout() time.Duration
}

// Serve serves a call about jobs. It returns false, without a response, if the request is
// not such a call.
func (s *Service) Serve(w http.ResponseWriter, r *http.Request, route *serving.Route, caller workspace.Caller) bool {
	call, ok := s.Codec.ParseCall(r, route != nil)
	if !ok {
		return false
	}
	call.Caller = caller
	switch {
	case call.Kind == Submit && call.Caller.Unknown() && !route.Public:
		s.refuse(w, call, http.StatusUnauthorized, causeUnknownKey, nil)
		return true
	case call.Kind == Submit:
		s.handleSubmit(w, r, call, route)
		return true
	case s.isClosed():
		s.refuse(w, call, http.StatusServiceUnavailable, causeClosed, nil)
		return true
	}
	switch call.Kind {
	case ReadResults:
		s.handleReadResults(w, r, call)
	case ReadItem:
		s.handleReadItem(w, r, call)
	case End:
		s.handleEnd(w, r, call)
	}
	return true
}

// refuse writes an error response and logs its cause.
func (s *Service) refuse(w http.ResponseWriter, call Call, status int, cause string, err error) {
	retryAfter := time.Duration(0)
	if status == http.StatusServiceUnavailable {
		retryAfter = storeRetryAfter
	}
	s.writeRefusal(w, call, &refusal{status: status, retryAfter: retryAfter, cause: cause, err: err})
}

// writeRefusal writes an error response and logs its cause.
func (s *Service) writeRefusal(w http.ResponseWriter, call Call, r *refusal) {
	klog.InfoS("call about a job refused", "job", call.Job, "kind", call.Kind.String(), "status", r.status, "retryAfter", r.retryAfter, "cause", r.cause, "err", r.err)
	s.Refuse(w, r.status, r.retryAfter, r.cause)
}

// lookUp returns a snapshot of a job, or nil if it is unknown, with a channel that is
// closed at the next change of the index and whether the state is current.
func (s *Service) lookUp(id string) (job *joblog.Job, changed <-chan struct{}, current bool) {
	changed, current = s.Index.Read(func(t *joblog.Table) {
		if j := t.Job(id); j != nil {
			snapshot := *j
			job = &snapshot
		}
	})
	return job, changed, current
}

// findJob returns a job that the caller may access, or nil after it has refused the call. To a
// caller of another workspace a job does not exist.
func (s *Service) findJob(w http.ResponseWriter, r *http.Request, call Call) *joblog.Job {
	job, err := s.confirmJob(r.Context(), call.Job)
	switch {
	case call.Caller.Unknown() && (job == nil || job.Workspace != ""):
		s.refuse(w, call, http.StatusUnauthorized, causeUnknownKey, nil)
	case err != nil:
		s.refuse(w, call, http.StatusServiceUnavailable, "the store cannot be read", err)
	case job == nil, !job.AccessibleTo(call.Caller.Name()):
		s.refuse(w, call, http.StatusNotFound, causeNoJob, nil)
	default:
		return job
	}
	return nil
}

// confirmJob returns a job, or nil if a read of the index confirms that it does not exist.
func (s *Service) confirmJob(ctx context.Context, id string) (*joblog.Job, error) {
	if job, _, _ := s.lookUp(id); job != nil {
		return job, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	if err := s.Index.Refresh(ctx); err != nil {
		return nil, err
	}
	job, _, _ := s.lookUp(id)
	return job, nil
}

// errStoreAway is the error of a refresh while the store is known to be away.
var errStoreAway = fmt.Errorf("%w: the last call failed", port.ErrUnavailable)

// refresh reads the index up to its present end.
func (s *Service) refresh(ctx context.Context) error {
	if s.Index.storeHealth.unavailable(time.Now()) {
		return errStoreAway
	}
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	return s.Index.Refresh(ctx)
}

func (s *Service) handleSubmit(w http.ResponseWriter, r *http.Request, call Call, route *serving.Route) {
	start := time.Now()
	limit := int64(defaultMaxSubmissionBytes)
	if revision := s.Revision(); revision != nil && revision.Limits.BodyBytes > 0 {
		limit = revision.Limits.BodyBytes
	}
	// Only the writers of tests do not support deadlines.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(start.Add(maxSubmissionTime))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.Is(err, os.ErrDeadlineExceeded) {
			w.Header().Set("Connection", "close")
			s.refuse(w, call, http.StatusRequestTimeout, "the submission did not arrive in time", err)
			return
		}
		if errors.Is(err, edge.ErrPressure) {
			w.Header().Set("Connection", "close")
			s.refuse(w, call, http.StatusServiceUnavailable, "no memory for the submission now", nil)
			return
		}
		if !errors.As(err, &tooLarge) {
			panic(http.ErrAbortHandler) // the caller disconnected
		}
		s.refuse(w, call, http.StatusRequestEntityTooLarge, "submission above the limit", err)
		return
	}
	_ = controller.SetReadDeadline(time.Time{})
	if job, _, _ := s.lookUp(call.Job); job != nil {
		if !job.AccessibleTo(call.Caller.Name()) {
			s.refuse(w, call, http.StatusConflict, "the id is that of another job", nil)
			return
		}
		klog.InfoS("job submitted again", "job", call.Job, "acceptedBy", job.Instance)
		w.WriteHeader(http.StatusAccepted)
		return
	}
	items, err := s.Codec.ParseSubmission(body)
	if err != nil || call.Job == "" || len(items) == 0 || len(items) > joblog.MaxItems {
		s.refuse(w, call, http.StatusBadRequest, "not a submission", err)
		return
	}
	if err := s.validateItems(items); err != nil {
		s.refuse(w, call, http.StatusBadRequest, "invalid "+err.Error(), nil)
		return
	}
	if s.isClosed() {
		s.refuse(w, call, http.StatusServiceUnavailable, causeClosed, nil)
		return
	}
	if s.isStoreAway(r.Context(), start) {
		s.refuse(w, call, http.StatusServiceUnavailable, "the store is away, outlook "+s.StorePath.Reachability().String(), nil)
		return
	}
	klog.InfoS("job submission received", "job", call.Job, "items", len(items))
	// The outcome does not depend on whether the caller stays connected.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), storeWriteTimeout)
	defer cancel()
	job := newLimitedJob(call, route, items)
	if job.limit > 0 {
		if refused := s.checkLimit(ctx, job); refused != nil {
			s.writeRefusal(w, call, refused)
			return
		}
	}
	record, err := s.writeContent(ctx, call, r, items)
	if err != nil {
		// No item runs without an acceptance record in the index.
		s.refuse(w, call, http.StatusServiceUnavailable, "the store did not take the items", err)
		return
	}
	if refused := s.appendAcceptance(ctx, job, record); refused != nil {
		s.writeRefusal(w, call, refused)
		return
	}
	klog.InfoS("job accepted", "job", call.Job, "items", len(items), "took", time.Since(start))
	w.WriteHeader(http.StatusAccepted)
}

// isStoreAway reports whether the store is known to take no submission. While a path to it works, a
// read tells whether it is back from an earlier failure.
func (s *Service) isStoreAway(ctx context.Context, now time.Time) bool {
	if r := s.StorePath.Reachability(); r == pathselect.Unreachable || r == pathselect.Isolated {
		return true
	}
	if !s.Index.storeHealth.unavailable(now) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, s.StorePath.CallTimeout())
	defer cancel()
	return s.Index.CatchUp(ctx) != nil
}

// appendAcceptance appends the acceptance record of a job. It returns nil if the job is
// accepted.
func (s *Service) appendAcceptance(ctx context.Context, job limitedJob, record *joblog.Accepted) *refusal {
	record.Route = job.key.Route
	if job.limit > 0 {
		return s.appendLimited(ctx, job, record)
	}
	if err := s.appendIdempotent(ctx, &joblog.Record{Accepted: record}); err != nil {
		return storeRefusal(!noEffect(err), err)
	}
	return nil
}

// newLimitedJob returns a job with the limit of its route, which counts by workspace.
func newLimitedJob(call Call, route *serving.Route, items []Item) limitedJob {
	job := limitedJob{id: call.Job}
	if route != nil {
		job.key, job.limit = quota.Key{Route: route.Name, Workspace: call.Caller.Name()}, route.MaxWaitingTokens
	}
	for i := range items {
		job.tokens += max(0, items[i].Tokens)
	}
	return job
}

// writeContent writes the items to the store and returns the acceptance record.
func (s *Service) writeContent(ctx context.Context, call Call, r *http.Request, items []Item) (*joblog.Accepted, error) {
	content, err := encodeItems(items)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.StorePath.CallTimeout())
	defer cancel()
	extents, err := s.Blobs.Write(ctx, preferredPartition(call.Job), [][]byte{content})
	if err != nil {
		s.Index.storeHealth.recordFailure(time.Now())
		return nil, err
	}
	s.Index.storeHealth.recordSuccess()
	tokens := make([]int64, len(items))
	for i := range items {
		tokens[i] = items[i].Tokens
	}
	return &joblog.Accepted{
		Revision: s.revisionVersion(), Tokens: tokens, At: time.Now().UnixMilli(), Job: call.Job, Host: gateway.Host(r), Path: r.URL.EscapedPath(), Items: len(items), Content: extents[0],
		Workspace: call.Caller.Name(), Holder: s.Self,
	}, nil
}

// revisionVersion returns the version of the configuration in force, or zero if there is none.
func (s *Service) revisionVersion() int64 {
	if revision := s.Revision(); revision != nil {
		return revision.Version
	}
	return 0
}

// appendIdempotent appends a record of which duplicates are ignored. It retries after an
// unknown outcome until the record is written or ctx is done, and returns
// port.ErrUnavailable only if no attempt can have written it.
func (s *Service) appendIdempotent(ctx context.Context, r *joblog.Record) error {
	var unknownOutcome error
	for {
		err := s.Index.Append(ctx, r)
		switch {
		case err == nil:
			return nil
		case !noEffect(err):
			unknownOutcome = err
		case unknownOutcome == nil && ctx.Err() == nil:
			return err
		}
		if ctx.Err() != nil {
			if unknownOutcome != nil {
				return unknownOutcome
			}
			return err
		}
		clock.Sleep(ctx, minRetryDelay)
	}
}

// preferredPartition returns a hash that distributes jobs over the partitions of the bulk
// topic.
func preferredPartition(job string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job)) // a hash returns no error
	return int(h.Sum32() >> 1)
}

func (s *Service) handleReadResults(w http.ResponseWriter, r *http.Request, call Call) {
	deadline := time.NewTimer(call.Wait)
	defer deadline.Stop()
	for timedOut, refreshed := false, false; ; {
		job, changed, current := s.lookUp(call.Job)
		if job == nil || !job.AccessibleTo(call.Caller.Name()) {
			if s.findJob(w, r, call) == nil {
				return
			}
			continue
		}
		if call.After < len(job.Results) {
			s.readAndWriteResults(w, r, call, job)
			return
		}
		complete := len(job.Results) == len(job.Items)
		if complete || timedOut || call.Wait <= 0 || job.Ended {
			if !current && !complete && !refreshed {
				if err := s.refresh(r.Context()); err != nil {
					s.refuse(w, call, http.StatusServiceUnavailable, "not sure that there is no result", err)
					return
				}
				timedOut, refreshed = true, true // what was read is newer than the call
				continue
			}
			s.writeResults(w, r, call, job, nil)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			timedOut = true
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// readAndWriteResults reads the outputs of the results from call.After on and writes the
// response, which has at least one result and at most maxResultBytes of output otherwise.
func (s *Service) readAndWriteResults(w http.ResponseWriter, r *http.Request, call Call, job *joblog.Job) {
	s.prefetchOutputs(r.Context(), job.Results[call.After:])
	var results []ItemResult
	size := 0
	for _, result := range job.Results[call.After:] {
		if len(results) > 0 && size+joblog.TotalBytes(result.Output) > maxResultBytes {
			break
		}
		entry := ItemResult{ID: result.ID, DeadLetter: result.State == joblog.DeadLetter}
		if !entry.DeadLetter {
			ctx, cancel := context.WithTimeout(r.Context(), storeReadTimeout)
			output, err := s.Blobs.Read(ctx, result.Output)
			cancel()
			if err != nil {
				if len(results) > 0 {
					break // the next call reads the rest
				}
				s.refuse(w, call, http.StatusServiceUnavailable, "the text cannot be read", err)
				return
			}
			entry.Text = output
		}
		size += len(entry.Text)
		results = append(results, entry)
	}
	s.writeResults(w, r, call, job, results)
}

// prefetchOutputs reads the outputs of as many results as fit into a response.
func (s *Service) prefetchOutputs(ctx context.Context, results []*joblog.Result) {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	var outputs [][]joblog.Extent
	size := 0
	for _, result := range results {
		if size += joblog.TotalBytes(result.Output); size > maxResultBytes {
			break
		}
		outputs = append(outputs, result.Output)
	}
	s.Blobs.Prefetch(ctx, outputs)
}

func (s *Service) writeResults(w http.ResponseWriter, r *http.Request, call Call, job *joblog.Job, results []ItemResult) {
	raw, err := s.Codec.EncodeResults(len(job.Items), call.After, results)
	if err != nil {
		s.refuse(w, call, http.StatusInternalServerError, "results not encoded", err)
		return
	}
	s.write(w, r, call, "application/json", raw)
}

// write writes a response that counts in the memory of the caller's connection until it is read.
func (s *Service) write(w http.ResponseWriter, r *http.Request, call Call, contentType string, body []byte) {
	if !gateway.Hold(r.Context(), len(body)) {
		s.refuse(w, call, http.StatusServiceUnavailable, "no memory for the response now", nil)
		return
	}
	// Only the writers of tests do not support deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(maxResponseTime))
	w.Header().Set("Content-Type", contentType)
	// An error means that the caller has disconnected.
	_, _ = w.Write(body)
}

func (s *Service) handleReadItem(w http.ResponseWriter, r *http.Request, call Call) {
	job := s.findJob(w, r, call)
	if job == nil {
		return
	}
	if job.Ended {
		s.refuse(w, call, http.StatusNotFound, "the job is ended", nil)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), storeReadTimeout)
	defer cancel()
	items, err := s.Runner.content(ctx, &job.Accepted)
	if err != nil {
		s.refuse(w, call, http.StatusServiceUnavailable, "the items cannot be read", err)
		return
	}
	for i := range items {
		if items[i].ID == call.Item {
			s.write(w, r, call, "application/octet-stream", items[i].Body)
			return
		}
	}
	s.refuse(w, call, http.StatusNotFound, "no such item", nil)
}

func (s *Service) handleEnd(w http.ResponseWriter, r *http.Request, call Call) {
	job := s.findJob(w, r, call)
	if job == nil {
		return
	}
	if !job.Ended {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), storeWriteTimeout)
		defer cancel()
		if err := s.appendIdempotent(ctx, &joblog.Record{Ended: &joblog.Ended{Job: call.Job}}); err != nil {
			s.refuse(w, call, http.StatusServiceUnavailable, "the store did not take the end", err)
			return
		}
		klog.InfoS("job ended by its caller", "job", call.Job)
	}
	w.WriteHeader(http.StatusOK)
}
