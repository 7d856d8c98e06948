package peers

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/jacinthnotch/jacinthnotch/policy/balance"
	"github.com/jacinthnotch/jacinthnotch/policy/contain"
)

// kind is the first byte of a datagram; a CBOR array follows. New fields are added
// at the end of an array.
type kind byte

const (
	kindState kind = iota + 1
	kindTotal
	kindAsk
	kindGrant
	kindYield
	kindBreak
)

// state is what an instance has in flight.
type state struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Incarnation changes at each start of an instance.
	Incarnation uint32
	// Leaving is set once the instance drains.
	Leaving bool
	// Seen is the sequence number up to which the loads show what was granted.
	Seen  uint64
	Loads []load
	// Reaches is set while the instance reaches the store on its own path.
	Reaches bool
}

// load is what is in flight on one server.
type load struct {
	_             struct{} `cbor:",toarray"`
	Server        uint32
	Online, Batch int
	// Pace is the measured pace in units of paceUnit; zero when there is none.
	Pace int
	// Answered and Failed count how requests ended since the start of the instance.
	Answered, Failed uint32
}

// paceUnit is the unit of paces on the wire.
const paceUnit = 100 * time.Microsecond

// total is what a hub hears of all instances.
type total struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Loads []load
	Alive []member
	// Held are the requests that are held back because they crash servers.
	Held []contain.Fingerprint
}

// member is an instance that a hub hears.
type member struct {
	_           struct{} `cbor:",toarray"`
	Name        uint32
	Incarnation uint32
	// Reaches is what the instance stated of its path to the store.
	Reaches bool
}

// ask asks a hub for a server.
type ask struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Sequence uint64
	Service  string
	Class    balance.Class
	Once     bool
	Headroom int
	// Avoid holds the servers that the asking instance would not use.
	Avoid []uint32
	// Home is the data centre of the asking instance.
	Home string
	// SlackMs is the time for which a batch request can wait, in ms.
	SlackMs int64
}

// grant answers an ask; Server is zero when there is none.
type grant struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	Server   uint32
}

// yield asks for the slot of a batch request.
type yield struct {
	_      struct{} `cbor:",toarray"`
	Server uint32
}

// breakage says that a run of a request broke off on a server, or, with Answered, that
// a request that had broken before was answered.
type breakage struct {
	_        struct{} `cbor:",toarray"`
	Request  contain.Fingerprint
	Server   uint32
	Answered bool
}

// hash shortens the id of a server or the name of an instance in datagrams. Two with
// one hash share their figures, which costs balance only.
func hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

func encode(k kind, body any) ([]byte, error) {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return nil, err
	}
	return append([]byte{byte(k)}, raw...), nil
}

var errEmpty = errors.New("peers: an empty datagram")

// decode decodes the body of a datagram.
func decode[T any](raw []byte) (*T, error) {
	body := new(T)
	if len(raw) == 0 {
		return nil, errEmpty
	}
	return body, cbor.Unmarshal(raw[1:], body)
}

func encodeLoads(stated map[string]balance.Load) []load {
	loads := make([]load, 0, len(stated))
	for id, l := range stated {
		loads = append(loads, load{
			Server: hash(id), Online: l.Counts[balance.Online], Batch: l.Counts[balance.Batch], Pace: int(l.StepTime / paceUnit),
			Answered: l.Answered, Failed: l.Failed,
		})
	}
	return loads
}

func decodeLoads(loads []load, ids map[uint32]string) map[string]balance.Load {
	stated := make(map[string]balance.Load, len(loads))
	for _, l := range loads {
		if id, ok := ids[l.Server]; ok { // otherwise it is not registered here yet
			stated[id] = balance.Load{
				Counts: balance.Counts{balance.Online: l.Online, balance.Batch: l.Batch}, StepTime: time.Duration(l.Pace) * paceUnit,
				OutcomeCounts: balance.OutcomeCounts{Answered: l.Answered, Failed: l.Failed},
			}
		}
	}
	return stated
}
