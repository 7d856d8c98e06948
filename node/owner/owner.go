// Package owner manages the partitions that an instance owns: it claims them,
// maintains their state, serves requests for their keyed calls, files, jobs and
// items, and releases them.
//
// One goroutine per partition owns all of its state. Other goroutines reach it
// through a bounded queue of events: records from the tail of the log, results
// of appends, requests. A request is acknowledged only after its entries were
// read back from the log under the owner's epoch (docs/design.md 2.3).
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
	// it is this one. The instance is empty until the members are known, so that
	// a starting instance does not claim partitions that live instances own.
	Preferred(partition int) (instance string, self bool)
	// Address returns the IP address and port of an instance's peer listener.
	Address(instance string) (string, bool)
	// Alive reports whether the instance is a live member.
	Alive(instance string) bool
	// Changes delivers a value after a result of the other methods has changed.
	Changes() <-chan struct{}
}

// Options configure a Manager. A zero value selects the default given with the
// field.
type Options struct {
	// Instance is the name of this instance. Incarnation differs after each restart.
	Instance    string
	Incarnation uint64
	// Partitions is the number of partitions of the fleet.
	Partitions int
	Log        port.Log
	Preference Preference
	// Peers connects to directors to notify them of ended jobs; nil disables the notices.
	Peers peer.Connector
	// Audit receives audit events; it may be nil.
	Audit api.AuditSink
	// Retention of aggregates; default 24 h for calls and keys, 7 days for jobs and files.
	Retention partition.Retention
	// LogRetention is how long the log keeps records; default 7 days.
	LogRetention time.Duration
	// LeaseDuration is how long a director may hold an item without renewing its
	// lease; default 60 s, well above the time to generate the next token of a
	// long answer, and short enough to repeat an item within its job's hours.
	LeaseDuration time.Duration
	// CacheBytes bounds the cache of decoded records of all partitions; default 32 MiB.
	CacheBytes int64
	// MaxClaims bounds the partitions that are replayed and claimed at once; default 4.
	MaxClaims int
	// MaxQueuedEvents bounds the event queue of one partition; default 1,024.
	MaxQueuedEvents int
	// MaxWaiters bounds, for one partition, the requests that wait for their
	// record and separately those that wait for a running call; default 16,384.
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

// Backlog describes the pending items of one model on the partitions of this instance.
type Backlog struct {
	Model string
	// Items is the number of items without an outcome, including leased ones.
	Items int
	// EarliestDueMs is the earliest due time of the model's jobs, in Unix milliseconds.
	EarliestDueMs int64
	// JobsAtRisk is the number of jobs not expected to complete by their due time.
	JobsAtRisk int
	// ItemsPerSecond is the recent rate of recorded outcomes.
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
