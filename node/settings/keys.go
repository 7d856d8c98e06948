package settings

import (
	"fmt"
	"math"
	"time"
)

const (
	kib = int64(1) << 10
	mib = int64(1) << 20
	gib = int64(1) << 30

	// maxNameBytes is small because every probe between instances carries the names.
	maxNameBytes = 63
	// maxPartitions is the number of partitions that an identifier can encode.
	maxPartitions = 1 << 16
)

// Key documents one key of the settings file.
type Key struct {
	// Name is the key qualified by its table, such as limits.body_bytes.
	Name string
	// Unit is empty for names, addresses and paths.
	Unit string
	// Default is empty if the key has no default.
	Default string
	// Range is the allowed range or format; it begins with "required" for a required key.
	Range string
	Help  string
}

type integerKey struct {
	name, unit             string
	defaultValue, min, max int64
	help                   string
	field                  func(*Settings) *int64
}

type durationKey struct {
	name                   string
	defaultValue, min, max time.Duration
	help                   string
	field                  func(*Settings) *Duration
}

type textKey struct {
	name, defaultValue, constraint, help string
	check                                func(string) string
	field                                func(*Settings) *string
}

var textKeys = []textKey{
	{"instance", "", "required", "identifier of the instance, unique in the fleet", checkName,
		func(s *Settings) *string { return &s.Instance }},
	{"data_centre", "", "required", "data centre of the instance", checkName,
		func(s *Settings) *string { return &s.DataCentre }},
	{"listen.callers", "", "required, IP address and port", "listen address for callers", checkAddress,
		func(s *Settings) *string { return &s.Listen.Callers }},
	{"listen.operator", "", "required, IP address and port", "listen address for operators", checkAddress,
		func(s *Settings) *string { return &s.Listen.Operator }},
	{"listen.peer", "", "required, IP address and port", "listen address for other instances", checkAddress,
		func(s *Settings) *string { return &s.Listen.Peer }},
	{"platform.log", "", "required, URL by IP address", "base URL of the append-only log", checkURL,
		func(s *Settings) *string { return &s.Platform.Log }},
	{"platform.list", "", "required, URL by IP address", "base URL of the list of instances and servers", checkURL,
		func(s *Settings) *string { return &s.Platform.List }},
	{"platform.weights", "", "required, URL by IP address", "base URL of the weight store", checkURL,
		func(s *Settings) *string { return &s.Platform.Weights }},
	{"tls.cert_file", "", "path", "certificate chain of the callers' listener in PEM; empty for plain HTTP", acceptAny,
		func(s *Settings) *string { return &s.TLS.CertFile }},
	{"tls.key_file", "", "path", "private key of the callers' listener in PEM", acceptAny,
		func(s *Settings) *string { return &s.TLS.KeyFile }},
	{"peer_tls.cert_file", "", "path", "certificate that this instance presents to other instances, in PEM; empty for unencrypted connections", acceptAny,
		func(s *Settings) *string { return &s.PeerTLS.CertFile }},
	{"peer_tls.key_file", "", "path", "private key for the connections between instances in PEM", acceptAny,
		func(s *Settings) *string { return &s.PeerTLS.KeyFile }},
	{"peer_tls.ca_file", "", "path", "certificates of the authorities that sign the instances' certificates, in PEM", acceptAny,
		func(s *Settings) *string { return &s.PeerTLS.CAFile }},
}

