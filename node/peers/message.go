package peers

import (
	"errors"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/origin"
	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
	"github.com/jacinthnotch/jacinthnotch/policy/poison"
	"github.com/jacinthnotch/jacinthnotch/policy/ratelimit"
)

// kind is the type of a datagram. A datagram consists of one byte for its kind and a CBOR
// array of fields. The number of fields of a kind never changes, because decoders reject
// arrays of another length; what is new gets a new kind, which older versions ignore.
type kind byte

const (
	kindLoadReport kind = iota + 1
	kindHubReport
	kindServerRequest
	kindGrant
	kindPreemption
	kindRequestOutcome
	kindRoster
	kindRosterRequest
	kindTotals
	kindBrokenRun
	kindAnswer
	kindContainment
	kindRates
	kindDepartures
	kindOrigins
	kindOriginQuestion
	kindOriginReply
	kindPlacementRequest
	kindPlacement
	kindQuotaReport
	kindPaces
	kindStoreQuestion
	kindStoreReply
)

// Versions of the protocol between instances. An instance states the version that it
// speaks in its load reports.
const (
	// protocolRosters is the first version that knows rosters and totals instead of hub
	// reports.
	protocolRosters = 1
	// protocolPlacements is the first version whose hubs answer placement requests.
	protocolPlacements = 2
	currentProtocol    = protocolPlacements
)

// loadReport reports the load of one instance to a hub.
type loadReport struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Incarnation changes at each start of an instance.
	Incarnation uint32
	// Leaving is set once the instance is draining.
	Leaving bool
	// IncludedGrants is the sequence number up to which the loads include the hub's grants.
	IncludedGrants uint64
	Loads          []load
	// ReachesStore is set while the instance's own path to the store is up.
	ReachesStore bool
	// Protocol is the version of the protocol that the instance speaks.
	Protocol uint8
}

// load is the load on one server, identified by the hash of its id.
type load struct {
	_             struct{} `cbor:",toarray"`
	Server        uint32
	Online, Batch int
	// StepTime is the measured step time in units of stepTimeUnit; zero if there is none.
	StepTime int
	// Answered and Failed count the outcomes of requests since the instance started.
	Answered, Failed uint32
}

// stepTimeUnit is the unit of step times in datagrams.
const stepTimeUnit = 100 * time.Microsecond

// rateReport reports the requests of one instance to servers with a rate limit.
type rateReport struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// IncludedGrants is the sequence number up to which Servers includes the hub's grants.
	IncludedGrants uint64
	Servers        []serverRate
}

// serverRate is what an instance reports about one server with a rate limit.
type serverRate struct {
	_      struct{} `cbor:",toarray"`
	Server uint32
	// Limit is in thousandths of a request a second, zero for none; AgeMs is the time since
	// the server stated it to the instance.
	Limit uint64
	AgeMs int64
	// Starts counts the requests that the instance sent to the server.
	Starts uint32
}

// departureReport reports the statements of servers that they are leaving, which one instance
// got.
type departureReport struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Servers []departure
}

// departure is the statement of one server that it is leaving.
type departure struct {
	_      struct{} `cbor:",toarray"`
	Server uint32
	// Started is the start time of the server in Unix milliseconds, and AgeMs the time since
	// the statement.
	Started, AgeMs int64
}

// originReport reports where streams began, in the encoding of package origins.
type originReport struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Records []byte
}

// storeQuestion asks an instance for how long it has reached the store.
type storeQuestion struct {
	_    struct{} `cbor:",toarray"`
	Name string
}

// storeReply answers a storeQuestion.
type storeReply struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// UpMs is the time in milliseconds for which no call on the own path has failed; zero while the
	// path is down.
	UpMs uint64
}

// originQuestion asks a hub where a stream began.
type originQuestion struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Sequence uint64
	// Service is the service of the stream's route, or "" if it has several.
	Service string
	Stream  uint64
}

// originReply is a hub's reply to an originQuestion.
type originReply struct {
	_                        struct{} `cbor:",toarray"`
	Sequence                 uint64
	Status                   origin.Status
	Service, Version, Server string
}

// rateUnit is the unit of rate limits in datagrams, in requests a second.
const rateUnit = 0.001

// hubReport is a hub's report on all instances.
type hubReport struct {
	_             struct{} `cbor:",toarray"`
	Name          string
	Loads         []load // the total of all instances
	LiveInstances []liveInstance
	// Blocked are the whole requests that are blocked because they crash servers.
	Blocked []poison.Subject
}

// liveInstance is an instance from which a hub receives datagrams.
type liveInstance struct {
	_           struct{} `cbor:",toarray"`
	Name        uint32
	Incarnation uint32
	// ReachesStore is set if the instance reports that its own path to the store is up.
	ReachesStore bool
}

