package config

import (
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"sort"
)

// NewestFormat is the newest format version that this binary supports.
const NewestFormat = 1

// Key describes one key of a section.
type Key struct {
	// Section is the kind of section that has the key.
	Section Kind
	Name    string
	// Type is string, bool, int, float, strings or shares (a table of floats).
	Type string
	// Unit is the unit of the value; empty for names, booleans and text.
	Unit string
	// Default is the value when the key is absent; nil for a required key.
	Default any
	// Min and Max are the inclusive bounds of a number, of the length of a list, or
	// of each value of shares.
	Min, Max float64
	// Values lists the allowed strings. Pattern, if set, has to match every string.
	Values  []string
	Pattern *regexp.Regexp
	// Since is the format version that introduced the key.
	Since int
	// Doc describes the key in the operators' reference.
	Doc string
}

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	textPattern = regexp.MustCompile(`^[^\x00-\x1f]{1,200}$`)
	pathPattern = regexp.MustCompile(`^/[^\s?#]{0,500}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

func stringKey(kind Kind, name string, pattern *regexp.Regexp, def any, doc string) Key {
	return Key{Section: kind, Name: name, Type: "string", Pattern: pattern, Default: def, Since: 1, Doc: doc}
}

func enumKey(kind Kind, name string, def any, doc string, values ...string) Key {
	return Key{Section: kind, Name: name, Type: "string", Values: values, Default: def, Since: 1, Doc: doc}
}

func listKey(kind Kind, name string, pattern *regexp.Regexp, def any, lo, hi float64, doc string) Key {
	return Key{Section: kind, Name: name, Type: "strings", Pattern: pattern, Default: def, Min: lo, Max: hi, Since: 1, Doc: doc}
}

func intKey(kind Kind, name, unit string, def int, lo, hi float64, doc string) Key {
	return Key{Section: kind, Name: name, Type: "int", Unit: unit, Default: def, Min: lo, Max: hi, Since: 1, Doc: doc}
}

func floatKey(kind Kind, name, unit string, def, lo, hi float64, doc string) Key {
	return Key{Section: kind, Name: name, Type: "float", Unit: unit, Default: def, Min: lo, Max: hi, Since: 1, Doc: doc}
}

func boolKey(kind Kind, name, doc string) Key {
	return Key{Section: kind, Name: name, Type: "bool", Default: false, Since: 1, Doc: doc}
}

func ownerKey(kind Kind) Key {
	return stringKey(kind, "owner", textPattern, nil, "team that owns the section")
}

// Keys lists every key of the document.
var Keys = []Key{
	ownerKey(KindFleet),
	intKey(KindFleet, "format", "version", 1, 1, NewestFormat, "format version in force; raise it by one after the last instance is upgraded"),
	intKey(KindFleet, "partitions", "partitions", 64, 1, 4096, "number of partition streams; fixed when the fleet is set up"),
	intKey(KindFleet, "result_retention_hours", "h", 168, 1, 2160, "how long files and job results stay readable"),
	// The owner holds each keyed call in memory until its retention ends, and keyed
	// calls arrive at the rate of online requests. Two hours cover the resends of a
	// restarted caller and take a twelfth of the memory for a day's calls.
	intKey(KindFleet, "call_retention_minutes", "min", 120, 10, 10080, "how long the outcome of a keyed call stays readable, at least the setting limits.max_deadline"),
	intKey(KindFleet, "job_key_retention_hours", "h", 168, 1, 2160, "how long the key of a batch job stays bound to its content"),
	intKey(KindFleet, "log_retention_hours", "h", 72, 2, 8760, "how long the platform's log keeps records"),
	intKey(KindFleet, "batch_max_items", "items", 1000000, 1, 10000000, "most items in one batch job"),
	intKey(KindFleet, "batch_max_file_mib", "MiB", 512, 1, 8192, "largest input file"),
	intKey(KindFleet, "item_attempts", "attempts", 4, 1, 20, "most attempts at one batch item"),
	intKey(KindFleet, "item_lease_ms", "ms", 30000, 1000, 3600000, "time after which a director's silent item is issued again"),
	intKey(KindFleet, "max_body_kib", "KiB", 4096, 1, 65536, "largest body of an online request"),
	intKey(KindFleet, "drain_lag_ms", "ms", 3000, 0, 60000, "time a stopping instance still accepts work, for the balancer's lag"),
	intKey(KindFleet, "drain_limit_ms", "ms", 600000, 1000, 7200000, "time after which a drain ends with work still in flight"),
	floatKey(KindFleet, "retry_budget_share", "share of successes", 0.1, 0, 0.5, "retries allowed for each success"),
	intKey(KindFleet, "quarantine_minutes", "min", 1440, 1, 43200, "how long a quarantined request stays refused"),
	floatKey(KindFleet, "audit_appends_per_s", "appends/s", 5, 0.01, 100, "appends to the audit stream by the whole fleet"),

	ownerKey(KindService),
	enumKey(KindService, "kind", nil, "what the servers run", ServiceKindModel, ServiceKindPlain),
	listKey(KindService, "data_centres", namePattern, []string{}, 0, 32, "data centres with servers of the service; empty for any"),
	enumKey(KindService, "fencing", FencingChecked, "whether the engines refuse orders with an old fencing number", FencingChecked, FencingIgnored),
	boolKey(KindService, "non_idempotent", "no request of the service may run twice"),
	listKey(KindService, "non_idempotent_paths", pathPattern, []string{}, 0, 100, "paths, with everything below them, that must not run twice"),
	intKey(KindService, "connect_timeout_ms", "ms", 1000, 1, 60000, "time to open a connection"),
	intKey(KindService, "header_timeout_ms", "ms", 10000, 1, 3600000, "time to the first byte of an answer"),
	intKey(KindService, "gap_timeout_ms", "ms", 5000, 1, 3600000, "time between two pieces of an answer"),
	intKey(KindService, "total_timeout_ms", "ms", 600000, 1, 86400000, "time of a whole answer"),
	intKey(KindService, "default_deadline_ms", "ms", 60000, 1, 86400000, "deadline of a request that names none"),
	intKey(KindService, "max_deadline_ms", "ms", 600000, 1, 86400000, "longest deadline that a request may name"),
	intKey(KindService, "max_order_ms", "ms", 600000, 1000, 7200000, "longest time that an order to an engine can take"),
	intKey(KindService, "connection_max_age_ms", "ms", 300000, 1000, 86400000, "age at which a pooled connection is closed"),
	floatKey(KindService, "eject_failure_share", "share", 0.5, 0.01, 1, "failed share of requests that ejects a server"),
	intKey(KindService, "eject_min_requests", "requests", 10, 1, 10000, "requests before a server can be ejected"),
	floatKey(KindService, "eject_latency_factor", "ratio", 3, 1.1, 100, "latency relative to the median server that lowers a server's weight"),
	intKey(KindService, "probe_interval_ms", "ms", 1000, 50, 600000, "time between two probes of an ejected server"),
	intKey(KindService, "return_steps", "steps", 4, 1, 20, "steps in which a returning server gets its weight back"),
	intKey(KindService, "return_step_ms", "ms", 5000, 100, 600000, "time of one step of a return"),
	floatKey(KindService, "max_ejected_share", "share of servers", 0.3, 0, 0.9, "most servers ejected at one time"),

	ownerKey(KindModel),
	stringKey(KindModel, "service", namePattern, nil, "model service that serves the model"),
	stringKey(KindModel, "version", namePattern, nil, "version of the weights"),
	listKey(KindModel, "adapters", namePattern, []string{}, 0, 256, "adapters that are loaded with the model"),
	intKey(KindModel, "context_tokens", "tokens", 8192, 128, 16777216, "longest prompt and answer together"),
	intKey(KindModel, "replicas", "servers", 0, 0, 10000, "servers that hold the model; 0 takes the share from the capacity section"),
	intKey(KindModel, "prefill_replicas", "servers", 0, 0, 10000, "servers of these that only run prefill"),
	intKey(KindModel, "decode_replicas", "servers", 0, 0, 10000, "servers of these that only run decode"),
	intKey(KindModel, "weights_mib", "MiB", 16384, 1, 8388608, "size of the weights"),

	ownerKey(KindAdapter),
	stringKey(KindAdapter, "model", namePattern, nil, "model that the adapter extends"),
	stringKey(KindAdapter, "version", namePattern, nil, "version of the adapter"),
	intKey(KindAdapter, "replicas", "servers", 0, 0, 10000, "servers that hold the adapter; 0 for all of its model's"),
	intKey(KindAdapter, "weights_mib", "MiB", 256, 1, 1048576, "size of the adapter"),

	ownerKey(KindCapacity),
	stringKey(KindCapacity, "service", namePattern, nil, "model service that the section is about"),
	{Section: KindCapacity, Name: "server_shares", Type: "shares", Unit: "share of servers", Default: map[string]float64{}, Min: 0, Max: 1, Since: 1, Doc: "share of the service's servers for each model; empty divides them equally"},
	floatKey(KindCapacity, "in_motion_share", "share of servers", 0.2, 0.01, 0.5, "most servers being changed at one time, at least one"),
	floatKey(KindCapacity, "online_headroom_share", "share of slots", 0.2, 0, 0.9, "slots of a server that batch work leaves to online requests"),
	intKey(KindCapacity, "batch_slots_per_server", "slots", 64, 0, 10000, "most batch items running on one server"),
	floatKey(KindCapacity, "batch_kv_share", "share of KV memory", 0.7, 0, 1, "most KV memory of a server taken by batch items"),
	intKey(KindCapacity, "weight_store_mib_per_s", "MiB/s", 1024, 1, 1048576, "rate at which the service may fetch weights"),

	ownerKey(KindWorkspace),
	stringKey(KindWorkspace, "team", textPattern, nil, "team of callers"),
	listKey(KindWorkspace, "key_hashes", hashPattern, nil, 1, 32, "sha256 of each API key, in lower-case hex"),
	intKey(KindWorkspace, "weight", "weight", 100, 1, 10000, "share in a contended service relative to the other workspaces"),
	floatKey(KindWorkspace, "requests_per_s", "requests/s", 50, 0.01, 100000, "sustained rate of online requests"),
	intKey(KindWorkspace, "burst_requests", "requests", 100, 1, 1000000, "requests above the sustained rate"),
	intKey(KindWorkspace, "batch_jobs", "jobs", 100, 0, 100000, "most unfinished batch jobs"),
	intKey(KindWorkspace, "batch_items_open", "items", 1000000, 0, 100000000, "most unfinished batch items"),
	listKey(KindWorkspace, "services", namePattern, nil, 1, 256, "services that the workspace may call"),
}

var keysByKind = func() map[Kind]map[string]*Key {
	m := map[Kind]map[string]*Key{}
	for i := range Keys {
		k := &Keys[i]
		if m[k.Section] == nil {
			m[k.Section] = map[string]*Key{}
		}
		m[k.Section][k.Name] = k
	}
	return m
}()

// visitKeys calls visit for each key of the section struct that v points to.
func visitKeys(kind Kind, v any, visit func(k *Key, f reflect.Value)) {
	rv := reflect.ValueOf(v).Elem()
	for i := range rv.NumField() {
		visit(keysByKind[kind][rv.Type().Field(i).Tag.Get("toml")], rv.Field(i))
	}
}

// applyDefaults sets the fields of the keys that are not in present to their defaults.
func applyDefaults(kind Kind, v any, present map[string]int) {
	visitKeys(kind, v, func(k *Key, f reflect.Value) {
		if _, ok := present[k.Name]; !ok && k.Default != nil {
			f.Set(reflect.ValueOf(k.Default))
		}
	})
}

// check returns why the value of the key is not allowed, or an empty string if it is.
func (k *Key) check(f reflect.Value) string {
	switch v := f.Interface().(type) {
	case int:
		return k.checkNumber(float64(v))
	case float64:
		return k.checkNumber(v)
	case string:
		return k.checkString(v)
	case []string:
		if n := float64(len(v)); n < k.Min || n > k.Max {
			return fmt.Sprintf("has %d entries, allowed are %v to %v", len(v), k.Min, k.Max)
		}
		for i, s := range v {
			if reason := k.checkString(s); reason != "" {
				return reason
			}
			if slices.Contains(v[:i], s) {
				return fmt.Sprintf("%q stands twice", s)
			}
		}
	case map[string]float64:
		names := make([]string, 0, len(v))
		for n := range v {
			names = append(names, n)
		}
		sort.Strings(names)
		for _, n := range names {
			if reason := k.checkNumber(v[n]); reason != "" {
				return n + ": " + reason
			}
		}
	}
	return ""
}

func (k *Key) checkNumber(v float64) string {
	// The negated condition also refuses NaN.
	if !(v >= k.Min && v <= k.Max) {
		return fmt.Sprintf("%v is outside %v to %v %s", v, k.Min, k.Max, k.Unit)
	}
	return ""
}

func (k *Key) checkString(v string) string {
	if len(k.Values) > 0 && !slices.Contains(k.Values, v) {
		return fmt.Sprintf("%q is not one of %q", v, k.Values)
	}
	if k.Pattern != nil && !k.Pattern.MatchString(v) {
		return fmt.Sprintf("%q does not match %s", v, k.Pattern)
	}
	return ""
}
