// Package settings reads the TOML settings file of one instance.
//
// Decoding is strict: unknown keys, values of the wrong type and values out of range are
// reported with their line numbers. Keys returns the documented table of keys with their
// defaults and ranges.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Duration is a time.Duration that is written as text such as "3s" or "250ms".
type Duration time.Duration

// UnmarshalText parses the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"3s\" or \"250ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText returns the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Settings are the settings of one instance, read once at startup.
type Settings struct {
	Instance   string   `toml:"instance"`
	DataCentre string   `toml:"data_centre"`
	Weight     int64    `toml:"weight"`
	Partitions int64    `toml:"partitions"`
	DrainLag   Duration `toml:"drain_lag"`
	DrainLimit Duration `toml:"drain_limit"`
	Listen     Listen   `toml:"listen"`
	Platform   Platform `toml:"platform"`
	TLS        TLS      `toml:"tls"`
	PeerTLS    PeerTLS  `toml:"peer_tls"`
	Limits     Limits   `toml:"limits"`
	Rings      Rings    `toml:"rings"`
}

// Listen holds the listen addresses, each an IP address and a port.
type Listen struct {
	Callers  string `toml:"callers"`
	Operator string `toml:"operator"`
	Peer     string `toml:"peer"`
}

// Platform holds the base URLs of the platform's services and the timeout of one request
// to them.
type Platform struct {
	Log     string   `toml:"log"`
	List    string   `toml:"list"`
	Weights string   `toml:"weights"`
	Timeout Duration `toml:"timeout"`
}

// TLS configures TLS on the callers' listener; if both files are empty, the listener
// serves plain HTTP.
type TLS struct {
	CertFile       string   `toml:"cert_file"`
	KeyFile        string   `toml:"key_file"`
	ReloadInterval Duration `toml:"reload_interval"`
}

// PeerTLS configures mutual TLS between instances; if all files are empty, connections
// are unencrypted. Both sides present a certificate signed by the same CA.
type PeerTLS struct {
	CertFile string `toml:"cert_file"`
	KeyFile  string `toml:"key_file"`
	CAFile   string `toml:"ca_file"`
}

// Limits holds the limits on requests and connections.
type Limits struct {
	HeaderBytes     int64    `toml:"header_bytes"`
	BodyBytes       int64    `toml:"body_bytes"`
	FileBytes       int64    `toml:"file_bytes"`
	FileLines       int64    `toml:"file_lines"`
	LineBytes       int64    `toml:"line_bytes"`
	UploadMemory    int64    `toml:"upload_memory"`
	RecordedBytes   int64    `toml:"recorded_bytes"`
	Connections     int64    `toml:"connections"`
	ReadTimeout     Duration `toml:"read_timeout"`
	MinReadRate     int64    `toml:"min_read_rate"`
	WriteTimeout    Duration `toml:"write_timeout"`
	IdleTimeout     Duration `toml:"idle_timeout"`
	DefaultDeadline Duration `toml:"default_deadline"`
	MaxDeadline     Duration `toml:"max_deadline"`
	RecordWait      Duration `toml:"record_wait"`
	RequestTimeout  Duration `toml:"request_timeout"`
}

// Rings holds the capacities of the ring buffers between goroutines.
type Rings struct {
	Recorder int64 `toml:"recorder"`
	Stream   int64 `toml:"stream"`
}

// CallersOnLoopback reports whether the callers' listener is bound to a loopback address,
// so that only processes on the same host can reach it.
func (s *Settings) CallersOnLoopback() bool {
	a, err := netip.ParseAddrPort(s.Listen.Callers)
	return err == nil && a.Addr().Unmap().IsLoopback()
}

// Problem is one error in a settings file.
type Problem struct {
	// Line is zero if the problem has no known position in the file.
	Line   int
	Key    string
	Reason string
}

func (p Problem) String() string {
	text := p.Reason
	if p.Key != "" {
		text = p.Key + ": " + text
	}
	if p.Line > 0 {
		text = fmt.Sprintf("line %d: %s", p.Line, text)
	}
	return text
}

// Error reports all problems of a settings file.
type Error struct{ Problems []Problem }

func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return "settings: " + strings.Join(lines, "; ")
}

// Load reads and validates a settings file. The error is an *Error unless reading the
// file failed.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(data)
}

// Parse decodes and validates the content of a settings file. The error is an *Error.
func Parse(data []byte) (*Settings, error) {
	s := Default()
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(s); err != nil {
		problems := decodeProblems(err)
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			// The known keys were decoded, so report their problems as well.
			problems = append(problems, locate(data, s.validate())...)
		}
		return nil, &Error{Problems: problems}
	}
	if problems := s.validate(); len(problems) > 0 {
		return nil, &Error{Problems: locate(data, problems)}
	}
	return s, nil
}

// Default returns the default settings. The required keys are left empty.
func Default() *Settings {
	s := &Settings{}
	for _, k := range integerKeys {
		*k.field(s) = k.defaultValue
	}
	for _, k := range durationKeys {
		*k.field(s) = Duration(k.defaultValue)
	}
	for _, k := range textKeys {
		*k.field(s) = k.defaultValue
	}
	return s
}