// serverRequest asks a hub for a server for one request.
type serverRequest struct {
	_          struct{} `cbor:",toarray"`
	Name       string
	Sequence   uint64
	Service    string
	Class      balance.Class
	AtMostOnce bool
	Headroom   int
	// Avoid holds the servers that the requesting instance would not use.
	Avoid []uint32
	// DataCentre is the data centre of the requesting instance.
	DataCentre string
	// SlackMs is how long a batch request can wait and still be done when it is due.
	SlackMs int64
	// LeftMs is the time until the request's deadline, and RunMs the time that a request
	// takes on a server of median speed; zero if not known.
	LeftMs, RunMs int64
}

// placementRequest asks a hub that knows protocolPlacements for a server for one request. It
// and placement are maps, to which fields may be added.
type placementRequest struct {
	Request   serverRequest `cbor:"0,keyasint"`
	Workspace string        `cbor:"1,keyasint,omitempty"`
	Priority  int           `cbor:"2,keyasint,omitempty"`
	// Prompt holds the prompt's segments in order.
	Prompt       []promptSegment `cbor:"3,keyasint,omitempty"`
	PromptTokens int64           `cbor:"4,keyasint,omitempty"`
	OutputTokens int64           `cbor:"5,keyasint,omitempty"`
	// Charged is set if the request counts in the workspace's quota already, or not at all.
	Charged bool `cbor:"6,keyasint,omitempty"`
	// ObjectiveMs is the latency objective of a request that may be rejected as over its share,
	// and Repeated is set if it was sent to a server before.
	ObjectiveMs int64 `cbor:"7,keyasint,omitempty"`
	Repeated    bool  `cbor:"8,keyasint,omitempty"`
	// Bytes is the size of the body.
	Bytes int64 `cbor:"9,keyasint,omitempty"`
	// Waiting is the number of batch requests that wait at the requesting instance.
	Waiting int `cbor:"10,keyasint,omitempty"`
	// Incarnation is that of the requesting instance's process; zero from instances that do not state it.
	Incarnation uint32 `cbor:"11,keyasint,omitempty"`
}

// promptSegment is a segment of a prompt.
type promptSegment struct {
	_       struct{} `cbor:",toarray"`
	Segment uint32
	Tokens  int64
}

// placement is a hub's reply to a placementRequest; Server is zero if the request gets none, for
// the reason Reason.
type placement struct {
	Sequence     uint64 `cbor:"1,keyasint"`
	Server       uint32 `cbor:"2,keyasint,omitempty"`
	Reason       uint8  `cbor:"3,keyasint,omitempty"`
	RetryAfterMs int64  `cbor:"4,keyasint,omitempty"`
	// Recent is the number of requests of the workspace in the last window of its quota.
	Recent int `cbor:"5,keyasint,omitempty"`
}

// grant is a hub's reply to a serverRequest; Server is zero if no server is available.
type grant struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	Server   uint32
}

// preemption asks an instance to preempt one of its batch requests on a server.
type preemption struct {
	_      struct{} `cbor:",toarray"`
	Server uint32
	// Requester and Sequence identify the server request of the online request that needs
	// the slot. They are zero if the server has more requests than slots.
	Requester uint32
	Sequence  uint64
}

// requestOutcome reports, from instances that do not know brokenRun and answer, that a server
// failed while it ran a request or, if Answered is set, that a request got a complete answer.
type requestOutcome struct {
	_        struct{} `cbor:",toarray"`
	Whole    poison.Subject
	Server   uint32
	Answered bool
}

// answer reports a complete answer to a request that is, or whose prompt holds, the subject.
type answer struct {
	_       struct{} `cbor:",toarray"`
	Subject poison.Subject
	// AgeMs is the time since the answer.
	AgeMs int64
}

// brokenRun reports that a server failed while it ran a request.
type brokenRun struct {
	_      struct{} `cbor:",toarray"`
	Server uint32
	Whole  poison.Subject
	Parts  []poison.Subject
	// Answered are the parts for which the instance has a complete answer, with its age.
	Answered []answer
}

// blockEntry is a block in a message.
type blockEntry struct {
	_        struct{} `cbor:",toarray"`
	Subjects []poison.Subject
	// RemainingMs is the time until its end, and DurationMs how long it lasts.
	RemainingMs, DurationMs int64
}

// containmentReport is a hub's report on what is blocked.
type containmentReport struct {
	_      struct{} `cbor:",toarray"`
	Blocks []blockEntry
	// Cleared are the subjects for which an answer speaks, and Released those of the blocks
	// that have ended, since the last report.
	Cleared  []poison.Subject
	Released [][]poison.Subject
	// Suspected are the subjects for which the hub wants to know of answers.
	Suspected []poison.Subject
}

// query returns the query of a request for a server, which is decided with a complete view.
func (r *serverRequest) query() balance.Query {
	return balance.Query{
		Service: r.Service, Class: r.Class, AtMostOnce: r.AtMostOnce, Headroom: r.Headroom, DataCentre: r.DataCentre, CompleteView: true,
		Slack: time.Duration(r.SlackMs) * time.Millisecond, Requester: r.Name,
		Left: time.Duration(r.LeftMs) * time.Millisecond, RunTime: time.Duration(r.RunMs) * time.Millisecond,
	}
}

