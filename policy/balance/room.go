package balance

import "time"

// OnlineRoom returns how many online requests of a service wait for a slot, and the number of
// the slots. Both are zero while a server has a slot that an online request may take.
func (t *Table) OnlineRoom(now time.Time, service string) (waiting, slots int) {
	group := t.services[service]
	if group == nil {
		return 0, 0
	}
	for _, s := range group.servers {
		if !s.server.Usable() || s.consecutiveUnreachable > 0 && now.Before(s.backoffUntil) {
			continue
		}
		if s.tier() != tierQueue {
			return 0, 0
		}
		waiting += s.own[Online] + s.peers[Online] - s.slots()
		slots += s.slots()
	}
	return waiting, slots
}
