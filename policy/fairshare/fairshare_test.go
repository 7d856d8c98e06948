package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var begin = time.Unix(1000, 0)

// full is the room of a service at which requests are expected to wait for a second.
var full = Room{Waiting: 100, Slots: 100, RunTime: time.Second, Deciders: 2}

// Guards against rejected requests that return at the same time, and against a caller that
// returns at its turn and is rejected in favour of new ones.
func TestTurns(t *testing.T) {
	var c Controller
	r := Request{Service: "s", Workspace: "w", Objective: 300 * time.Millisecond}
	for range 2000 {
		c.Admit(begin, r, Room{})
		c.Admit(begin, Request{Service: "s", Workspace: "other"}, Room{})
	}
	turns := map[uint32]time.Duration{}
	last := time.Duration(0)
	for session := uint32(1); session <= 20; session++ {
		r.Session = session
		d := c.Admit(begin, r, full)
		if d.Admitted || d.RetryAfter < minRetryAfter || d.RetryAfter <= last {
			t.Fatalf("session %d: %+v after a turn in %s", session, d, last)
		}
		turns[session], last = d.RetryAfter, d.RetryAfter
	}
	for session := uint32(1); session <= 20; session++ {
		r.Session = session
		if d := c.Admit(begin.Add(turns[session]), r, Room{Waiting: 12, Slots: 100, RunTime: time.Second, Deciders: 2}); !d.Admitted {
			t.Errorf("session %d is rejected again at its turn in %s: %+v", session, turns[session], d)
		}
	}
}

// Guards against requests that are rejected though there is room, or though they were sent to a
// server before, and against a workspace that stays shut out once the queue does not move.
func TestAdmitted(t *testing.T) {
	for _, tc := range []struct {
		name      string
		objective time.Duration
		room      Room
		after     time.Duration
		want      bool
	}{
		{"free slots", 300 * time.Millisecond, Room{}, 0, true},
		{"a short queue", 300 * time.Millisecond, Room{Waiting: 7, Slots: 100, RunTime: time.Second, Deciders: 2}, 0, true},
		{"a long queue", 300 * time.Millisecond, full, 0, false},
		{"sent before", 0, full, 0, true},
		{"unknown run time", 300 * time.Millisecond, Room{Waiting: 100, Slots: 100, Deciders: 2}, 0, true},
		{"a while later", 300 * time.Millisecond, full, 4 * time.Second, true},
		{"long after", 300 * time.Millisecond, full, time.Hour, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var c Controller
			for i := range 1000 {
				c.Admit(begin, Request{Service: "s", Workspace: fmt.Sprint("w", i%2)}, Room{})
			}
			r := Request{Service: "s", Workspace: "w0", Objective: tc.objective}
			if d := c.Admit(begin.Add(tc.after), r, tc.room); d.Admitted != tc.want {
				t.Errorf("got %+v, want admitted %t", d, tc.want)
			}
		})
	}
}

// Guards against requests that go from one full server to the next, and against a rate of ends
// that counts their refusals, which would hide that there is no room.
func TestRequestsRefusedByFullServers(t *testing.T) {
	var c Controller
	r := Request{Service: "s", Workspace: "w", Objective: 300 * time.Millisecond}
	rejected, inFlight, now := 0, 100, begin
	for i := range 500 {
		admitted := true
		for sent := 0; sent < 4 && admitted; sent++ { // three servers refuse each request
			now = now.Add(time.Millisecond)
			r.Repeated = sent > 0
			admitted = c.Admit(now, r, Room{Waiting: inFlight - 100, Slots: 100}).Admitted
		}
		now = begin.Add(time.Duration(i) * 4 * time.Millisecond)
		if admitted {
			inFlight++
		} else {
			rejected++
		}
		if i%5 < 2 {
			inFlight--
		}
	}
	// 250 requests a second came and 100 ended.
	if inFlight > 100+60 || rejected < 200 {
		t.Errorf("%d requests wait, %d were rejected", inFlight-100, rejected)
	}
}

// Guards against counts that are no numbers any more, after which every request is rejected: a
// hub that has just taken over judges requests again that another one has counted.
func TestRepeatedRequestAtANewHub(t *testing.T) {
	c := &Controller{}
	now := time.Unix(1000, 0)
	full := Room{Waiting: 80, Slots: 100, RunTime: runTime}
	for i := range 400 {
		now = now.Add(5 * time.Millisecond)
		c.Admit(now, Request{Service: "s", Workspace: "a", Work: 100, Objective: objective, Repeated: i < 200}, full)
	}
	f := c.services["s"].flows[flowKey{"a", 0}]
	if math.IsNaN(f.granted) || math.IsNaN(f.limit) || f.granted <= 0 {
		t.Fatalf("granted %v of %v", f.granted, f.limit)
	}
}

// Guards against state that grows with the names that callers bring, and that is kept for ever.
func TestStateIsBounded(t *testing.T) {
	var c Controller
	for i := range 3 * maxFlows {
		r := Request{Service: fmt.Sprint("s", i%(2*maxServices)), Workspace: fmt.Sprint("w", i), Session: uint32(i), Objective: time.Millisecond}
		c.Admit(begin, r, full)
		r.Service = "s0"
		c.Admit(begin, r, full)
		r.Workspace = "w"
		c.Admit(begin, r, full)
	}
	if s := c.services["s0"]; len(c.services) > maxServices || len(s.flows) > maxFlows || len(s.order) != len(s.flows) || len(s.turns) > maxTurns {
		t.Errorf("%d services, %d flows, %d turns", len(c.services), len(s.flows), len(s.turns))
	}
	c.Admit(begin.Add(time.Hour), Request{Service: "t"}, full)
	if len(c.services) != 1 {
		t.Errorf("%d services are kept", len(c.services))
	}
}

// BenchmarkAdmit measures a decision for 560 workspaces at 3,200 requests a second.
func BenchmarkAdmit(b *testing.B) {
	names := make([]string, 560)
	for i := range names {
		names[i] = fmt.Sprint("workspace-", i)
	}
	for name, room := range map[string]Room{"free": {}, "full": full} {
		b.Run(name, func(b *testing.B) {
			var c Controller
			now := begin
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Second / 3200)
				c.Admit(now, Request{Service: "s", Workspace: names[i%len(names)], Session: uint32(i), Work: 20, Objective: 300 * time.Millisecond}, room)
			}
		})
	}
}