var integerKeys = []integerKey{
	{"weight", "percent", 100, 1, 10000, "capacity of the instance relative to a standard one",
		func(s *Settings) *int64 { return &s.Weight }},
	{"partitions", "partitions", 64, 1, maxPartitions, "number of partitions; cannot be changed after a fleet is set up",
		func(s *Settings) *int64 { return &s.Partitions }},
	{"limits.header_bytes", "bytes", 16 * kib, 4 * kib, mib, "maximum size of the request line and headers of a request",
		func(s *Settings) *int64 { return &s.Limits.HeaderBytes }},
	{"limits.body_bytes", "bytes", 8 * mib, kib, gib, "maximum size of the body of a request other than a file upload",
		func(s *Settings) *int64 { return &s.Limits.BodyBytes }},
	{"limits.file_bytes", "bytes", 512 * mib, kib, 4 * gib, "maximum size of an uploaded file",
		func(s *Settings) *int64 { return &s.Limits.FileBytes }},
	{"limits.file_lines", "lines", 1000000, 1, math.MaxInt32, "maximum number of items in an uploaded file",
		func(s *Settings) *int64 { return &s.Limits.FileLines }},
	{"limits.line_bytes", "bytes", 256 * kib, 256, 384 * kib,
		"maximum length of a line of an uploaded file; a line and its envelope must fit into one append",
		func(s *Settings) *int64 { return &s.Limits.LineBytes }},
	{"limits.upload_memory", "bytes", gib, mib, 64 * gib, "maximum compressed size of all uploads in progress",
		func(s *Settings) *int64 { return &s.Limits.UploadMemory }},
	{"limits.recorded_bytes", "bytes", 256 * kib, kib, 384 * kib,
		"maximum size of the recorded answer of a keyed call; a longer answer is sent but not recorded",
		func(s *Settings) *int64 { return &s.Limits.RecordedBytes }},
	{"limits.connections", "connections", 16384, 16, 1 << 20, "maximum number of open connections from callers",
		func(s *Settings) *int64 { return &s.Limits.Connections }},
	{"limits.min_read_rate", "bytes per second", 16 * kib, 1, gib,
		"minimum transfer rate of a request body; received bytes extend read_timeout at this rate",
		func(s *Settings) *int64 { return &s.Limits.MinReadRate }},
	{"rings.recorder", "calls", 4096, 1, 1 << 20, "maximum number of answered calls waiting to be recorded",
		func(s *Settings) *int64 { return &s.Rings.Recorder }},
	{"rings.stream", "events", 256, 1, 1 << 16, "maximum number of events of a stream that are buffered for a slow caller",
		func(s *Settings) *int64 { return &s.Rings.Stream }},
}

var durationKeys = []durationKey{
	{"drain_lag", 3 * time.Second, 0, time.Minute, "time for which a leaving instance still accepts new work",
		func(s *Settings) *Duration { return &s.DrainLag }},
	{"drain_limit", 30 * time.Minute, time.Second, 24 * time.Hour, "time after which a drain is aborted and the work in progress is interrupted",
		func(s *Settings) *Duration { return &s.DrainLimit }},
	{"platform.timeout", 2 * time.Second, 10 * time.Millisecond, time.Minute, "timeout of a request to a service of the platform",
		func(s *Settings) *Duration { return &s.Platform.Timeout }},
	{"tls.reload_interval", 10 * time.Second, time.Second, time.Hour, "interval between checks of the certificate files for changes",
		func(s *Settings) *Duration { return &s.TLS.ReloadInterval }},
	{"limits.read_timeout", 30 * time.Second, time.Second, 10 * time.Minute, "timeout for receiving the header and body of a request",
		func(s *Settings) *Duration { return &s.Limits.ReadTimeout }},
	{"limits.write_timeout", 30 * time.Second, time.Second, 10 * time.Minute, "timeout of a write to a caller that does not read",
		func(s *Settings) *Duration { return &s.Limits.WriteTimeout }},
	{"limits.idle_timeout", 75 * time.Second, time.Second, time.Hour, "time after which an idle keep-alive connection is closed",
		func(s *Settings) *Duration { return &s.Limits.IdleTimeout }},
	{"limits.default_deadline", 10 * time.Minute, time.Second, 24 * time.Hour,
		"deadline of a request without Jacinthnotch-Deadline-Ms",
		func(s *Settings) *Duration { return &s.Limits.DefaultDeadline }},
	{"limits.max_deadline", time.Hour, time.Second, 24 * time.Hour, "maximum value of Jacinthnotch-Deadline-Ms",
		func(s *Settings) *Duration { return &s.Limits.MaxDeadline }},
	{"limits.record_wait", 2 * time.Second, 10 * time.Millisecond, time.Minute,
		"maximum time that an answer waits for its record before it is sent as not recorded",
		func(s *Settings) *Duration { return &s.Limits.RecordWait }},
	{"limits.request_timeout", 2 * time.Minute, time.Second, time.Hour, "maximum processing time of a request about files or batches",
		func(s *Settings) *Duration { return &s.Limits.RequestTimeout }},
}

// Keys returns all keys of the settings file.
func Keys() []Key {
	var out []Key
	for _, k := range textKeys {
		out = append(out, Key{Name: k.name, Default: k.defaultValue, Range: k.constraint, Help: k.help})
	}
	for _, k := range integerKeys {
		out = append(out, Key{Name: k.name, Unit: k.unit, Default: fmt.Sprint(k.defaultValue),
			Range: fmt.Sprintf("%d to %d", k.min, k.max), Help: k.help})
	}
	for _, k := range durationKeys {
		out = append(out, Key{Name: k.name, Unit: "duration", Default: k.defaultValue.String(),
			Range: fmt.Sprintf("%s to %s", k.min, k.max), Help: k.help})
	}
	return out
}
