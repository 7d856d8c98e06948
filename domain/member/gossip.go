package member

import (
	"math"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

// priority is the priority class of an update. Lower values are sent first.
type priority uint8

const (
	// priorityMember is used for deaths, suspicions, refutations and leaving marks of
	// members, priorityJoin for new members. A new member pings all listed instances
	// itself, so that updates about it can wait.
	priorityMember priority = iota
	priorityServer
	priorityJoin
	priorityBacklog
)

// queuedUpdate is an update that is still to be sent.
type queuedUpdate struct {
	priority priority
	key      string
	sends    int
	bytes    int
	// seq numbers the updates. With equal priority and sends, the newest is sent
	// first.
	seq    uint64
	update *peerpb.Update
}

// maxQueuedUpdates bounds the queue. Updates at its end are dropped first, which are
// backlogs that were already sent.
const maxQueuedUpdates = 2048

// updateQueue holds at most one update per key, which identifies the member, server or
// backlog that the update is about.
type updateQueue struct {
	items   []*queuedUpdate
	lastSeq uint64
}

func (q *updateQueue) put(prio priority, key string, u *peerpb.Update) {
	q.lastSeq++
	// The encoded update has 2 more bytes in a message, its tag and length.
	n := &queuedUpdate{priority: prio, key: key, bytes: proto.Size(u) + 2, seq: q.lastSeq, update: u}
	for i, it := range q.items {
		if it.key == key {
			q.items[i] = n
			return
		}
	}
	q.items = append(q.items, n)
}

func (q *updateQueue) remove(key string) {
	for i, it := range q.items {
		if it.key == key {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return
		}
	}
}

// next returns the updates for one message: up to maxBytes, or up to maxUrgentBytes for
// those of priorityMember. It removes updates that were sent maxSends times, and joins
// and backlogs that were sent lowPrioritySends times.
func (q *updateQueue) next(maxBytes, maxUrgentBytes, maxSends, lowPrioritySends int) []*peerpb.Update {
	if len(q.items) == 0 {
		return nil
	}
	sort.Slice(q.items, func(i, j int) bool {
		a, b := q.items[i], q.items[j]
		if a.priority != b.priority {
			return a.priority < b.priority
		}
		if a.sends != b.sends {
			return a.sends < b.sends
		}
		return a.seq > b.seq
	})
	var out []*peerpb.Update
	kept := q.items[:0]
	used := 0
	for _, it := range q.items {
		byteLimit := maxBytes
		if it.priority == priorityMember {
			byteLimit = maxUrgentBytes
		}
		if used+it.bytes <= byteLimit {
			used += it.bytes
			it.sends++
			out = append(out, it.update)
		}
		sendLimit := maxSends
		if it.priority >= priorityJoin {
			sendLimit = lowPrioritySends
		}
		if it.sends < sendLimit && len(kept) < maxQueuedUpdates {
			kept = append(kept, it)
		}
	}
	clear(q.items[len(kept):])
	q.items = kept
	return out
}

// updatesFor returns the updates for a message to m, which is nil for an unknown
// member. They begin with this member's own state and configuration revision. If the
// table has m as suspect, dead or leaving, they include this, so that m can refute or
// apply it.
func (t *Table) updatesFor(m *Member) []*peerpb.Update {
	out := []*peerpb.Update{{Kind: &peerpb.Update_Member{Member: memberState(t.members[t.self])}}}
	if t.configRevision > 0 {
		out = append(out, &peerpb.Update{Kind: &peerpb.Update_Config{Config: &peerpb.ConfigHead{Revision: t.configRevision}}})
	}
	if m != nil && m.ID != t.self && (m.Status == Suspect || m.Status == Dead || m.Leaving) {
		out = append(out, &peerpb.Update{Kind: &peerpb.Update_Member{Member: memberState(m)}})
	}
	maxSends := int(math.Ceil(t.cfg.RetransmitFactor * math.Log2(float64(len(t.sortedLive())+1))))
	out = append(out, t.queue.next(t.cfg.MaxUpdateBytes, t.cfg.MaxUrgentUpdateBytes, maxSends, t.cfg.LowPrioritySends)...)
	t.counters.UpdatesSent += uint64(len(out))
	return out
}

// merge applies the updates of a message.
func (t *Table) merge(now time.Time, from string, updates []*peerpb.Update) []Action {
	var out []Action
	for _, u := range updates {
		t.counters.UpdatesReceived++
		var actions []Action
		useful := false
		switch k := u.Kind.(type) {
		case *peerpb.Update_Member:
			actions, useful = t.mergeMember(now, k.Member)
		case *peerpb.Update_Server:
			actions, useful = t.mergeServer(k.Server)
		case *peerpb.Update_Backlog:
			useful = t.mergeBacklog(k.Backlog)
		case *peerpb.Update_Config:
			actions, useful = t.mergeConfig(from, k.Config.Revision)
		}
		if useful {
			t.counters.UpdatesUseful++
		}
		out = append(out, actions...)
	}
	return out
}

// SetConfigRevision sets the configuration revision that this instance holds and
// that its messages carry.
func (t *Table) SetConfigRevision(revision int64) {
	if revision <= t.configRevision {
		return
	}
	t.configRevision = revision
	t.gossipsDue += t.cfg.GossipFanout
}

// mergeConfig reports a higher revision. It is not disseminated before this member
// holds it, so that a member that announces a revision can also serve it.
func (t *Table) mergeConfig(from string, revision int64) ([]Action, bool) {
	if revision <= t.configRevision {
		return nil, false
	}
	return []Action{ConfigAhead{Revision: revision, From: from}}, true
}

// Backlog is the pending batch work for one model in the partitions of one instance.
type Backlog struct {
	Instance, Model string
	Items           uint32
	// EarliestDueMs is the earliest due time in milliseconds since the Unix epoch.
	EarliestDueMs int64
	version       uint64
}

type backlogKey struct{ instance, model string }

// ownBacklog is this instance's backlog of one model and its last announcement.
type ownBacklog struct {
	current     Backlog
	announced   Backlog
	announcedAt time.Time
}

// minBacklogRefresh is the minimum time after which an unchanged backlog is announced
// again, for instances that have started since or have missed the announcement.
const minBacklogRefresh = 2 * time.Minute

// SetBacklog sets this instance's backlog of a model. If it differs enough from the
// last announcement, a later tick announces it, subject to the minimum intervals.
func (t *Table) SetBacklog(model string, items uint32, earliestDueMs int64) {
	o := t.ownBacklogs[model]
	if o == nil {
		if items == 0 {
			return
		}
		o = &ownBacklog{}
		t.ownBacklogs[model] = o
	}
	o.current = Backlog{Instance: t.self, Model: model, Items: items, EarliestDueMs: earliestDueMs}
	b := o.current
	t.backlogs[backlogKey{t.self, model}] = &b
	if items == 0 {
		delete(t.backlogs, backlogKey{t.self, model})
	}
}

// Backlogs returns the known non-empty backlogs of a model, sorted by instance.
func (t *Table) Backlogs(model string) []Backlog {
	var out []Backlog
	for k, b := range t.backlogs {
		if k.model == model && b.Items > 0 {
			out = append(out, *b)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

// changedEnough reports whether a backlog differs enough from its last announcement
// to be announced: by more than a factor of 2, or by an earlier due time.
func (o *ownBacklog) changedEnough() bool {
	a, n := o.announced, o.current
	return n.Items > 2*a.Items || a.Items > 2*n.Items || n.Items > 0 && n.EarliestDueMs < a.EarliestDueMs
}

func (t *Table) announceBacklogs(now time.Time) {
	interval := time.Duration(len(t.sortedLive())) * t.cfg.BacklogIntervalPerMember
	for _, model := range sortedKeys(t.ownBacklogs) {
		o := t.ownBacklogs[model]
		age := now.Sub(o.announcedAt)
		startedOrEnded := (o.announced.Items == 0) != (o.current.Items == 0)
		switch {
		case startedOrEnded && age >= t.cfg.MinBacklogInterval:
		case o.changedEnough() && age >= max(interval, t.cfg.MinBacklogInterval):
		case o.current.Items > 0 && age >= max(2*interval, minBacklogRefresh):
		default:
			continue
		}
		o.announced, o.announcedAt = o.current, now
		t.queue.put(priorityBacklog, "b/"+t.self+"/"+model, &peerpb.Update{Kind: &peerpb.Update_Backlog{Backlog: &peerpb.Backlog{
			Instance: t.self, Model: model, Items: o.current.Items, EarliestDueMs: o.current.EarliestDueMs, Version: uint64(now.UnixMilli()),
		}}})
	}
}

func (t *Table) mergeBacklog(b *peerpb.Backlog) bool {
	if m := t.members[b.Instance]; b.Instance == t.self || m == nil || m.Status == Dead {
		return false
	}
	key := backlogKey{b.Instance, b.Model}
	if cur := t.backlogs[key]; cur != nil && cur.version >= b.Version {
		return false
	}
	t.backlogs[key] = &Backlog{Instance: b.Instance, Model: b.Model, Items: b.Items, EarliestDueMs: b.EarliestDueMs, version: b.Version}
	t.queue.put(priorityBacklog, "b/"+b.Instance+"/"+b.Model, &peerpb.Update{Kind: &peerpb.Update_Backlog{Backlog: b}})
	return true
}

func (t *Table) removeBacklogs(instance string) {
	for k := range t.backlogs {
		if k.instance == instance {
			delete(t.backlogs, k)
			t.queue.remove("b/" + k.instance + "/" + k.model)
		}
	}
}
