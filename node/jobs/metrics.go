package jobs

import "expvar"

// Metrics are the counters of batch jobs.
type Metrics struct{ counts expvar.Map }

func (m *Metrics) count(name string) { m.counts.Add(name, 1) }

// Map returns the counters as one expvar map.
func (m *Metrics) Map() *expvar.Map { return &m.counts }