// query returns the query of a placement request.
func (r *placementRequest) query() balance.Query {
	q := r.Request.query()
	q.Workspace, q.Priority, q.Charged = r.Workspace, r.Priority, r.Charged
	q.PromptTokens, q.OutputTokens, q.Bytes = r.PromptTokens, r.OutputTokens, r.Bytes
	q.Objective, q.Repeated = time.Duration(r.ObjectiveMs)*time.Millisecond, r.Repeated
	q.Waiting = max(0, r.Waiting)
	for _, s := range r.Prompt {
		q.Prompt = append(q.Prompt, balance.PromptSegment{Segment: s.Segment, Tokens: s.Tokens})
	}
	return q
}

// newPlacementRequest returns the placement request of a query.
func newPlacementRequest(request *serverRequest, q *balance.Query) *placementRequest {
	r := &placementRequest{
		Request: *request, Workspace: q.Workspace, Priority: q.Priority, Charged: q.Charged,
		ObjectiveMs: q.Objective.Milliseconds(), Repeated: q.Repeated,
		PromptTokens: q.PromptTokens, OutputTokens: q.OutputTokens, Bytes: q.Bytes, Waiting: q.Waiting,
	}
	for _, s := range q.Prompt {
		r.Prompt = append(r.Prompt, promptSegment{Segment: s.Segment, Tokens: s.Tokens})
	}
	return r
}

// newPlacement returns the reply to a placement request.
func newPlacement(sequence uint64, choice balance.Choice, rejection *balance.Rejection) *placement {
	if rejection != nil {
		return &placement{Sequence: sequence, Reason: uint8(rejection.Reason), RetryAfterMs: rejection.RetryAfter.Milliseconds()}
	}
	return &placement{Sequence: sequence, Server: hash(choice.Server.ID)}
}

// rejection returns the reason for which the request gets no server.
func (p *placement) rejection() *balance.Rejection {
	return &balance.Rejection{Reason: balance.Reason(p.Reason), RetryAfter: time.Duration(p.RetryAfterMs) * time.Millisecond}
}

// hash returns the hash that stands for the id of a server or the name of an instance in
// datagrams. What is said of servers that share a hash is ignored (serverList). Two instances with the
// same hash share their figures, which only makes the load less balanced.
func hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

func encode(k kind, body any) ([]byte, error) {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return nil, err
	}
	return append([]byte{byte(k)}, raw...), nil
}

var errEmptyDatagram = errors.New("peers: empty datagram")

// decode decodes the body of a datagram.
func decode[T any](raw []byte) (*T, error) {
	body := new(T)
	if len(raw) == 0 {
		return nil, errEmptyDatagram
	}
	return body, cbor.Unmarshal(raw[1:], body)
}

func encodeLoads(byID map[string]balance.Load) []load {
	loads := make([]load, 0, len(byID))
	for id, l := range byID {
		loads = append(loads, load{
			Server: hash(id), Online: l.Counts[balance.Online], Batch: l.Counts[balance.Batch], StepTime: int(l.StepTime / stepTimeUnit),
			Answered: l.Answered, Failed: l.Failed,
		})
	}
	return loads
}

func encodeRates(now time.Time, byID map[string]balance.RateReport) []serverRate {
	rates := make([]serverRate, 0, len(byID))
	for id, r := range byID {
		rates = append(rates, serverRate{Server: hash(id), Limit: uint64(math.Round(r.Limit / rateUnit)), AgeMs: now.Sub(r.At).Milliseconds(), Starts: r.Starts})
	}
	return rates
}

func decodeRates(now time.Time, rates []serverRate, ids map[uint32]string) map[string]balance.RateReport {
	byID := make(map[string]balance.RateReport, len(rates))
	for _, r := range rates {
		if id, ok := ids[r.Server]; ok {
			at := now.Add(-time.Duration(max(0, r.AgeMs)) * time.Millisecond)
			byID[id] = balance.RateReport{Statement: ratelimit.Statement{Limit: float64(r.Limit) * rateUnit, At: at}, Starts: r.Starts}
		}
	}
	return byID
}

func encodeDepartures(now time.Time, list []serving.Departure) []departure {
	departures := make([]departure, 0, len(list))
	for _, d := range list {
		departures = append(departures, departure{Server: hash(d.Server), Started: d.Started, AgeMs: now.Sub(d.At).Milliseconds()})
	}
	return departures
}

func decodeLoads(loads []load, ids map[uint32]string) map[string]balance.Load {
	byID := make(map[string]balance.Load, len(loads))
	for _, l := range loads {
		if id, ok := ids[l.Server]; ok { // otherwise this instance does not know the server yet
			byID[id] = balance.Load{
				Counts: balance.Counts{balance.Online: l.Online, balance.Batch: l.Batch}, StepTime: time.Duration(l.StepTime) * stepTimeUnit,
				OutcomeCounts: balance.OutcomeCounts{Answered: l.Answered, Failed: l.Failed},
			}
		}
	}
	return byID
}
