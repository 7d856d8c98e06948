package tunnel

import "expvar"

// metrics counts the events of the links of one instance.
type metrics struct {
	counts expvar.Map
	path   func() string
	open   func() int
}

func newMetrics() *metrics { return &metrics{open: func() int { return 0 }} }

func (m *metrics) count(event string) { m.counts.Add(event, 1) }

// Metrics returns the path, the open tunnels of other instances and the counts: "opened" tunnels through
// others, "unreached" servers and dials with "no_peer"; "served" and "refused" tunnels of others; "probes",
// and how often the links were "lost" and "regained".
func (d *Dialer) Metrics() *expvar.Map {
	all := new(expvar.Map).Init()
	all.Set("path", expvar.Func(func() any { return d.metrics.path() }))
	all.Set("open", expvar.Func(func() any { return d.metrics.open() }))
	all.Set("counts", &d.metrics.counts)
	return all
}
