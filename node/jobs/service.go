package jobs

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/gateway"
	"github.com/jacinthnotch/jacinthnotch/node/internal/clock"
	"github.com/jacinthnotch/jacinthnotch/policy/reach"
)

const (
	// storeLimit bounds the writes of one submission or end. Callers of a submission
	// wait a few seconds in all and send again elsewhere.
	storeLimit = 2500 * time.Millisecond
	// confirmLimit bounds the read that proves that a job does not exist.
	confirmLimit = time.Second
	// storeRetry is the time after which a caller may return when the store is away.
	// Callers of submissions return until their patience of some seconds is over.
	storeRetry = 300 * time.Millisecond
	// maxResults bounds the texts of one answer, in bytes; the platform allows 1 MB
	// with its framing.
	maxResults = 900 << 10
	// maxSubmission bounds a submission, in bytes, when the configuration does not.
	maxSubmission = 4 << 20
)

// Service answers the calls about jobs.
type Service struct {
	Index  *Index
	Blobs  *BlobStore
	Runner *Runner
	Codec  Codec
	// StorePath tells how this instance reaches the store.
	StorePath StorePath
	// Revision returns the configuration in force.
	Revision func() *serving.Revision
	// Refuse writes a refusal with the time after which the caller may return.
	Refuse func(w http.ResponseWriter, status int, retryAfter time.Duration, cause string)
	// Self names this instance.
	Self joblog.Holder
}

// StorePath tells how an instance reaches the store.
type StorePath interface {
	// Outlook returns what the instance believes of the store.
	Outlook() reach.Reachability
	// Limit returns how long a call takes at most while any path works.
	Limit() time.Duration
}

// Serve answers a call about jobs; false means that the request is none.
func (s *Service) Serve(w http.ResponseWriter, r *http.Request, route *serving.Route) bool {
	call, ok := s.Codec.ParseCall(r, route != nil)
	if !ok {
		return false
	}
	switch call.Kind {
	case Submit:
		s.submit(w, r, call)
	case ReadResults:
		s.results(w, r, call)
	case ReadItem:
		s.item(w, r, call)
	case End:
		s.end(w, r, call)
	}
	return true
}

// refuse answers without success and logs why.
func (s *Service) refuse(w http.ResponseWriter, call Call, status int, cause string, err error) {
	klog.InfoS("call about a job refused", "job", call.Job, "kind", call.Kind.String(), "status", status, "cause", cause, "err", err)
	retryAfter := time.Duration(0)
	if status == http.StatusServiceUnavailable {
		retryAfter = storeRetry
	}
	s.Refuse(w, status, retryAfter, cause)
}

// known returns a snapshot of a job.
func (s *Service) known(id string) (job *joblog.Job, changed <-chan struct{}, fresh bool) {
	changed, fresh = s.Index.Read(func(b *joblog.Table) {
		if j := b.Job(id); j != nil {
			view := *j
			job = &view
		}
	})
	return job, changed, fresh
}

// prove returns a job, or nil with proof that it does not exist.
func (s *Service) prove(ctx context.Context, id string) (*joblog.Job, error) {
	if job, _, _ := s.known(id); job != nil {
		return job, nil
	}
	ctx, cancel := context.WithTimeout(ctx, confirmLimit)
	defer cancel()
	if err := s.Index.CatchUp(ctx); err != nil {
		return nil, err
	}
	job, _, _ := s.known(id)
	return job, nil
}

func (s *Service) submit(w http.ResponseWriter, r *http.Request, call Call) {
	began := time.Now()
	limit := int64(maxSubmission)
	if revision := s.Revision(); revision != nil && revision.Limits.BodyBytes > 0 {
		limit = revision.Limits.BodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if !errors.As(err, &tooLarge) {
			panic(http.ErrAbortHandler) // the caller broke off
		}
		s.refuse(w, call, http.StatusRequestEntityTooLarge, "submission above the limit", err)
		return
	}
	if job, _, _ := s.known(call.Job); job != nil {
		klog.InfoS("job submitted again", "job", call.Job, "acceptedBy", job.Instance)
		w.WriteHeader(http.StatusAccepted)
		return
	}
	items, err := s.Codec.ParseSubmission(body)
	if err != nil || call.Job == "" || len(items) == 0 || len(items) > joblog.MaxItems {
		s.refuse(w, call, http.StatusBadRequest, "not a submission", err)
		return
	}
	if outlook := s.StorePath.Outlook(); outlook == reach.Unreachable || outlook == reach.Isolated || s.Index.outage.suspected(began) {
		s.refuse(w, call, http.StatusServiceUnavailable, "the store is away, outlook "+outlook.String(), nil)
		return
	}
	// The outcome does not depend on whether this caller stays.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), storeLimit)
	defer cancel()
	record, err := s.keepContent(ctx, call, r, items)
	if err != nil {
		// Without an acceptance in the index nothing of the job runs.
		s.refuse(w, call, http.StatusServiceUnavailable, "the store did not take the items", err)
		return
	}
	if err := s.record(ctx, &joblog.Record{Accepted: record}); err != nil {
		if noEffect(err) {
			s.refuse(w, call, http.StatusServiceUnavailable, "the store did not take the job", err)
			return
		}
		s.refuse(w, call, http.StatusGatewayTimeout, "the store may have taken the job", err)
		return
	}
	klog.InfoS("job accepted", "job", call.Job, "items", len(items), "took", time.Since(began))
	w.WriteHeader(http.StatusAccepted)
}

