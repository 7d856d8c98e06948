package suspect

import "time"

// Lease lets one suspect at a time run on a server, whichever instance it comes
// from. It is held by the server's director; without it, suspects of two
// instances could run together and a harmless one could be blamed. The zero
// value is ready to use.
type Lease struct {
	fingerprint string
	until       time.Time
}

// Acquire gives the server's place to the fingerprint until the time limit;
// false while another suspect has it. Asking again prolongs it.
func (g *Lease) Acquire(now time.Time, fingerprint string, limit time.Duration) bool {
	if g.fingerprint != "" && g.fingerprint != fingerprint && now.Before(g.until) {
		return false
	}
	g.fingerprint, g.until = fingerprint, now.Add(limit)
	return true
}

// Release frees the place.
func (g *Lease) Release(fingerprint string) {
	if g.fingerprint == fingerprint {
		*g = Lease{}
	}
}
