package peers

import (
	"sync"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/balance"
)

const (
	// limitWindow is the span over which the requirements count what a server gets; more than
	// limitFactor times what its limit allows in it, and limitSlack requests, is too much.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitGrace is the time after a server first stated its limit from which requests count.
	limitGrace = 3 * time.Second
)

// sentTimes records when requests were sent to each server.
type sentTimes struct {
	mu    sync.Mutex
	times map[string][]time.Time
	// refused counts the requests for which there was no server.
	refused int
}

// busiest returns the most requests that a server got in limitWindow, between two times.
func (s *sentTimes) busiest(server string, from, to time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	var window []time.Time
	for _, at := range s.times[server] {
		if at.Before(from) || at.After(to) {
			continue
		}
		window = append(window, at)
		for at.Sub(window[0]) >= limitWindow {
			window = window[1:]
		}
		most = max(most, len(window))
	}
	return most
}

// load sends requests of a node, one in each interval, until a time. Each lasts for 300 ms;
// limits holds what the servers state in their answers.
func (s *sentTimes) load(n *node, interval time.Duration, until time.Time, limits func(server string) float64) {
	var running sync.WaitGroup
	for ; time.Now().Before(until); time.Sleep(interval) {
		running.Go(func() {
			lease, ok := n.place(balance.Query{Service: "svc", Class: balance.Online})
			s.mu.Lock()
			if !ok {
				s.refused++
				s.mu.Unlock()
				return
			}
			s.times[lease.Server.ID] = append(s.times[lease.Server.ID], time.Now())
			s.mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			lease.RecordRateLimit(limits(lease.Server.ID))
			time.Sleep(250 * time.Millisecond)
			lease.End(balance.Answered)
		})
	}
	running.Wait()
}

// Guards against a server that names a rate limit getting more from all instances together,
// while a hub is lost and datagrams are late or lost, and against a server getting no more
// requests once it has stopped naming a limit.
func TestRateLimitOfAServerIsKept(t *testing.T) {
	const limited, limit = "s0", 2.0
	inVirtualTime(t, 20, func(t *testing.T, net *network) {
		nodes := startAll(t, net, 5, 3, 8)
		net.setQuality(20*time.Millisecond, 0.05)
		start := time.Now()
		ends := start.Add(20 * time.Second)
		limits := func(server string) float64 {
			if server == limited && time.Now().Before(ends) {
				return limit
			}
			return 0
		}
		sent := &sentTimes{times: map[string][]time.Time{}}
		hub := hubOf(nodes, nodes[0])
		var wait sync.WaitGroup
		for _, n := range nodes {
			until := start.Add(40 * time.Second)
			if n == hub {
				until = start.Add(12 * time.Second)
			}
			wait.Go(func() {
				sent.load(n, 150*time.Millisecond, until, limits)
				if n == hub {
					n.stop()
				}
			})
		}
		wait.Wait()
		allowed := int(limitFactor*limit*limitWindow.Seconds()) + limitSlack
		if n := sent.busiest(limited, start.Add(limitGrace), ends); n > allowed {
			t.Errorf("the server gets %d requests in %s, allowed %d", n, limitWindow, allowed)
		}
		// Without a limit it is one of three equal servers.
		if n := sent.busiest(limited, ends.Add(5*time.Second), ends.Add(time.Minute)); n <= allowed {
			t.Errorf("the server gets only %d requests in %s after it stopped naming a limit", n, limitWindow)
		}
		if sent.refused > 0 {
			t.Errorf("%d requests refused while other servers have free slots", sent.refused)
		}
	})
}
