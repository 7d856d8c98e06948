package member

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// View is the members at one moment. It is never changed and may be shared
// between goroutines. Its answers are preferences: who owns a partition is
// decided by claims on the partition's stream.
type View struct {
	// Members holds the live members in order of their names.
	Members  []Member
	hashes   []uint64
	maturity time.Duration
	self     string
}

// View returns the live members at this moment.
func (t *Table) View() *View {
	live := t.live()
	v := &View{maturity: t.cfg.MinLiveTime, self: t.self, Members: make([]Member, len(live)), hashes: make([]uint64, len(live))}
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

// score is the weighted rendezvous score of a member for a key: -w/ln(u) with u
// uniform in (0,1) by the hash of both. A member is preferred for a share of the
// keys that is proportional to its weight.
func score(key, member uint64, weight uint32) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], member)
	// 53 bits fill a float's mantissa; half a unit keeps u off 0 and 1.
	u := (float64(xxhash.Sum64(b[:])>>11) + 0.5) / (1 << 53)
	return -float64(max(weight, 1)) / math.Log(u)
}

// PreferredOwner returns the member that should own the key of a partition, or an empty
// string without any. current is the owner in force, which keeps the partition
// while it is live, does not leave and no member that has been live for the
// maturity is preferred to it. A lost or leaving owner's partition goes at once
// to the preferred of the mature members, or of all when none is mature.
func (v *View) PreferredOwner(key, current string, now time.Time) string {
	k := xxhash.Sum64String(key)
	best, young := -1, -1
	var bestScore, youngScore float64
	for i := range v.Members {
		m := &v.Members[i]
		if m.Leaving {
			continue
		}
		s := score(k, v.hashes[i], m.Weight)
		if m.ID == current || now.Sub(m.LiveSince) >= v.maturity {
			if best < 0 || s > bestScore {
				best, bestScore = i, s
			}
		} else if young < 0 || s > youngScore {
			young, youngScore = i, s
		}
	}
	switch {
	case best >= 0:
		return v.Members[best].ID
	case young >= 0:
		return v.Members[young].ID
	}
	return ""
}

// PreferredDirector returns the member that should direct the batch work of a server.
// current is the director that this instance last saw, or empty. Two members
// may differ for a few seconds.
func (v *View) PreferredDirector(server, current string, now time.Time) string {
	return v.PreferredOwner("director/"+server, current, now)
}

// PartitionKey returns the key under which a partition's owner is chosen.
func PartitionKey(stream string) string { return "owner/" + stream }
