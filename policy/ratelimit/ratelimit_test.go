package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// The requirements: in any window of so long a server gets at most factor times what its limit
// allows and slack requests more.
const (
	window = 4 * time.Second
	factor = 1.5
	slack  = 5
)

// Guards against a server getting more than it allows while instances change between a hub's
// grants and sending alone, the hub changes, and reports of what they sent are late; with few instances and with many.
func TestSumStaysBelowTheLimit(t *testing.T) {
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 1))
		instances := 1 + random.IntN(400)
		delay := time.Duration(random.IntN(100)) * time.Millisecond
		limit := 0.2 + 10*random.Float64()
		hubs, own := make([]Bucket, 5), make([]Bucket, instances)
		state := func(now time.Time) {
			s := Statement{Limit: limit, At: now}
			for i := range own {
				own[i].Record(now, s)
			}
			for i := range hubs {
				hubs[i].Record(now, s)
			}
		}
		type report struct {
			at  time.Time
			hub int
		}
		var reports []report
		var sent []time.Time
		state(epoch)
		hub, hubChanges := 0, 100+random.IntN(1000)
		for now := epoch; now.Sub(epoch) < 40*time.Second; now = now.Add(5 * time.Millisecond) {
			for len(reports) > 0 && !now.Before(reports[0].at) {
				hubs[reports[0].hub].Adjust(now, -1)
				reports = reports[1:]
			}
			if random.IntN(hubChanges) == 0 {
				hub = random.IntN(len(hubs))
			}
			ok := false
			if random.IntN(10) == 0 { // the hub does not answer
				b := &own[random.IntN(instances)]
				if ok = b.AllowsAlone(now, instances, random.Float64()); ok {
					reports = append(reports, report{now.Add(delay), hub})
				}
			} else if ok = hubs[hub].Allows(now, random.IntN(3) == 0); ok {
				hubs[hub].Adjust(now, -1)
			}
			if !ok {
				continue
			}
			reports = append(reports, report{now.Add(delay), (hub + 1) % len(hubs)}) // the standby
			sent = append(sent, now)
			for now.Sub(sent[0]) >= window {
				sent = sent[1:]
			}
			if allowed := factor*limit*window.Seconds() + slack; float64(len(sent)) > allowed {
				t.Fatalf("seed %d, %d instances, limit %.2f: %d requests, allowed %.1f", seed, instances, limit, len(sent), allowed)
			}
		}
		if len(sent) == 0 {
			t.Fatalf("seed %d, limit %.2f: no request in the last %s", seed, limit, window)
		}
	}
}

// Guards against a limit that stays after the server stopped stating it, an older statement that
// replaces a newer one, and requests that can wait using tokens that others need.
func TestStatements(t *testing.T) {
	var b Bucket
	if !b.Allows(epoch, true) {
		t.Fatal("limited without a statement")
	}
	if !b.Record(epoch, Statement{Limit: 2, At: epoch}) || b.Record(epoch, Statement{At: epoch.Add(-1)}) || !b.Limited() {
		t.Fatal("an older statement counts")
	}
	if b.Allows(epoch, false) {
		t.Fatal("a burst when the limit begins")
	}
	now := epoch
	for range 6 {
		now = now.Add(100 * time.Millisecond)
		b.Allows(now, true)
	}
	if !b.Allows(now, false) || b.Allows(now, true) {
		t.Fatal("a request that can wait has the same right as others")
	}
	before := b.tokens
	if b.Allows(now.Add(time.Hour), true); b.tokens-before > 1 {
		t.Fatalf("%.1f tokens for a time in which the bucket was not used", b.tokens-before)
	}
	if !b.Record(now, Statement{At: now}) || b.Limited() || !b.Allows(now, true) {
		t.Fatal("still limited after the server states none")
	}
}
