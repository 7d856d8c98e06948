package gateway

import (
	"expvar"
	"sync"

	"github.com/jacinthnotch/jacinthnotch/node/metrics"
)

// Metrics are the counters and latency histograms of the gateway.
type Metrics struct {
	counts expvar.Map
	mu     sync.Mutex
	firsts map[string]*metrics.Histogram
	totals map[string]*metrics.Histogram
	byName expvar.Map
}

// NewMetrics returns counters at zero.
func NewMetrics() *Metrics {
	return &Metrics{firsts: map[string]*metrics.Histogram{}, totals: map[string]*metrics.Histogram{}}
}

func (m *Metrics) count(name string) { m.counts.Add(name, 1) }

func (m *Metrics) first(route string) *metrics.Histogram {
	return m.histogram(m.firsts, "first", route)
}

func (m *Metrics) total(route string) *metrics.Histogram {
	return m.histogram(m.totals, "total", route)
}

func (m *Metrics) histogram(set map[string]*metrics.Histogram, kind, route string) *metrics.Histogram {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := set[route]
	if h == nil {
		h = metrics.NewHistogram()
		set[route] = h
		m.byName.Set(kind+"_"+route, h)
	}
	return h
}

// Map returns the variables as one expvar map.
func (m *Metrics) Map() *expvar.Map {
	all := new(expvar.Map).Init()
	all.Set("requests", &m.counts)
	all.Set("latency", &m.byName)
	return all
}