// keepContent writes the items to the store and returns the acceptance.
func (s *Service) keepContent(ctx context.Context, call Call, r *http.Request, items []Item) (*joblog.Accepted, error) {
	content, err := encodeItems(items)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.StorePath.Limit())
	defer cancel()
	extents, err := s.Blobs.Write(ctx, partitionOf(call.Job), [][]byte{content})
	if err != nil {
		s.Index.outage.noteFailed(time.Now())
		return nil, err
	}
	s.Index.outage.noteAnswered()
	tokens := make([]int64, len(items))
	for i := range items {
		tokens[i] = items[i].Tokens
	}
	return &joblog.Accepted{
		Tokens: tokens, At: time.Now().UnixMilli(), Job: call.Job, Host: gateway.Host(r), Path: r.URL.EscapedPath(), Items: len(items), Content: extents[0],
		Holder: s.Self,
	}, nil
}

// record appends a record whose repeat is void, until it is written. It returns
// port.ErrUnavailable only when no try can have written it.
func (s *Service) record(ctx context.Context, r *joblog.Record) error {
	var unknown error
	for {
		err := s.Index.Append(ctx, r)
		switch {
		case err == nil:
			return nil
		case !noEffect(err):
			unknown = err
		case unknown == nil && ctx.Err() == nil:
			return err
		}
		if ctx.Err() != nil {
			if unknown != nil {
				return unknown
			}
			return err
		}
		clock.Sleep(ctx, retryLeast)
	}
}

// partitionOf spreads jobs over the partitions of the bulk topic.
func partitionOf(job string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job)) // a hash never fails
	return int(h.Sum32() >> 1)
}

func (s *Service) results(w http.ResponseWriter, r *http.Request, call Call) {
	deadline := time.NewTimer(call.Wait)
	defer deadline.Stop()
	for waited := false; ; {
		job, changed, fresh := s.known(call.Job)
		if job == nil {
			var err error
			if job, err = s.prove(r.Context(), call.Job); err != nil {
				s.refuse(w, call, http.StatusServiceUnavailable, "the store cannot be read", err)
				return
			}
			if job == nil {
				s.refuse(w, call, http.StatusNotFound, "no such job", nil)
				return
			}
			continue
		}
		if call.After < len(job.Results) {
			s.answerResults(w, r, call, job)
			return
		}
		complete := len(job.Results) == len(job.Items)
		if complete || waited || call.Wait <= 0 || job.Ended {
			if !fresh && !complete {
				s.refuse(w, call, http.StatusServiceUnavailable, "not sure that there is no result", nil)
				return
			}
			s.writeResults(w, call, job, nil)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			waited = true
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// answerResults reads the texts of the listed items and answers.
func (s *Service) answerResults(w http.ResponseWriter, r *http.Request, call Call, job *joblog.Job) {
	var listed []ItemResult
	size := 0
	for _, result := range job.Results[call.After:] {
		if len(listed) > 0 && size+joblog.TotalBytes(result.Output) > maxResults {
			break
		}
		entry := ItemResult{ID: result.ID, DeadLetter: result.State == joblog.DeadLetter}
		if !entry.DeadLetter {
			ctx, cancel := context.WithTimeout(r.Context(), confirmLimit)
			text, err := s.Blobs.Read(ctx, result.Output)
			cancel()
			if err != nil {
				if len(listed) > 0 {
					break // the rest is read by the next call
				}
				s.refuse(w, call, http.StatusServiceUnavailable, "the text cannot be read", err)
				return
			}
			entry.Text = text
		}
		size += len(entry.Text)
		listed = append(listed, entry)
	}
	s.writeResults(w, call, job, listed)
}

func (s *Service) writeResults(w http.ResponseWriter, call Call, job *joblog.Job, listed []ItemResult) {
	raw, err := s.Codec.EncodeResults(len(job.Items), call.After, listed)
	if err != nil {
		s.refuse(w, call, http.StatusInternalServerError, "results not encoded", err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A caller that cannot be written to has left.
	_, _ = w.Write(raw)
}

func (s *Service) item(w http.ResponseWriter, r *http.Request, call Call) {
	job, err := s.prove(r.Context(), call.Job)
	switch {
	case err != nil:
		s.refuse(w, call, http.StatusServiceUnavailable, "the store cannot be read", err)
		return
	case job == nil || job.Ended:
		s.refuse(w, call, http.StatusNotFound, "no such job, or it is ended", nil)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), confirmLimit)
	defer cancel()
	items, err := s.Runner.content(ctx, &job.Accepted)
	if err != nil {
		s.refuse(w, call, http.StatusServiceUnavailable, "the items cannot be read", err)
		return
	}
	for i := range items {
		if items[i].ID == call.Item {
			w.Header().Set("Content-Type", "application/octet-stream")
			// A caller that cannot be written to has left.
			_, _ = w.Write(items[i].Body)
			return
		}
	}
	s.refuse(w, call, http.StatusNotFound, "no such item", nil)
}

func (s *Service) end(w http.ResponseWriter, r *http.Request, call Call) {
	job, err := s.prove(r.Context(), call.Job)
	switch {
	case err != nil:
		s.refuse(w, call, http.StatusServiceUnavailable, "the store cannot be read", err)
		return
	case job == nil:
		s.refuse(w, call, http.StatusNotFound, "no such job", nil)
		return
	}
	if !job.Ended {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), storeLimit)
		defer cancel()
		if err := s.record(ctx, &joblog.Record{Ended: &joblog.Ended{Job: call.Job}}); err != nil {
			s.refuse(w, call, http.StatusServiceUnavailable, "the store did not take the end", err)
			return
		}
		klog.InfoS("job ended by its owner", "job", call.Job)
	}
	w.WriteHeader(http.StatusOK)
}
