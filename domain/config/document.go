package config

import (
	"strings"
	"time"
)

// Kind is the kind of a section, the first part of its name.
type Kind string

// The kinds of section.
const (
	KindFleet     Kind = "fleet"
	KindService   Kind = "services"
	KindModel     Kind = "models"
	KindAdapter   Kind = "adapters"
	KindCapacity  Kind = "capacity"
	KindWorkspace Kind = "workspaces"
)

// Values of Service.Kind and Service.Fencing.
const (
	ServiceKindModel = "model"
	ServiceKindPlain = "plain"
	FencingChecked   = "checked"
	FencingIgnored   = "ignored"
)

// Fleet is the section [fleet]. For this and all other sections, Keys holds the
// units, defaults and ranges of the fields.
type Fleet struct {
	Owner                string  `toml:"owner"`
	Format               int     `toml:"format"`
	Partitions           int     `toml:"partitions"`
	ResultRetentionHours int     `toml:"result_retention_hours"`
	CallRetentionMinutes int     `toml:"call_retention_minutes"`
	JobKeyRetentionHours int     `toml:"job_key_retention_hours"`
	LogRetentionHours    int     `toml:"log_retention_hours"`
	BatchMaxItems        int     `toml:"batch_max_items"`
	BatchMaxFileMiB      int     `toml:"batch_max_file_mib"`
	ItemAttempts         int     `toml:"item_attempts"`
	ItemLeaseMs          int     `toml:"item_lease_ms"`
	MaxBodyKiB           int     `toml:"max_body_kib"`
	DrainLagMs           int     `toml:"drain_lag_ms"`
	DrainLimitMs         int     `toml:"drain_limit_ms"`
	RetryBudgetShare     float64 `toml:"retry_budget_share"`
	QuarantineMinutes    int     `toml:"quarantine_minutes"`
	AuditAppendsPerS     float64 `toml:"audit_appends_per_s"`
}

// CallRetention returns how long a keyed call is kept after its outcome:
// call_retention_minutes or maxDeadline, the longest deadline of a request, whichever is
// longer, because a resend within the call's deadline must not run the call again.
func (f *Fleet) CallRetention(maxDeadline time.Duration) time.Duration {
	return max(time.Duration(f.CallRetentionMinutes)*time.Minute, maxDeadline)
}

// Service is a section [services.NAME].
type Service struct {
	Owner              string   `toml:"owner"`
	Kind               string   `toml:"kind"`
	DataCentres        []string `toml:"data_centres"`
	Fencing            string   `toml:"fencing"`
	NonIdempotent      bool     `toml:"non_idempotent"`
	NonIdempotentPaths []string `toml:"non_idempotent_paths"`
	ConnectTimeoutMs   int      `toml:"connect_timeout_ms"`
	HeaderTimeoutMs    int      `toml:"header_timeout_ms"`
	GapTimeoutMs       int      `toml:"gap_timeout_ms"`
	TotalTimeoutMs     int      `toml:"total_timeout_ms"`
	DefaultDeadlineMs  int      `toml:"default_deadline_ms"`
	MaxDeadlineMs      int      `toml:"max_deadline_ms"`
	MaxOrderMs         int      `toml:"max_order_ms"`
	ConnectionMaxAgeMs int      `toml:"connection_max_age_ms"`
	EjectFailureShare  float64  `toml:"eject_failure_share"`
	EjectMinRequests   int      `toml:"eject_min_requests"`
	EjectLatencyFactor float64  `toml:"eject_latency_factor"`
	ProbeIntervalMs    int      `toml:"probe_interval_ms"`
	ReturnSteps        int      `toml:"return_steps"`
	ReturnStepMs       int      `toml:"return_step_ms"`
	MaxEjectedShare    float64  `toml:"max_ejected_share"`
}

// IsNonIdempotent reports whether requests to path must not run twice.
func (s *Service) IsNonIdempotent(path string) bool {
	if s.NonIdempotent {
		return true
	}
	for _, p := range s.NonIdempotentPaths {
		if path == p || strings.HasPrefix(path, strings.TrimSuffix(p, "/")+"/") {
			return true
		}
	}
	return false
}

