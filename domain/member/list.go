package member

import (
	"time"

	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

// ListedInstance is an instance on the platform's list.
type ListedInstance struct {
	Info
	Leaving bool
}

// ListedServer is a backend server on the platform's list.
type ListedServer struct {
	ID      string
	Leaving bool
}

// serverMark is the leaving mark of a backend server.
type serverMark struct {
	leaving bool
	// version is when the mark was observed, in milliseconds since the Unix epoch
	// by the clock of the observing instance.
	version uint64
	// listedAs is what the last list that this instance read says about the server,
	// and listedSince when this last changed.
	listedAs    listedState
	listedSince time.Time
}

type listedState uint8

const (
	listedAbsent listedState = iota
	listedStaying
	listedLeaving
)

// ApplyList applies a list that was read from the platform. Newly listed instances
// are pinged at the next ticks.
func (t *Table) ApplyList(now time.Time, instances []ListedInstance, servers []ListedServer) []Action {
	var out []Action
	for _, l := range instances {
		if l.ID == t.self {
			out = append(out, t.applyListedSelf(now, l.Leaving)...)
			continue
		}
		m := t.members[l.ID]
		if m == nil {
			m = &Member{Info: l.Info, Status: Listed, Since: now}
			t.members[l.ID] = m
			t.pendingJoins = append(t.pendingJoins, l.ID)
		}
		if m.Status == Listed {
			m.Info, m.Since = l.Info, now
		}
		if l.Leaving && !m.listedLeaving && !m.Leaving && m.Status != Dead {
			out = append(out, t.setMember(now, m, m.Status, m.Incarnation, true)...)
		}
		m.listedLeaving = l.Leaving
	}
	return append(out, t.applyListedServers(now, servers)...)
}

// applyListedSelf applies the list's leaving mark of this instance after it has
// been listed for ListStableTime. Right after a restart, a lagging list still
// shows the mark of the previous process.
func (t *Table) applyListedSelf(now time.Time, leaving bool) []Action {
	switch {
	case !leaving:
		t.selfListedLeavingSince = time.Time{}
	case t.selfListedLeavingSince.IsZero():
		t.selfListedLeavingSince = now
	case now.Sub(t.selfListedLeavingSince) >= t.cfg.ListStableTime && !t.members[t.self].Leaving:
		return append(t.Leave(now), MarkedLeaving{})
	}
	return nil
}

func (t *Table) applyListedServers(now time.Time, servers []ListedServer) []Action {
	var out []Action
	seen := make(map[string]bool, len(servers))
	for _, l := range servers {
		seen[l.ID] = true
		s := t.servers[l.ID]
		if s == nil {
			s = &serverMark{listedSince: now}
			t.servers[l.ID] = s
		}
		listedAs := listedStaying
		if l.Leaving {
			listedAs = listedLeaving
		}
		if listedAs != s.listedAs {
			// A mark is cleared below only if the list changed to staying after the
			// mark was observed.
			if listedAs == listedLeaving && !s.leaving {
				out = append(out, t.setServer(l.ID, s, true, uint64(now.UnixMilli()))...)
			}
			s.listedAs, s.listedSince = listedAs, now
		}
		if s.leaving && listedAs == listedStaying && now.Sub(s.listedSince) >= t.cfg.ListStableTime && uint64(s.listedSince.UnixMilli()) > s.version {
			out = append(out, t.setServer(l.ID, s, false, uint64(now.UnixMilli()))...)
		}
	}
	for id, s := range t.servers {
		switch {
		case seen[id]:
		case s.listedAs != listedAbsent:
			s.listedAs, s.listedSince = listedAbsent, now
		case now.Sub(s.listedSince) >= t.cfg.DeadRetention:
			delete(t.servers, id)
		}
	}
	return out
}

func (t *Table) setServer(id string, s *serverMark, leaving bool, version uint64) []Action {
	before := s.leaving
	s.leaving, s.version = leaving, version
	t.queue.put(priorityServer, "s/"+id, &peerpb.Update{Kind: &peerpb.Update_Server{Server: &peerpb.ServerState{
		Server: id, Leaving: leaving, Version: version,
	}}})
	t.gossipsDue += t.cfg.GossipFanout
	if before == leaving {
		return nil
	}
	return []Action{ServerChanged{Server: id, Leaving: leaving}}
}

// mergeServer applies the leaving mark of a server that another member observed.
// The higher version takes precedence, and with equal versions a set mark.
func (t *Table) mergeServer(u *peerpb.ServerState) ([]Action, bool) {
	s := t.servers[u.Server]
	if s == nil {
		s = &serverMark{listedSince: t.lastTick}
		t.servers[u.Server] = s
	}
	if u.Version < s.version || u.Version == s.version && (s.leaving || !u.Leaving) {
		return nil, false
	}
	return t.setServer(u.Server, s, u.Leaving, u.Version), true
}

// ServerLeaving reports whether a backend server is marked as leaving and gets no
// new work.
func (t *Table) ServerLeaving(id string) bool {
	s := t.servers[id]
	return s != nil && s.leaving
}
