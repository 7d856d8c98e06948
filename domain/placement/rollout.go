package placement

import (
	"math"
	"time"
)

// rollout is the change of one model to the version that the configuration names.
type rollout struct {
	target string
	// back is the version before; empty when none was seen.
	back   string
	faults int
	halted bool
	// count is the number of servers with the target, since the time of the last change.
	count int
	since time.Time
}

// track brings a model's rollout up to date with the states that were read.
func (p *Planner) track(now time.Time, model, target string, servers []*server) *rollout {
	r := p.rollouts[model]
	if r == nil || r.target != target {
		r = &rollout{target: target, since: now, count: -1}
		p.rollouts[model] = r
	}
	count := 0
	others := map[string]int{}
	for _, s := range servers {
		if !s.known || s.state.Model != model {
			continue
		}
		if s.state.Version == target {
			count++
		} else if s.state.Version != "" {
			others[s.state.Version]++
		}
	}
	if r.back == "" {
		for v, n := range others {
			if b := others[r.back]; n > b || n == b && v < r.back {
				r.back = v
			}
		}
	}
	if count != r.count {
		r.count, r.since = count, now
	}
	return r
}

// allowed is how many of n servers may have or be given the target now.
func (p *Planner) allowed(now time.Time, r *rollout, n int) int {
	steps := []int{1}
	for _, share := range p.set.RolloutShares {
		steps = append(steps, max(1, int(math.Ceil(share*float64(n)))))
	}
	for _, limit := range steps {
		if r.count < limit || r.count == limit && now.Sub(r.since) < p.set.SoakTime {
			return limit
		}
	}
	return n
}

// ReportFault reports that a version works badly, for instance that its servers fail
// more requests than those with the version before. It halts the change to that
// version.
func (p *Planner) ReportFault(model, version, reason string) []Action {
	r := p.rollouts[model]
	if r == nil || r.target != version || r.halted || r.back == "" {
		return nil
	}
	r.halted = true
	p.counters.Halts++
	return []Action{RolloutHalted{Model: model, Version: version, PreviousVersion: r.back, Reason: reason}}
}

// versions returns the version that each server of a model should have. holding
// are the servers that the model was given.
func (p *Planner) versions(now time.Time, model, target string, holding []*server) map[string]string {
	r := p.track(now, model, target, holding)
	out := make(map[string]string, len(holding))
	if r.halted {
		for _, s := range holding {
			out[s.id] = r.back
		}
		return out
	}
	room := p.allowed(now, r, len(holding))
	if r.back == "" {
		// Nothing is replaced, so there is nothing to compare with or return to.
		room = len(holding)
	}
	var later []*server
	for _, s := range holding {
		if s.known && s.state.Model == model && s.state.Version != target && !s.sentTo(model, target) {
			later = append(later, s)
			continue
		}
		out[s.id] = target
		room--
	}
	for _, s := range later {
		out[s.id] = s.state.Version
		if room > 0 {
			out[s.id] = target
			room--
		}
	}
	return out
}

// sentTo tells whether a load of the version is on its way to the server.
func (s *server) sentTo(model, version string) bool {
	return s.pending != nil && s.pending.order.Kind == LoadModel && s.pending.order.Model == model && s.pending.order.Version == version
}