// decodeProblems converts an error of the TOML decoder to problems.
func decodeProblems(err error) []Problem {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var out []Problem
		for _, e := range strict.Errors {
			line, _ := e.Position()
			out = append(out, Problem{Line: line, Key: strings.Join(e.Key(), "."), Reason: "unknown key"})
		}
		return out
	}
	var dec *toml.DecodeError
	if errors.As(err, &dec) {
		line, _ := dec.Position()
		reason := strings.TrimPrefix(dec.Error(), "toml: ")
		return []Problem{{Line: line, Key: strings.Join(dec.Key(), "."), Reason: reason}}
	}
	return []Problem{{Reason: strings.TrimPrefix(err.Error(), "toml: ")}}
}

// locate sets the line number of each problem's key, or zero if the key is not in the
// file.
func locate(data []byte, problems []Problem) []Problem {
	lines := keyLines(data)
	for i := range problems {
		problems[i].Line = lines[problems[i].Key]
	}
	return problems
}

// keyLines returns the line numbers of the keys in the file. It recognizes only the plain
// form "key = value" below a "[table]" header.
func keyLines(data []byte) map[string]int {
	lines := make(map[string]int)
	table := ""
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			name, _, _ := strings.Cut(strings.TrimLeft(line, "["), "]")
			table = strings.TrimSpace(name) + "."
			continue
		}
		key, _, ok := strings.Cut(line, "=")
		if ok && !strings.HasPrefix(line, "#") {
			lines[table+strings.TrimSpace(key)] = i + 1
		}
	}
	return lines
}

func (s *Settings) validate() []Problem {
	var out []Problem
	add := func(key, format string, args ...any) {
		out = append(out, Problem{Key: key, Reason: fmt.Sprintf(format, args...)})
	}
	for _, k := range integerKeys {
		if v := *k.field(s); v < k.min || v > k.max {
			add(k.name, "%d is not within %d to %d", v, k.min, k.max)
		}
	}
	for _, k := range durationKeys {
		if v := k.field(s).Std(); v < k.min || v > k.max {
			add(k.name, "%s is not within %s to %s", v, k.min, k.max)
		}
	}
	for _, k := range textKeys {
		if reason := k.check(*k.field(s)); reason != "" {
			add(k.name, "%s", reason)
		}
	}
	for _, pair := range s.duplicateAddresses() {
		add(pair[0], "is the same address as %s", pair[1])
	}
	if (s.TLS.CertFile == "") != (s.TLS.KeyFile == "") {
		add("tls.cert_file", "cert_file and key_file are set together or not at all")
	}
	if p := s.PeerTLS; (p.CertFile == "") != (p.KeyFile == "") || (p.CertFile == "") != (p.CAFile == "") {
		add("peer_tls.cert_file", "cert_file, key_file and ca_file are set together or not at all")
	}
	if s.Limits.DefaultDeadline > s.Limits.MaxDeadline {
		add("limits.default_deadline", "is above limits.max_deadline")
	}
	if s.Limits.LineBytes > s.Limits.FileBytes {
		add("limits.line_bytes", "is above limits.file_bytes")
	}
	if s.Limits.FileBytes > s.Limits.UploadMemory {
		add("limits.file_bytes", "is above limits.upload_memory, so that the largest file could never be uploaded")
	}
	if s.DrainLag > s.DrainLimit {
		add("drain_lag", "is above drain_limit")
	}
	return out
}

// duplicateAddresses returns pairs of keys that have the same listen address. Port 0 is
// ignored because the system then assigns a different port to each listener.
func (s *Settings) duplicateAddresses() [][2]string {
	seen := make(map[string]string)
	var out [][2]string
	for _, l := range [][2]string{{"listen.callers", s.Listen.Callers}, {"listen.operator", s.Listen.Operator},
		{"listen.peer", s.Listen.Peer}} {
		if l[1] == "" || strings.HasSuffix(l[1], ":0") {
			continue
		}
		if first, ok := seen[l[1]]; ok {
			out = append(out, [2]string{l[0], first})
		}
		seen[l[1]] = l[0]
	}
	return out
}

func checkName(v string) string {
	if v == "" {
		return "is required"
	}
	if len(v) > maxNameBytes {
		return fmt.Sprintf("is longer than %d bytes", maxNameBytes)
	}
	for _, r := range v {
		if !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.", r)) {
			return fmt.Sprintf("%q has a character other than letters, digits, '-', '_' and '.'", v)
		}
	}
	return ""
}

func checkAddress(v string) string {
	if v == "" {
		return "is required"
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		return fmt.Sprintf("%q is not an IP address and port such as \"10.0.0.1:8080\"", v)
	}
	return ""
}

func checkURL(v string) string {
	if v == "" {
		return "is required"
	}
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return fmt.Sprintf("%q is not a URL such as \"http://10.0.0.1:9000\"", v)
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return fmt.Sprintf("%q does not name the host by its IP address", v)
	}
	return ""
}

func acceptAny(string) string { return "" }
