// Package store implements api.Calls and api.Jobs with requests to the owners of
// partitions: the local owner directly and the owners at other instances over drpc.
//
// Every request to an owner may be retried: a Begin carries the identifier of
// its attempt, and Finish, BindKey, Create, Cancel and uploads are idempotent.
// A budget limits the retries.
package store

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"
	"storj.io/drpc"

	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/owner"
	"github.com/jacinthnotch/jacinthnotch/node/peer"
	"github.com/jacinthnotch/jacinthnotch/node/stream"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

const (
	// defaultRequestTimeout limits a request whose context has no deadline.
	defaultRequestTimeout = 30 * time.Second
	// attemptWait is how long one attempt may wait at the owner, attemptSlack the
	// additional time for its answer. An owner whose connection is silent is
	// detected after their sum.
	attemptWait  = 5 * time.Second
	attemptSlack = 2 * time.Second
	// idempotentBeginRetryTime is how long the Begin of an idempotent call is
	// retried before the call runs without a record, maxRetryTime how long other
	// requests are retried. The loss of an owner is detected in about 3 s and the
	// owner replaced in 2 s (docs/design.md 5).
	idempotentBeginRetryTime = 2 * time.Second
	maxRetryTime             = 8 * time.Second
	// Retries add at most a tenth to the successful requests (docs/design.md 1.3).
	// maxRetryTokens covers the requests that arrive during one change of owner.
	retryTokensPerSuccess = 0.1
	maxRetryTokens        = 200
	// retryAfter is the delay that a caller is asked for when no owner answers.
	retryAfter = time.Second
)

var (
	retriesSent       = expvar.NewInt("store_retries_total")
	retriesRefused    = expvar.NewInt("store_retries_refused_total")
	hintsFollowed     = expvar.NewInt("store_owner_hints_followed_total")
	ownersUnavailable = expvar.NewInt("store_owner_unavailable_total")
)

// Options configures a Store.
type Options struct {
	// Instance is the name of this instance.
	Instance string
	// Partitions is the number of partitions of the fleet.
	Partitions int
	// Local is the owner of this instance's partitions.
	Local *owner.Manager
	// Preference returns the preferred owners of partitions and their addresses.
	Preference owner.Preference
	// Peers provides connections to the other instances.
	Peers peer.Connector
}

// Store implements api.Calls and api.Jobs. It is safe for concurrent use.
type Store struct {
	opts            Options
	budget          retryBudget
	startedAttempts attemptTracker
}

var (
	_ api.Calls = (*Store)(nil)
	_ api.Jobs  = (*Store)(nil)
)

// New returns a store.
func New(o Options) *Store {
	return &Store{opts: o, budget: retryBudget{tokens: maxRetryTokens}, startedAttempts: attemptTracker{byCall: map[callKey]trackedAttempt{}}}
}

// retryBudget is a token bucket that limits retries to a share of the successful
// requests.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxRetryTokens, b.tokens+retryTokensPerSuccess)
}

func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		retriesRefused.Add(1)
		return false
	}
	b.tokens--
	retriesSent.Add(1)
	return true
}

// target is the instance that a request is sent to. conn is nil for the local owner.
type target struct{ conn drpc.Conn }

// ownerRequest sends a request to one target. A refusal comes from the owner, an
// error from the transport.
type ownerRequest func(ctx context.Context, t target) (*peerpb.Refusal, error)

// withDefaultDeadline adds a deadline to a context that has none.
func withDefaultDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultRequestTimeout)
}

// waitMs returns how long the owner may wait in an attempt with ctx, in
// milliseconds. A tenth of attemptSlack is left for the answer to arrive before the
// deadline of ctx.
func waitMs(ctx context.Context) int64 {
	wait := attemptWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)-attemptSlack/10)
	}
	return max(1, wait.Milliseconds())
}

