package gateway

import (
	"expvar"
	"sync"

	"github.com/jacinthnotch/jacinthnotch/node/metrics"
)

// Metrics are the counters and latency histograms of the gateway.
type Metrics struct {
	requests     expvar.Map
	mu           sync.Mutex
	firstLatency map[string]*metrics.Histogram
	totalLatency map[string]*metrics.Histogram
	latency      expvar.Map
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics {
	return &Metrics{firstLatency: map[string]*metrics.Histogram{}, totalLatency: map[string]*metrics.Histogram{}}
}

func (m *Metrics) count(name string) { m.requests.Add(name, 1) }

func (m *Metrics) first(route string) *metrics.Histogram {
	return m.histogram(m.firstLatency, "first", route)
}

func (m *Metrics) total(route string) *metrics.Histogram {
	return m.histogram(m.totalLatency, "total", route)
}

func (m *Metrics) histogram(histograms map[string]*metrics.Histogram, kind, route string) *metrics.Histogram {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := histograms[route]
	if h == nil {
		h = metrics.NewHistogram()
		histograms[route] = h
		m.latency.Set(kind+"_"+route, h)
	}
	return h
}

// Map returns the metrics as one expvar map.
func (m *Metrics) Map() *expvar.Map {
	all := new(expvar.Map).Init()
	all.Set("requests", &m.requests)
	all.Set("latency", &m.latency)
	return all
}
