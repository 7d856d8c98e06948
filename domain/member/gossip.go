package member

import (
	"math"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

// class orders updates of different importance; lower ones are sent first.
type class uint8

const (
	// classMember holds deaths, suspicions, refutations and leaving marks,
	// classJoin new members: these ping every listed instance themselves, so their
	// updates may wait behind the others.
	classMember class = iota
	classServer
	classJoin
	classBacklog
)

// queued is an update that still has to be sent.
type queued struct {
	class class
	key   string
	sent  int
	bytes int
	// order is the number of the update; among equals the newest goes first.
	order  uint64
	update *peerpb.Update
}

// maxQueued bounds the queue. The last ones in its order, backlogs that were
// sent before, are dropped first.
const maxQueued = 2048

// queue holds at most one update for each subject.
type queue struct {
	items []*queued
	order uint64
}

func (q *queue) put(c class, key string, u *peerpb.Update) {
	q.order++
	n := &queued{class: c, key: key, bytes: proto.Size(u) + 2, order: q.order, update: u}
	for i, it := range q.items {
		if it.key == key {
			q.items[i] = n
			return
		}
	}
	q.items = append(q.items, n)
}

func (q *queue) drop(key string) {
	for i, it := range q.items {
		if it.key == key {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return
		}
	}
}

// take returns updates within budget bytes, or urgent bytes for those of
// classMember, and removes those that were sent limit times, joins and backlogs
// after few times.
func (q *queue) take(budget, urgent, limit, few int) []*peerpb.Update {
	if len(q.items) == 0 {
		return nil
	}
	sort.Slice(q.items, func(i, j int) bool {
		a, b := q.items[i], q.items[j]
		if a.class != b.class {
			return a.class < b.class
		}
		if a.sent != b.sent {
			return a.sent < b.sent
		}
		return a.order > b.order
	})
	var out []*peerpb.Update
	kept := q.items[:0]
	used := 0
	for _, it := range q.items {
		room := budget
		if it.class == classMember {
			room = urgent
		}
		if used+it.bytes <= room {
			used += it.bytes
			it.sent++
			out = append(out, it.update)
		}
		most := limit
		if it.class >= classJoin {
			most = few
		}
		if it.sent < most && len(kept) < maxQueued {
			kept = append(kept, it)
		}
	}
	clear(q.items[len(kept):])
	q.items = kept
	return out
}

// updatesFor returns the updates of a message to m, which may be unknown. They
// begin with this member's own state and configuration head. A member that others take for suspect,
// dead or leaving is told so.
func (t *Table) updatesFor(m *Member) []*peerpb.Update {
	out := []*peerpb.Update{{Kind: &peerpb.Update_Member{Member: state(t.members[t.self])}}}
	if t.head > 0 {
		out = append(out, &peerpb.Update{Kind: &peerpb.Update_Config{Config: &peerpb.ConfigHead{Revision: t.head}}})
	}
	if m != nil && m.ID != t.self && (m.Status == Suspect || m.Status == Dead || m.Leaving) {
		out = append(out, &peerpb.Update{Kind: &peerpb.Update_Member{Member: state(m)}})
	}
	limit := int(math.Ceil(t.cfg.RetransmitFactor * math.Log2(float64(len(t.live())+1))))
	out = append(out, t.queue.take(t.cfg.MaxUpdateBytes, t.cfg.MaxUrgentUpdateBytes, limit, t.cfg.LowPrioritySends)...)
	t.counters.UpdatesSent += uint64(len(out))
	return out
}

// merge applies the updates of one message.
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

// SetConfigHead tells which configuration revision this instance holds. Every
// message carries it.
func (t *Table) SetConfigHead(revision int64) {
	if revision <= t.head {
		return
	}
	t.head = revision
	t.urgent += t.cfg.GossipFanout
}

// mergeConfig only reports a higher revision: this member passes it on when it
// holds it itself, so that a peer that is asked for it can answer.
func (t *Table) mergeConfig(from string, revision int64) ([]Action, bool) {
	if revision <= t.head {
		return nil, false
	}
	return []Action{ConfigAhead{Revision: revision, From: from}}, true
}

// Backlog is what one instance's partitions have pending for one model.
type Backlog struct {
	Instance, Model string
	Items           uint32
	// EarliestDueMs is the earliest due time, in milliseconds since the Unix epoch.
	EarliestDueMs int64
	version       uint64
}

type backlogKey struct{ instance, model string }

// ownBacklog is this instance's backlog of one model and what was last said of it.
type ownBacklog struct {
	now       Backlog
	announced Backlog
	at        time.Time
}

// backlogRefresh is the least time after which an unchanged backlog is announced
// again, for instances that started meanwhile or missed it.
const backlogRefresh = 2 * time.Minute

// SetBacklog gives this instance's backlog of a model. It is announced at the
// next tick at which it may be, if it differs enough from what was announced.
func (t *Table) SetBacklog(model string, items uint32, earliestDueMs int64) {
	o := t.own[model]
	if o == nil {
		if items == 0 {
			return
		}
		o = &ownBacklog{}
		t.own[model] = o
	}
	o.now = Backlog{Instance: t.self, Model: model, Items: items, EarliestDueMs: earliestDueMs}
	b := o.now
	t.backlogs[backlogKey{t.self, model}] = &b
	if items == 0 {
		delete(t.backlogs, backlogKey{t.self, model})
	}
}

// Backlogs returns the known backlogs of a model, in order of the instance.
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

// worth tells whether a change of a backlog is worth an announcement: by a factor
// of two, or an earlier due time.
func (o *ownBacklog) worth() bool {
	a, n := o.announced, o.now
	return n.Items > 2*a.Items || a.Items > 2*n.Items || n.Items > 0 && n.EarliestDueMs < a.EarliestDueMs
}

func (t *Table) announceBacklogs(now time.Time) {
	least := time.Duration(len(t.live())) * t.cfg.BacklogIntervalPerMember
	for _, model := range sortedKeys(t.own) {
		o := t.own[model]
		age := now.Sub(o.at)
		edge := (o.announced.Items == 0) != (o.now.Items == 0)
		switch {
		case edge && age >= t.cfg.MinBacklogInterval:
		case o.worth() && age >= max(least, t.cfg.MinBacklogInterval):
		case o.now.Items > 0 && age >= max(2*least, backlogRefresh):
		default:
			continue
		}
		o.announced, o.at = o.now, now
		t.queue.put(classBacklog, "b/"+t.self+"/"+model, &peerpb.Update{Kind: &peerpb.Update_Backlog{Backlog: &peerpb.Backlog{
			Instance: t.self, Model: model, Items: o.now.Items, EarliestDueMs: o.now.EarliestDueMs, Version: uint64(now.UnixMilli()),
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
	t.queue.put(classBacklog, "b/"+b.Instance+"/"+b.Model, &peerpb.Update{Kind: &peerpb.Update_Backlog{Backlog: b}})
	return true
}

func (t *Table) dropBacklogs(instance string) {
	for k := range t.backlogs {
		if k.instance == instance {
			delete(t.backlogs, k)
			t.queue.drop("b/" + k.instance + "/" + k.model)
		}
	}
}
