package suspect

import "time"

// Lease is the right of a suspect to run on a server. One suspect holds it at a
// time, whichever instance it comes from. The server's director keeps the lease.
// Without it suspects of two instances could run together, and a harmless one
// could be blamed for a crash. The zero value is a lease that is free.
type Lease struct {
	fingerprint string // of the holder; empty when the lease is free
	expiresAt   time.Time
}

// Acquire grants the lease to the fingerprint for the duration. It returns false
// while another fingerprint holds the lease. The holder renews it by calling
// Acquire again.
func (l *Lease) Acquire(now time.Time, fingerprint string, duration time.Duration) bool {
	if l.fingerprint != "" && l.fingerprint != fingerprint && now.Before(l.expiresAt) {
		return false
	}
	l.fingerprint, l.expiresAt = fingerprint, now.Add(duration)
	return true
}

// Release frees the lease if the fingerprint holds it.
func (l *Lease) Release(fingerprint string) {
	if l.fingerprint == fingerprint {
		*l = Lease{}
	}
}
