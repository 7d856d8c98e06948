package peers

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// hubCores is the share of the largest host's processor that a hub needs.
	hubCores = 0.6
	// hubs is the number of instances that get every statement: one that is asked
	// and one that takes over.
	hubs = 2
	// heardFor is the silence after which a hub counts as lost, and listedFor the age
	// of a hub's statement that names an instance.
	heardFor  = 1200 * time.Millisecond
	listedFor = 1800 * time.Millisecond
	// newFor is the time for which an instance that was just found counts as alive.
	newFor = 2 * time.Second
)

// peer is another instance.
type peer struct {
	Instance
	name string
	// known, heard, listed and stated are when it was found in the store, when a
	// datagram of it came, when a hub named it last, and when it stated its load.
	known, heard, listed, stated time.Time
	leaving                      bool
	alive                        bool
	// reaches is set while it states that it reaches the store.
	reaches bool
	// sentState and sentTotal are when this instance stated to it.
	sentState, sentTotal time.Time
	// unanswered counts the questions in a row that it did not answer; until
	// suspended it gets none.
	unanswered int
	suspended  time.Time
}

// present reports whether the peer is thought to be alive.
func (p *peer) present(now time.Time) bool {
	return now.Sub(p.heard) < heardFor || now.Sub(p.listed) < listedFor || now.Sub(p.known) < newFor
}

// ranked is an instance with its place among the hubs.
type ranked struct {
	name  string
	large bool
	rank  uint64
}

// rankHubs orders instances: hosts that are large enough come first, among them
// the order is by hash, so that all instances agree.
func rankHubs(cores map[string]float64) []string {
	largest := 0.0
	for _, c := range cores {
		largest = max(largest, c)
	}
	list := make([]ranked, 0, len(cores))
	for name, c := range cores {
		list = append(list, ranked{name, c >= hubCores*largest, xxhash.Sum64String("hub\x00" + name)})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.large != b.large {
			if a.large {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(list))
	for i, r := range list {
		names[i] = r.name
	}
	return names
}
