package route

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is an instance that takes part in subsetting.
type Member struct {
	ID string
	// Weight is the instance's size relative to the others.
	Weight int
}

// Subset returns the servers that the instance self uses, in the order of
// servers. Each server is assigned to the perServer instances with the highest
// weighted rendezvous hash, so that every server is used by equally many
// instances, and an instance that joins or leaves changes the assignment only of
// the servers that it gets or had. An instance that would get fewer than
// minServers takes the servers that rank it highest.
//
// All instances must pass the same members. While the lists differ, coverage is
// uneven, but only for the servers of the members that differ.
func Subset(self string, members []Member, servers []string, perServer, minServers int) []string {
	selfIndex := slices.IndexFunc(members, func(m Member) bool { return m.ID == self })
	if selfIndex < 0 || perServer >= len(members) {
		return slices.Clone(servers)
	}
	hashes := make([]uint64, len(members))
	for i, m := range members {
		hashes[i] = xxhash.Sum64String(m.ID)
	}
	rankings := make([]ranking, len(servers))
	for i, id := range servers {
		rankings[i] = ranking{i, position(selfIndex, members, hashes, xxhash.Sum64String(id))}
	}
	chosen := make([]ranking, 0, len(rankings))
	for _, r := range rankings {
		if r.position < perServer {
			chosen = append(chosen, r)
		}
	}
	if want := min(minServers, len(servers)); len(chosen) < want {
		slices.SortStableFunc(rankings, func(a, b ranking) int { return cmp.Compare(a.position, b.position) })
		chosen = rankings[:want]
		slices.SortFunc(chosen, func(a, b ranking) int { return cmp.Compare(a.server, b.server) })
	}
	out := make([]string, len(chosen))
	for i, r := range chosen {
		out[i] = servers[r.server]
	}
	return out
}

// ranking is the position of this instance among all instances by descending
// hash for one server.
type ranking struct {
	server   int // index in the list of servers
	position int // number of instances with a higher hash
}

// position returns the number of members with a higher hash for the server than
// the member at selfIndex. Equal hashes are ordered by the member's ID.
func position(selfIndex int, members []Member, hashes []uint64, server uint64) int {
	own := rendezvousScore(hashes[selfIndex], server, members[selfIndex].Weight)
	n := 0
	for i, m := range members {
		if s := rendezvousScore(hashes[i], server, m.Weight); i != selfIndex && (s > own || s == own && m.ID > members[selfIndex].ID) {
			n++
		}
	}
	return n
}

// rendezvousScore returns the weighted rendezvous hash -w/ln(u), where u is
// uniform in (0, 1). The bits are mixed by the finalizer of SplitMix64.
func rendezvousScore(instance, server uint64, weight int) float64 {
	x := instance ^ server*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	u := (float64(x>>11) + 0.5) / (1 << 53)
	return -float64(max(1, weight)) / math.Log(u)
}
