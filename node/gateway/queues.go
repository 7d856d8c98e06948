package gateway

import (
	"sync"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/queuedelay"
)

// queues follows the expected waiting time of requests, by service.
type queues struct {
	mu        sync.Mutex
	detectors map[string]*queuedelay.Detector
}

// isStanding records the time for which a request is expected to wait, and reports whether
// requests of the service have waited for longer than the target all the time.
func (q *queues) isStanding(service string, wait, target time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	d := q.detectors[service]
	if d == nil {
		if q.detectors == nil {
			q.detectors = map[string]*queuedelay.Detector{}
		}
		d = &queuedelay.Detector{}
		q.detectors[service] = d
	}
	return d.Observe(time.Now(), wait, target)
}
