package serving

const (
	// maxRemembered is the number of servers from which the order of those without an entry is
	// forgotten, the first that was removed first.
	maxRemembered = 4096
	// maxOutdated is the number of outdated entries in succession, with no other one between
	// them, after which they count as those of a new start. The start time of a server that was
	// started again may be lower than before if its clock was set back.
	maxOutdated = 10
)

// entryOrder puts the entries of servers in the order in which the servers wrote them. The
// store may execute a write that was held up after later ones, also after the entry was
// removed.
type entryOrder struct {
	latest map[string]*entryPosition
	// removals counts the removed entries.
	removals uint64
}

// entryPosition is the position of a server's latest entry.
type entryPosition struct {
	started, sequence int64
	// removal is the number of the removal of the entry; zero while there is an entry.
	removal uint64
	// outdated counts the outdated entries since the latest one, of the start outdatedStarted
	// and up to outdatedSequence.
	outdated                          int
	outdatedStarted, outdatedSequence int64
}

// follows reports whether an entry is not older than the latest one. Entries without a start
// time cannot be compared.
func (p *entryPosition) follows(s *Server) bool {
	switch {
	case p.started == 0 || s.Started == 0:
		return true
	case s.Started != p.started:
		return s.Started > p.started
	}
	return s.Sequence >= p.sequence
}

// recordOutdated counts an outdated entry and reports whether it counts as one of a new start.
func (p *entryPosition) recordOutdated(s *Server) bool {
	switch {
	case s.Started != p.outdatedStarted:
		p.outdated = 1
	case s.Sequence > p.outdatedSequence:
		p.outdated++
	}
	p.outdatedStarted, p.outdatedSequence = s.Started, s.Sequence
	return p.outdated >= maxOutdated
}

// accept records an entry and reports whether it is in order.
func (o *entryOrder) accept(s *Server) bool {
	p := o.latest[s.ID]
	if p != nil && !p.follows(s) && !p.recordOutdated(s) {
		return false
	}
	o.latest[s.ID] = &entryPosition{started: s.Started, sequence: s.Sequence}
	return true
}

// remove records that the entry of a server was removed.
func (o *entryOrder) remove(id string) {
	p := o.latest[id]
	if p == nil || p.removal > 0 {
		return
	}
	o.removals++
	p.removal = o.removals
	if len(o.latest) > maxRemembered {
		o.forget()
	}
}

// forget forgets the server whose entry was removed first.
func (o *entryOrder) forget() {
	first, found := "", false
	for id, p := range o.latest {
		if p.removal > 0 && (!found || p.removal < o.latest[first].removal) {
			first, found = id, true
		}
	}
	delete(o.latest, first)
}
