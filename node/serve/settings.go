package serve

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
)

// Settings are the settings of one instance on the users' platform. The platform renders
// the file from deploy/settings.toml.tmpl.
type Settings struct {
	Instance   string  `toml:"instance"`
	DataCentre string  `toml:"data_centre"`
	Listen     Listen  `toml:"listen"`
	Limits     Limits  `toml:"limits"`
	Store      Store   `toml:"store"`
	Drain      Drain   `toml:"drain"`
	Servers    Servers `toml:"servers"`
}

// Listen holds the listen addresses of an instance.
type Listen struct {
	// Callers and Readiness are IP:PORT.
	Callers   string `toml:"callers"`
	Readiness string `toml:"readiness"`
	// IP is the instance's own address and FirstPort the first port of the range reserved
	// for the protocols between instances.
	IP        string `toml:"ip"`
	FirstPort uint16 `toml:"first_port"`
}

// PeerAddress returns the IP:PORT for the protocols between instances, UDP datagrams and
// RPCs over TCP.
func (l Listen) PeerAddress() string { return net.JoinHostPort(l.IP, strconv.Itoa(int(l.FirstPort))) }

// TunnelAddress returns the IP:PORT at which other instances open tunnels to servers.
func (l Listen) TunnelAddress() string {
	return net.JoinHostPort(l.IP, strconv.Itoa(int(l.FirstPort)+1))
}

// Limits are the resource limits of the host.
type Limits struct {
	MemoryMB int64 `toml:"memory_mb"`
	// Cores is the number of CPU cores; it may be fractional.
	Cores float64 `toml:"cores"`
	// Descriptors is the limit on open file descriptors of the process.
	Descriptors int64 `toml:"descriptors"`
}

// Store holds the address and the limits of the platform's store.
type Store struct {
	Address     string `toml:"address"`
	Partitions  int    `toml:"partitions"`
	RecordBytes int    `toml:"record_bytes"`
	CallBytes   int    `toml:"call_bytes"`
	RetentionS  int64  `toml:"retention_s"`
}

// Drain limits the duration of a shutdown.
type Drain struct {
	// GraceS is the time in seconds between SIGTERM and SIGKILL.
	GraceS float64 `toml:"grace_s"`
}

// Servers holds what is known of the backend servers.
type Servers struct {
	// HeartbeatMS is the interval of the heartbeats of servers in milliseconds; if it is missing,
	// serving.DefaultHeartbeat.
	HeartbeatMS int64 `toml:"heartbeat_ms"`
	// Relay is whether instances open connections to servers for each other; if it is missing, they
	// do.
	Relay *bool `toml:"relay"`
}

// Relays reports whether instances open connections to servers for each other.
func (s Servers) Relays() bool { return s.Relay == nil || *s.Relay }

// Problem is an invalid or missing setting.
type Problem struct{ Key, Cause string }

// Error implements error.
func (p Problem) Error() string { return fmt.Sprintf("settings: %s: %s", p.Key, p.Cause) }

// Load reads and validates a settings file. Unknown keys are ignored because the platform
// may add keys.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(raw)
}

// Parse decodes and validates settings. The error joins a Problem for each invalid or
// missing setting.
func Parse(raw []byte) (*Settings, error) {
	s := &Settings{}
	if err := toml.Unmarshal(raw, s); err != nil {
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			row, column := decodeErr.Position()
			return nil, fmt.Errorf("settings: line %d, column %d: %w", row, column, err)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	return s, s.check()
}

func (s *Settings) check() error {
	var problems []error
	addProblem := func(key, cause string) { problems = append(problems, Problem{key, cause}) }
	if s.Instance == "" {
		addProblem("instance", "is missing")
	}
	if s.DataCentre == "" {
		addProblem("data_centre", "is missing")
	}
	for key, address := range map[string]string{"listen.callers": s.Listen.Callers, "listen.readiness": s.Listen.Readiness, "store.address": s.Store.Address} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			addProblem(key, "is not IP:PORT: "+err.Error())
		}
	}
	if _, err := netip.ParseAddr(s.Listen.IP); err != nil {
		addProblem("listen.ip", "is not an IP address: "+err.Error())
	}
	if s.Listen.FirstPort == 0 {
		addProblem("listen.first_port", "is missing")
	}
	for key, value := range map[string]int64{
		"limits.memory_mb": s.Limits.MemoryMB, "store.partitions": int64(s.Store.Partitions),
		"store.record_bytes": int64(s.Store.RecordBytes), "store.call_bytes": int64(s.Store.CallBytes),
	} {
		if value <= 0 {
			addProblem(key, "is not above zero")
		}
	}
	if s.Servers.HeartbeatMS < 0 {
		addProblem("servers.heartbeat_ms", "is below zero")
	}
	if s.Drain.GraceS <= 0 {
		addProblem("drain.grace_s", "is not above zero")
	}
	return errors.Join(problems...)
}

// Heartbeat returns the interval of the heartbeats of servers.
func (s *Settings) Heartbeat() time.Duration {
	return cmp.Or(time.Duration(s.Servers.HeartbeatMS)*time.Millisecond, serving.DefaultHeartbeat)
}

// GracePeriod returns the time from SIGTERM to SIGKILL.
func (s *Settings) GracePeriod() time.Duration {
	return time.Duration(s.Drain.GraceS * float64(time.Second))
}
