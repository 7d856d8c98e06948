package fleet

import "time"

// OnlineRoom returns how many online requests of a service wait for a slot, and the number of
// the slots. Both are zero while a server has a slot that an online request may take.
func (v *View) OnlineRoom(service string) (waiting, slots int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.OnlineRoom(time.Now(), service)
}

// shorterSmoothing and longerSmoothing are the weights of a measurement below and above the
// shortest run time. A long one may be due to the time in a queue.
const (
	shorterSmoothing = 0.2
	longerSmoothing  = 0.005
)

// recordShortRunTime records the run time of an online request. The lock must be held.
func (v *View) recordShortRunTime(service string, runTime time.Duration) {
	if v.shortRunTimes == nil {
		v.shortRunTimes = map[string]time.Duration{}
	}
	short, ok := v.shortRunTimes[service]
	switch {
	case !ok:
		short = runTime
	case runTime < short:
		short += time.Duration(shorterSmoothing * float64(runTime-short))
	default:
		short += time.Duration(longerSmoothing * float64(runTime-short))
	}
	v.shortRunTimes[service] = short
}

// ShortRunTime returns the time that the shorter ones of this instance's online requests to a
// service take, which have not waited in a queue; zero before the first one has ended.
func (v *View) ShortRunTime(service string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.shortRunTimes[service]
}
