package member

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// View is an immutable snapshot of the live members and is safe for concurrent use.
// It computes preferences only: the owner of a partition is determined by the
// claims on the partition's stream.
type View struct {
	// Members holds the live members, sorted by name.
	Members     []Member
	hashes      []uint64
	minLiveTime time.Duration
	self        string
}

// View returns a snapshot of the live members.
func (t *Table) View() *View {
	live := t.sortedLive()
	v := &View{minLiveTime: t.cfg.MinLiveTime, self: t.self, Members: make([]Member, len(live)), hashes: make([]uint64, len(live))}
	for i, id := range live {
		v.Members[i] = *t.members[id]
		v.hashes[i] = xxhash.Sum64String(id)
	}
	return v
}

// Find returns a live member by name.
func (v *View) Find(id string) (Member, bool) {
	for i := range v.Members {
		if v.Members[i].ID == id {
			return v.Members[i], true
		}
	}
	return Member{}, false
}

// score returns the score of a member for a key in weighted rendezvous hashing:
// -w/ln(u), where u is the hash of both mapped uniformly to (0,1). Each member has the
// highest score for a share of the keys that is proportional to its weight.
func score(keyHash, memberHash uint64, weight uint32) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], keyHash)
	binary.LittleEndian.PutUint64(b[8:], memberHash)
	// A float64 has a 53-bit significand; adding 0.5 excludes 0 and 1.
	u := (float64(xxhash.Sum64(b[:])>>11) + 0.5) / (1 << 53)
	return -float64(max(weight, 1)) / math.Log(u)
}

// PreferredOwner returns the member that should own the partition with the given key
// (see PartitionKey), or an empty string if there is none. current is the current
// owner, or empty.
//
// The current owner keeps the partition while it is live and not leaving and no
// member that has been live for Config.MinLiveTime has a higher score. The partition
// of a dead or leaving owner moves immediately to the member with the highest score
// among those that have been live for this time, or among all if there is none.
func (v *View) PreferredOwner(key, current string, now time.Time) string {
	keyHash := xxhash.Sum64String(key)
	// best is the index of the preferred member, recent that of the preferred one among
	// the members that are not live for long enough.
	best, recent := -1, -1
	var bestScore, recentScore float64
	for i := range v.Members {
		m := &v.Members[i]
		if m.Leaving {
			continue
		}
		s := score(keyHash, v.hashes[i], m.Weight)
		if m.ID == current || now.Sub(m.LiveSince) >= v.minLiveTime {
			if best < 0 || s > bestScore {
				best, bestScore = i, s
			}
		} else if recent < 0 || s > recentScore {
			recent, recentScore = i, s
		}
	}
	switch {
	case best >= 0:
		return v.Members[best].ID
	case recent >= 0:
		return v.Members[recent].ID
	}
	return ""
}

// PreferredDirector returns the member that should direct the batch work of a
// backend server. current is the last director known to this instance, or empty.
// The results of two members may differ for a few seconds.
func (v *View) PreferredDirector(server, current string, now time.Time) string {
	return v.PreferredOwner("director/"+server, current, now)
}

// PartitionKey returns the key by which PreferredOwner identifies the partition with the
// given stream.
func PartitionKey(stream string) string { return "owner/" + stream }
