package fleet

import "time"

// OnlineRoom returns how many online requests of a service wait for a slot, and the number of
// the slots. Both are zero while a server has a slot that an online request may take.
func (v *View) OnlineRoom(service string) (waiting, slots int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.OnlineRoom(time.Now(), service)
}
