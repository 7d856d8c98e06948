package serve

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings are the settings of one instance on the users' platform. The platform
// fills them in from deploy/settings.toml.tmpl.
type Settings struct {
	Instance   string `toml:"instance"`
	DataCentre string `toml:"data_centre"`
	Listen     Listen `toml:"listen"`
	Limits     Limits `toml:"limits"`
	Store      Store  `toml:"store"`
	Drain      Drain  `toml:"drain"`
}

// Listen holds the addresses of an instance, each IP:PORT.
type Listen struct {
	Callers   string `toml:"callers"`
	Readiness string `toml:"readiness"`
	// IP is the instance's own address and FirstPort the first of the ports that are
	// free for the protocols between instances.
	IP        string `toml:"ip"`
	FirstPort uint16 `toml:"first_port"`
}

// PeerAddress returns the IP:PORT for the protocols between instances: datagrams, and calls
// over TCP.
func (l Listen) PeerAddress() string { return net.JoinHostPort(l.IP, strconv.Itoa(int(l.FirstPort))) }

// Limits are those of the host.
type Limits struct {
	MemoryMB int64 `toml:"memory_mb"`
	// Cores is the processor of the host.
	Cores float64 `toml:"cores"`
	// Descriptors are the file descriptors of the process.
	Descriptors int64 `toml:"descriptors"`
}

// Store describes the platform's store.
type Store struct {
	Address     string `toml:"address"`
	Partitions  int    `toml:"partitions"`
	RecordBytes int    `toml:"record_bytes"`
	CallBytes   int    `toml:"call_bytes"`
	RetentionS  int64  `toml:"retention_s"`
}

// Drain bounds a shutdown.
type Drain struct {
	// GraceS is the time in seconds between SIGTERM and SIGKILL.
	GraceS float64 `toml:"grace_s"`
}

// Problem is one setting that cannot be used.
type Problem struct{ Key, Cause string }

// Error implements error.
func (p Problem) Error() string { return fmt.Sprintf("settings: %s: %s", p.Key, p.Cause) }

// Load reads and checks a settings file. Unknown keys are ignored: the platform may
// add some.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(raw)
}

// Parse decodes and checks settings. The error joins a Problem for each setting that
// cannot be used.
func Parse(raw []byte) (*Settings, error) {
	s := &Settings{}
	if err := toml.Unmarshal(raw, s); err != nil {
		var at *toml.DecodeError
		if errors.As(err, &at) {
			row, column := at.Position()
			return nil, fmt.Errorf("settings: line %d, column %d: %w", row, column, err)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	return s, s.check()
}

func (s *Settings) check() error {
	var problems []error
	bad := func(key, cause string) { problems = append(problems, Problem{key, cause}) }
	if s.Instance == "" {
		bad("instance", "is missing")
	}
	if s.DataCentre == "" {
		bad("data_centre", "is missing")
	}
	for key, address := range map[string]string{"listen.callers": s.Listen.Callers, "listen.readiness": s.Listen.Readiness, "store.address": s.Store.Address} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			bad(key, "is not IP:PORT: "+err.Error())
		}
	}
	if _, err := netip.ParseAddr(s.Listen.IP); err != nil {
		bad("listen.ip", "is not an IP address: "+err.Error())
	}
	if s.Listen.FirstPort == 0 {
		bad("listen.first_port", "is missing")
	}
	for key, n := range map[string]int64{
		"limits.memory_mb": s.Limits.MemoryMB, "store.partitions": int64(s.Store.Partitions),
		"store.record_bytes": int64(s.Store.RecordBytes), "store.call_bytes": int64(s.Store.CallBytes),
	} {
		if n <= 0 {
			bad(key, "is not above zero")
		}
	}
	if s.Drain.GraceS <= 0 {
		bad("drain.grace_s", "is not above zero")
	}
	return errors.Join(problems...)
}

// GracePeriod returns the time between SIGTERM and SIGKILL.
func (s *Settings) GracePeriod() time.Duration {
	return time.Duration(s.Drain.GraceS * float64(time.Second))
}
