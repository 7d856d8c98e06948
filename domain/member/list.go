package member

import (
	"time"

	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

// ListedInstance is one instance on the platform's list.
type ListedInstance struct {
	Info
	Leaving bool
}

// ListedServer is one backend server on the platform's list.
type ListedServer struct {
	ID      string
	Leaving bool
}

// server is the leaving mark of a backend server.
type server struct {
	leaving bool
	// version is the time of the observation, in milliseconds since the Unix
	// epoch at the instance that made it.
	version uint64
	// listed is what this instance's list last said; absent when it named no
	// such server. since is when the list last changed its mind.
	listed listedMark
	since  time.Time
}

type listedMark uint8

const (
	listedAbsent listedMark = iota
	listedStaying
	listedLeaving
)

// ApplyList applies an answer of the platform's list. Instances that are new on
// it are pinged at the next ticks.
func (t *Table) ApplyList(now time.Time, instances []ListedInstance, servers []ListedServer) []Action {
	var out []Action
	for _, l := range instances {
		if l.ID == t.self {
			out = append(out, t.listedSelf(now, l.Leaving)...)
			continue
		}
		m := t.members[l.ID]
		if m == nil {
			m = &Member{Info: l.Info, Status: Listed, Since: now}
			t.members[l.ID] = m
			t.joins = append(t.joins, l.ID)
		}
		if m.Status == Listed {
			m.Info, m.Since = l.Info, now
		}
		if l.Leaving && !m.listedLeaving && !m.Leaving && m.Status != Dead {
			out = append(out, t.set(now, m, m.Status, m.Incarnation, true)...)
		}
		m.listedLeaving = l.Leaving
	}
	return append(out, t.listServers(now, servers)...)
}

// listedSelf applies the list's mark of this instance once it has stood for
// ClearAfter: just after a restart, a lagging list still means the process before.
func (t *Table) listedSelf(now time.Time, leaving bool) []Action {
	switch {
	case !leaving:
		t.selfListed = time.Time{}
	case t.selfListed.IsZero():
		t.selfListed = now
	case now.Sub(t.selfListed) >= t.cfg.ListStableTime && !t.members[t.self].Leaving:
		return append(t.Leave(now), MarkedLeaving{})
	}
	return nil
}

func (t *Table) listServers(now time.Time, servers []ListedServer) []Action {
	var out []Action
	seen := make(map[string]bool, len(servers))
	for _, l := range servers {
		seen[l.ID] = true
		s := t.servers[l.ID]
		if s == nil {
			s = &server{since: now}
			t.servers[l.ID] = s
		}
		mark := listedStaying
		if l.Leaving {
			mark = listedLeaving
		}
		if mark != s.listed {
			// A list that never said leaving has nothing to take back.
			if mark == listedLeaving && !s.leaving {
				out = append(out, t.setServer(l.ID, s, true, uint64(now.UnixMilli()))...)
			}
			s.listed, s.since = mark, now
		}
		if s.leaving && mark == listedStaying && now.Sub(s.since) >= t.cfg.ListStableTime && uint64(s.since.UnixMilli()) > s.version {
			out = append(out, t.setServer(l.ID, s, false, uint64(now.UnixMilli()))...)
		}
	}
	for id, s := range t.servers {
		switch {
		case seen[id]:
		case s.listed != listedAbsent:
			s.listed, s.since = listedAbsent, now
		case now.Sub(s.since) >= t.cfg.DeadRetention:
			delete(t.servers, id)
		}
	}
	return out
}

func (t *Table) setServer(id string, s *server, leaving bool, version uint64) []Action {
	before := s.leaving
	s.leaving, s.version = leaving, version
	t.queue.put(classServer, "s/"+id, &peerpb.Update{Kind: &peerpb.Update_Server{Server: &peerpb.ServerState{
		Server: id, Leaving: leaving, Version: version,
	}}})
	t.urgent += t.cfg.GossipFanout
	if before == leaving {
		return nil
	}
	return []Action{ServerChanged{Server: id, Leaving: leaving}}
}

// mergeServer applies another member's observation of a server. The newer one
// stands; of two equally old ones the leaving mark.
func (t *Table) mergeServer(u *peerpb.ServerState) ([]Action, bool) {
	s := t.servers[u.Server]
	if s == nil {
		s = &server{since: t.lastTick}
		t.servers[u.Server] = s
	}
	if u.Version < s.version || u.Version == s.version && (s.leaving || !u.Leaving) {
		return nil, false
	}
	return t.setServer(u.Server, s, u.Leaving, u.Version), true
}

// ServerLeaving tells whether a backend server gets no new work.
func (t *Table) ServerLeaving(id string) bool {
	s := t.servers[id]
	return s != nil && s.leaving
}
