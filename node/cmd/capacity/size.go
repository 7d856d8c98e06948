package main

// targetSize is the planned size of the fleet in two years (docs/design.md 1.6).
var targetSize = struct {
	Instances, Servers, Workspaces, Models, Partitions int
	Requests, Tokens                                   float64 // per second, at the peak
	TokenGap                                           float64 // seconds between two tokens of a stream
	Items, Jobs, Changes                               float64 // per day
	LargestJob                                         int
	Failures, Restarts                                 float64 // instances per day
	BudgetCPU, BudgetMemory, BudgetBytes               float64
	EffectTwelve, EffectAll                            float64 // seconds until a configuration is in force on 12 and on all instances
}{
	Instances: 390, Servers: 740, Workspaces: 560, Models: 7, Partitions: 64,
	Requests: 3200, Tokens: 890_000, TokenGap: 0.071,
	Items: 220e6, Jobs: 19_000, Changes: 1500, LargestJob: 620_000,
	Failures: 6, Restarts: 340,
	BudgetCPU: 0.017, BudgetMemory: 32e6, BudgetBytes: 2000,
	EffectTwelve: 2, EffectAll: 8,
}

// assumptions are the quantities that the figures depend on and docs/design.md does not
// specify.
var assumptions = struct {
	// ItemInput and ItemResult are the sizes of an item's input line and result, in bytes.
	ItemInput, ItemResult int
	// ItemTokens is the number of generated tokens of an item.
	ItemTokens float64
	// Appends is the number of appends per second that the log accepts from all users.
	Appends float64
	// Keyed is the share of requests with an Idempotency-Key, and NonIdempotent the share
	// of these that are not idempotent.
	Keyed, NonIdempotent float64
	// JobHours is the time from a job's creation to its end. RetentionDays is the retention
	// of results, CallHours that of keyed calls (the default of call_retention_minutes) and
	// LogDays that of the log.
	JobHours, RetentionDays, CallHours, LogDays float64
	// AuditEntries is the number of audit entries per day other than those for
	// configuration changes.
	AuditEntries float64
	// Link is the rate at which a new owner reads the log, in bytes per second.
	Link float64
}{
	ItemInput: 1000, ItemResult: 1000, ItemTokens: 250, Appends: 400, Keyed: 0.2, NonIdempotent: 0.05,
	JobHours: 12, RetentionDays: 7, CallHours: 2, LogDays: 7, AuditEntries: 100_000, Link: 125e6,
}
