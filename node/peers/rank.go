package peers

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minHubCoresShare is the share of the largest host's cores from which a host counts
	// as large enough for a hub.
	minHubCoresShare = 0.6
	// hubCount is the number of hubs that receive all load reports: one that is asked for
	// servers and one that takes over if it is lost.
	hubCount = 2
	// An instance counts as live for heardTTL after a datagram from it and for listedTTL
	// after a hub report that names it.
	heardTTL  = 1200 * time.Millisecond
	listedTTL = 1800 * time.Millisecond
	// discoveredTTL is how long an instance counts as live after its entry was found.
	discoveredTTL = 2 * time.Second
)

// peer is another instance.
type peer struct {
	Instance
	name string
	// discoveredAt is the time at which its entry was found in the store, heardAt that of
	// its last datagram, listedAt that of the last hub report that names it, and reportedAt
	// that of its last load report.
	discoveredAt, heardAt, listedAt, reportedAt time.Time
	leaving                                     bool
	// loggedLive is the state of live that was logged last.
	loggedLive bool
	// reachesStore is set while it reports that its own path to the store is up.
	reachesStore bool
	// reportSentAt and hubReportSentAt are the times of the last load report and the last
	// hub report that were sent to it.
	reportSentAt, hubReportSentAt time.Time
	// unanswered counts the requests in a row to which it did not reply as a hub. It is
	// not asked until suspendedUntil.
	unanswered     int
	suspendedUntil time.Time
}

// live reports whether the peer counts as live.
func (p *peer) live(now time.Time) bool {
	return now.Sub(p.heardAt) < heardTTL || now.Sub(p.listedAt) < listedTTL || now.Sub(p.discoveredAt) < discoveredTTL
}

// hubCandidate is an instance with the properties that determine its rank as a hub.
type hubCandidate struct {
	name      string
	largeHost bool
	nameHash  uint64
}

// rankHubs returns the instances in the order of their rank as hubs. Instances on hosts
// that are large enough come first. Within each group the order is that of a hash of the
// name, so that all instances agree on it.
func rankHubs(cores map[string]float64) []string {
	largest := 0.0
	for _, c := range cores {
		largest = max(largest, c)
	}
	candidates := make([]hubCandidate, 0, len(cores))
	for name, c := range cores {
		candidates = append(candidates, hubCandidate{name, c >= minHubCoresShare*largest, xxhash.Sum64String("hub\x00" + name)})
	}
	slices.SortFunc(candidates, func(a, b hubCandidate) int {
		if a.largeHost != b.largeHost {
			if a.largeHost {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.nameHash, b.nameHash), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(candidates))
	for i, c := range candidates {
		names[i] = c.name
	}
	return names
}