// Model is a section [models.NAME].
type Model struct {
	Owner           string   `toml:"owner"`
	Service         string   `toml:"service"`
	Version         string   `toml:"version"`
	Adapters        []string `toml:"adapters"`
	ContextTokens   int      `toml:"context_tokens"`
	Replicas        int      `toml:"replicas"`
	PrefillReplicas int      `toml:"prefill_replicas"`
	DecodeReplicas  int      `toml:"decode_replicas"`
	WeightsMiB      int      `toml:"weights_mib"`
}

// Adapter is a section [adapters.NAME].
type Adapter struct {
	Owner      string `toml:"owner"`
	Model      string `toml:"model"`
	Version    string `toml:"version"`
	Replicas   int    `toml:"replicas"`
	WeightsMiB int    `toml:"weights_mib"`
}

// Capacity is a section [capacity.NAME]: how the servers of a model service are divided
// among its models, and between online and batch work.
type Capacity struct {
	Owner               string             `toml:"owner"`
	Service             string             `toml:"service"`
	ServerShares        map[string]float64 `toml:"server_shares"`
	InMotionShare       float64            `toml:"in_motion_share"`
	OnlineHeadroomShare float64            `toml:"online_headroom_share"`
	BatchSlotsPerServer int                `toml:"batch_slots_per_server"`
	BatchKVShare        float64            `toml:"batch_kv_share"`
	WeightStoreMiBPerS  int                `toml:"weight_store_mib_per_s"`
}

// Workspace is a section [workspaces.NAME]: the API keys, limits and services of a team
// of callers.
type Workspace struct {
	Owner          string   `toml:"owner"`
	Team           string   `toml:"team"`
	KeyHashes      []string `toml:"key_hashes"`
	Weight         int      `toml:"weight"`
	RequestsPerS   float64  `toml:"requests_per_s"`
	BurstRequests  int      `toml:"burst_requests"`
	BatchJobs      int      `toml:"batch_jobs"`
	BatchItemsOpen int      `toml:"batch_items_open"`
	Services       []string `toml:"services"`
}

// Allows reports whether the workspace may call service.
func (w *Workspace) Allows(service string) bool {
	for _, s := range w.Services {
		if s == service {
			return true
		}
	}
	return false
}

// Document is the configuration at one revision. It is immutable once built and safe
// for concurrent use.
type Document struct {
	// Revision is the highest revision of any section, removed ones included.
	Revision   int64
	Fleet      *Fleet
	Services   map[string]*Service
	Models     map[string]*Model
	Adapters   map[string]*Adapter
	Capacity   map[string]*Capacity
	Workspaces map[string]*Workspace

	capacityByService map[string]string
	// hasFleet is false when the document has no section [fleet] and Fleet holds the
	// defaults.
	hasFleet bool
}

// CapacityOf returns the capacity section of a model service, or the defaults when the
// document has no such section.
func (d *Document) CapacityOf(service string) *Capacity {
	if name, ok := d.capacityByService[service]; ok {
		return d.Capacity[name]
	}
	c := &Capacity{Service: service}
	applyDefaults(KindCapacity, c, nil)
	return c
}

func newDocument() *Document {
	f := &Fleet{}
	applyDefaults(KindFleet, f, nil)
	return &Document{
		Fleet:             f,
		Services:          map[string]*Service{},
		Models:            map[string]*Model{},
		Adapters:          map[string]*Adapter{},
		Capacity:          map[string]*Capacity{},
		Workspaces:        map[string]*Workspace{},
		capacityByService: map[string]string{},
	}
}

// splitSectionName splits a section's name into its kind and the name within the kind,
// which is empty for [fleet].
func splitSectionName(section string) (Kind, string) {
	kind, name, _ := strings.Cut(section, ".")
	return Kind(kind), name
}

func (d *Document) addSection(p *parsedSection) {
	_, name := splitSectionName(p.section)
	switch v := p.value.(type) {
	case *Fleet:
		d.Fleet, d.hasFleet = v, true
	case *Service:
		d.Services[name] = v
	case *Model:
		d.Models[name] = v
	case *Adapter:
		d.Adapters[name] = v
	case *Capacity:
		d.Capacity[name] = v
		d.capacityByService[v.Service] = name
	case *Workspace:
		d.Workspaces[name] = v
	}
}
