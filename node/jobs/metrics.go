package jobs

import "expvar"

// Metrics are the counters of batch jobs.
type Metrics struct{ counts expvar.Map }

func (m *Metrics) count(name string) { m.countN(name, 1) }

func (m *Metrics) countN(name string, n int) { m.counts.Add(name, int64(n)) }

// Map returns the counters as one expvar map.
func (m *Metrics) Map() *expvar.Map { return &m.counts }
