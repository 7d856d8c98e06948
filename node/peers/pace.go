package peers

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/pace"
)

const (
	// packedPaceBytes is the length of one statement in a paceReport: four bytes for the hash of
	// the server's id, and one each for the age, the pace, the requests and the waiting ones.
	packedPaceBytes = 8
	// paceAgeUnit is the unit of a statement's age, and paceUnit that of its pace, in percent.
	paceAgeUnit = 5 * time.Millisecond
	paceUnit    = 4
	// maxPacedServers limits the statements of one report, so that it fits into a datagram.
	maxPacedServers = 128
)

// paceReport reports what servers stated of themselves to one instance.
type paceReport struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Packed holds packedPaceBytes for each server.
	Packed []byte
}

// pacesDue returns the report on what servers stated of themselves if one is due, and its address,
// which is that of the hub that picks servers. The lock must be held.
func (g *Group) pacesDue(now time.Time) (next time.Time, to netip.AddrPort, report *paceReport) {
	next = now.Add(maxReportInterval)
	if !g.opt.View.HasUnreportedPaces() {
		return next, to, nil
	}
	if at := g.pacesSentAt.Add(minReportInterval); now.Before(at) {
		return at, to, nil
	}
	g.pacesSentAt = now
	// Without a hub they are dropped: later ones are worth more.
	list := g.opt.View.TakePaces()
	hub, self := g.askedHub(now)
	if self || hub == nil || hub.protocol < protocolPlacements || !hub.addrPort.IsValid() || len(list) == 0 {
		return next, to, nil
	}
	return next, hub.addrPort, &paceReport{Name: g.opt.Name, Packed: packPaces(now, list)}
}

// onPaces applies a peer's report on what servers stated of themselves.
func (g *Group) onPaces(report *paceReport, _ netip.AddrPort) {
	now := time.Now()
	g.mu.Lock()
	ids := g.serverIDs().byHash
	g.mu.Unlock()
	g.opt.View.UpdatePeerPaces(unpackPaces(now, report.Packed, ids))
}

func packPaces(now time.Time, list map[string]pace.Statement) []byte {
	packed := make([]byte, 0, min(len(list), maxPacedServers)*packedPaceBytes)
	for id, s := range list {
		if len(packed) == maxPacedServers*packedPaceBytes {
			break
		}
		packed = binary.BigEndian.AppendUint32(packed, hash(id))
		packed = append(packed, packByte(int(now.Sub(s.At)/paceAgeUnit)), packByte((s.Pace+paceUnit/2)/paceUnit), packByte(s.Requests), packByte(s.Waiting))
	}
	return packed
}

// packByte returns a value as a byte; larger ones become the largest.
func packByte(v int) byte { return byte(min(max(v, 0), 255)) }

// unpackPaces returns the statements about known servers. The rest of a truncated one is ignored.
func unpackPaces(now time.Time, packed []byte, ids map[uint32]string) map[string]pace.Statement {
	list := make(map[string]pace.Statement, len(packed)/packedPaceBytes)
	for ; len(packed) >= packedPaceBytes; packed = packed[packedPaceBytes:] {
		id, ok := ids[binary.BigEndian.Uint32(packed)]
		if !ok || packed[5] == 0 {
			continue
		}
		list[id] = pace.Statement{
			At: now.Add(-time.Duration(packed[4]) * paceAgeUnit), Pace: int(packed[5]) * paceUnit,
			Requests: int(packed[6]), Waiting: int(packed[7]),
		}.Clamp()
	}
	return list
}
