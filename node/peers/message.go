package peers

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/jacinthnotch/jacinthnotch/policy/balance"
)

// kind is the kind of a datagram.
type kind uint8

const (
	// kindState states the sender's requests in flight.
	kindState kind = iota + 1
	// kindYield asks the receiver for the slot of a batch request.
	kindYield
)

// datagram is one message. Fields are encoded by position to keep it small; new
// fields are added at the end.
type datagram struct {
	_    struct{} `cbor:",toarray"`
	Kind kind
	// Name and Incarnation name the sender; the incarnation changes at each start.
	Name        string
	Incarnation uint32
	// Leaving is set once the sender drains.
	Leaving bool
	// Loads holds, with kindState, what the sender has in flight.
	Loads []load
	// Server is the hash of a server's id, with kindYield.
	Server uint32
}

// load is what an instance has in flight on one server.
type load struct {
	_             struct{} `cbor:",toarray"`
	Server        uint32
	Online, Batch int
}

// serverHash shortens a server's id in datagrams. Two servers with one hash share
// their load figures, which costs balance only.
func serverHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

func encodeLoads(own map[string]balance.Counts) []load {
	loads := make([]load, 0, len(own))
	for id, c := range own {
		loads = append(loads, load{Server: serverHash(id), Online: c[balance.Online], Batch: c[balance.Batch]})
	}
	return loads
}

func decodeLoads(loads []load, ids map[uint32]string) map[string]balance.Counts {
	counts := make(map[string]balance.Counts, len(loads))
	for _, l := range loads {
		if id, ok := ids[l.Server]; ok {
			counts[id] = balance.Counts{balance.Online: l.Online, balance.Batch: l.Batch}
		}
	}
	return counts
}

func encode(d *datagram) ([]byte, error) { return cbor.Marshal(d) }

func decode(raw []byte) (*datagram, error) {
	d := &datagram{}
	if err := cbor.Unmarshal(raw, d); err != nil {
		return nil, err
	}
	return d, nil
}
