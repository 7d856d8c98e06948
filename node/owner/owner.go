// Package owner holds the partitions of an instance: it claims them, keeps their
// state, answers for their keyed calls, files, jobs and items, and gives them up.
//
// One duty (goroutine) per partition owns all of its state. Everything else
// reaches it through a bounded ring of events: records from the tail, answers of
// appends, requests. A request is acknowledged only after its entries were read
// back from the log under the own epoch (docs/design.md 2.3).
package owner

import (
	"expvar"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/partition"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/peer"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// Preference says which instance should hold a partition.
type Preference interface {
	// Preferred returns the instance that should hold the partition and whether
	// it is this one. The instance is empty as long as the members are not known,
	// so that a starting instance does not claim what live ones hold.
	Preferred(partition int) (instance string, self bool)
	// Address returns the IP address and port of an instance's peer listener.
	Address(instance string) (string, bool)
	// Alive reports whether the instance is a live member.
	Alive(instance string) bool
	// Changes delivers a value after any of the above has changed.
	Changes() <-chan struct{}
}

// Options configure the ownership of partitions. Zero values stand for the
// defaults given with each field.
type Options struct {
	// Instance is the own name, Incarnation differs between two of its lives.
	Instance    string
	Incarnation uint64
	// Partitions is the number of partitions of the fleet.
	Partitions int
	Log        port.Log
	Preference Preference
	// Peers carries notices to directors; nil sends none.
	Peers peer.Conns
	// Audit may be nil.
	Audit api.AuditSink
	// Retention of aggregates; calls and keys 24 h, jobs and files 7 days.
	Retention partition.Retention
	// LogRetention is how long the log keeps records; 7 days.
	LogRetention time.Duration
	// LeaseDuration is how long a director may hold an item unless it renews the
	// lease; 60 s, well above the time to generate a long answer's next token
	// and short enough for an item to be repeated within its job's hours.
	LeaseDuration time.Duration
	// CacheBytes bounds the decoded records kept for all partitions; 32 MiB.
	CacheBytes int64
	// MaxClaims bounds the partitions that are read and claimed at once; 4.
	MaxClaims int
	// MaxQueuedEvents bounds the events that wait for one duty; 1,024.
	MaxQueuedEvents int
	// MaxWaiters bounds the requests of one duty that wait for their record, and
	// those that wait for a running call; 16,384 each.
	MaxWaiters int
}

const (
	defaultCallRetention   = 24 * time.Hour
	defaultJobRetention    = 7 * 24 * time.Hour
	defaultLogRetention    = 7 * 24 * time.Hour
	defaultLeaseDuration   = time.Minute
	defaultCacheBytes      = 32 << 20
	defaultMaxClaims       = 4
	defaultMaxQueuedEvents = 1024
	defaultMaxWaiters      = 16384
)

func (o Options) withDefaults() Options {
	setDefault(&o.Retention.CallMs, defaultCallRetention.Milliseconds())
	setDefault(&o.Retention.KeyMs, defaultCallRetention.Milliseconds())
	setDefault(&o.Retention.JobMs, defaultJobRetention.Milliseconds())
	setDefault(&o.Retention.FileMs, defaultJobRetention.Milliseconds())
	setDefault(&o.LogRetention, defaultLogRetention)
	setDefault(&o.LeaseDuration, defaultLeaseDuration)
	setDefault(&o.CacheBytes, defaultCacheBytes)
	setDefault(&o.MaxClaims, defaultMaxClaims)
	setDefault(&o.MaxQueuedEvents, defaultMaxQueuedEvents)
	setDefault(&o.MaxWaiters, defaultMaxWaiters)
	return o
}

func setDefault[T comparable](field *T, fallback T) {
	var zero T
	if *field == zero {
		*field = fallback
	}
}

// Backlog is what the partitions of this instance have pending for one model.
type Backlog struct {
	Model string
	// Items are without an outcome, leased ones included.
	Items int
	// EarliestDueMs is the earliest due time of its jobs, in Unix milliseconds.
	EarliestDueMs int64
	// JobsAtRisk is the number of jobs not expected to end by their due time.
	JobsAtRisk int
	// ItemsPerSecond is the recent rate of outcomes.
	ItemsPerSecond float64
}

var (
	partitionsOwned      = expvar.NewInt("owner_partitions_owned")
	claimsWon            = expvar.NewInt("owner_claims_won_total")
	claimsLost           = expvar.NewInt("owner_claims_lost_total")
	stepDowns            = expvar.NewInt("owner_step_downs_total")
	releases             = expvar.NewInt("owner_releases_total")
	appendsOK            = expvar.NewInt("owner_appends_total")
	appendsFailed        = expvar.NewInt("owner_append_failures_total")
	appendsUnknown       = expvar.NewInt("owner_append_answers_lost_total")
	appendBytes          = expvar.NewInt("owner_append_bytes_total")
	entriesCommitted     = expvar.NewInt("owner_entries_committed_total")
	entriesRefused       = expvar.NewInt("owner_entries_refused_total")
	recordsVoid          = expvar.NewInt("owner_records_void_total")
	recordsReplayed      = expvar.NewInt("owner_records_replayed_total")
	eventsRejected       = expvar.NewInt("owner_events_rejected_total")
	waitersRefused       = expvar.NewInt("owner_waiters_refused_total")
	outages              = expvar.NewInt("owner_log_outages_total")
	partitionsDown       = expvar.NewInt("owner_partitions_with_log_down")
	snapshotsDone        = expvar.NewInt("owner_snapshots_total")
	entriesMoved         = expvar.NewInt("owner_entries_moved_total")
	cacheHits            = expvar.NewInt("owner_cache_hits_total")
	cacheMisses          = expvar.NewInt("owner_cache_misses_total")
	cacheBytesUsed       = expvar.NewInt("owner_cache_bytes")
	noticesDropped       = expvar.NewInt("owner_notices_dropped_total")
	itemsLeased          = expvar.NewInt("owner_items_leased_total")
	resultsRecorded      = expvar.NewInt("owner_item_results_total")
	partitionsIncomplete = expvar.NewInt("owner_partitions_incomplete_total")
)