// callOwner sends a request to the owner of a partition. timeout limits each
// attempt. While no owner answers, callOwner retries with backoff for up to
// retryTime. It follows an instance's hint at the owner without delay, but not two
// hints in a row. It returns the refusal of the owner, or one that says that no
// owner could be reached.
func (s *Store) callOwner(ctx context.Context, partition int, retryTime, timeout time.Duration, request ownerRequest) error {
	start, mayHaveArrived, hint, followedHint := time.Now(), false, "", false
	var cause error
	for failures := 1; ; failures++ {
		instance, _ := s.opts.Preference.Preferred(partition)
		if hint != "" {
			instance = hint
		}
		refusal, err := s.callInstance(ctx, instance, timeout, request)
		if err == nil && (refusal == nil || refusal.Code != string(api.CodeOwnerUnavailable)) {
			if refusal == nil {
				s.budget.deposit()
				return nil
			}
			return toRefusal(refusal)
		}
		mayHaveArrived, cause = mayHaveArrived || err != nil && isPossiblySent(err) || refusal.GetUnknown(), err
		if hint = ""; refusal.GetOwnerHint() != "" && refusal.OwnerHint != instance && !followedHint {
			hint, followedHint = refusal.OwnerHint, true
			hintsFollowed.Add(1)
			continue
		}
		if ctx.Err() != nil || time.Since(start) >= retryTime || !s.budget.withdraw() {
			return s.ownerUnavailable(mayHaveArrived, cause)
		}
		followedHint = false
		if (stream.WallClock{}).Sleep(ctx, stream.Backoff(failures)) != nil {
			return s.ownerUnavailable(mayHaveArrived, cause)
		}
	}
}

// ownerUnavailable counts a request without an answer from an owner and returns the
// refusal for it. The outcome is unknown if the request may have arrived.
func (s *Store) ownerUnavailable(mayHaveArrived bool, cause error) error {
	ownersUnavailable.Add(1)
	r := api.Unavailable(api.CodeOwnerUnavailable, retryAfter, "the owner of this key, file or job cannot be reached")
	r.Err = cause
	if mayHaveArrived {
		r.Outcome = api.Unknown
	}
	return r
}

var errNoOwner = errors.New("store: no owner is known")

// callInstance sends one attempt of a request to an instance.
func (s *Store) callInstance(ctx context.Context, instance string, timeout time.Duration, request ownerRequest) (*peerpb.Refusal, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if instance == s.opts.Instance {
		return request(ctx, target{})
	}
	address, ok := s.opts.Preference.Address(instance)
	if !ok || s.opts.Peers == nil {
		return nil, errNoOwner
	}
	conn := s.opts.Peers.Conn(ctx, address)
	defer conn.Close()
	return request(ctx, target{conn})
}

// isPossiblySent reports whether a failed request may have arrived. It is certain
// not to have arrived only if no connection was opened.
func isPossiblySent(err error) bool {
	if errors.Is(err, errNoOwner) {
		return false
	}
	op := (*net.OpError)(nil)
	return !(errors.As(err, &op) && op.Op == "dial")
}

// refusalStatuses holds the HTTP statuses of owners' refusals.
var refusalStatuses = map[api.Code]int{
	api.CodeInvalidRequest:   http.StatusBadRequest,
	api.CodeInvalidFile:      http.StatusBadRequest,
	api.CodeNotFound:         http.StatusNotFound,
	api.CodeKeyConflict:      http.StatusConflict,
	api.CodeTooLarge:         http.StatusRequestEntityTooLarge,
	api.CodeDeadline:         http.StatusGatewayTimeout,
	api.CodeOverloaded:       http.StatusServiceUnavailable,
	api.CodeLogUnavailable:   http.StatusServiceUnavailable,
	api.CodeOwnerUnavailable: http.StatusServiceUnavailable,
}

// toRefusal converts an owner's refusal for the caller. A code without a known
// status becomes an internal error.
func toRefusal(r *peerpb.Refusal) *api.Refusal {
	out := &api.Refusal{Code: api.Code(r.Code), Message: r.Message, Outcome: api.Unknown,
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond}
	if r.NotRun && !r.Unknown {
		out.Outcome = api.NotRun
	}
	var ok bool
	if out.Status, ok = refusalStatuses[out.Code]; !ok {
		klog.InfoS("owner refused request with an unexpected code", "code", r.Code, "message", r.Message)
		out.Code, out.Status = api.CodeInternal, http.StatusInternalServerError
	}
	return out
}
