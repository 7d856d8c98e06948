package placement

import (
	"math"
	"time"
)

// rollout is the change of a model to the version in the configuration.
type rollout struct {
	target string
	// previous is the version to return to; empty if no other version was seen.
	previous string
	failures int
	halted   bool
	// count is the number of servers that have the target version; it last changed at
	// countChangedAt.
	count          int
	countChangedAt time.Time
}

// updateRollout updates the rollout of a model from the states that were read.
func (p *Planner) updateRollout(now time.Time, model, target string, servers []*server) *rollout {
	r := p.rollouts[model]
	if r == nil || r.target != target {
		r = &rollout{target: target, countChangedAt: now, count: -1}
		p.rollouts[model] = r
	}
	count := 0
	others := map[string]int{}
	for _, s := range servers {
		if !s.stateKnown || s.state.Model != model {
			continue
		}
		if s.state.Version == target {
			count++
		} else if s.state.Version != "" {
			others[s.state.Version]++
		}
	}
	if r.previous == "" {
		for v, n := range others {
			if b := others[r.previous]; n > b || n == b && v < r.previous {
				r.previous = v
			}
		}
	}
	if count != r.count {
		r.count, r.countChangedAt = count, now
	}
	return r
}

// targetLimit returns how many of n servers may currently have, or be told to load, the
// target version.
func (p *Planner) targetLimit(now time.Time, r *rollout, n int) int {
	steps := []int{1}
	for _, share := range p.settings.RolloutShares {
		steps = append(steps, max(1, int(math.Ceil(share*float64(n)))))
	}
	for _, limit := range steps {
		if r.count < limit || r.count == limit && now.Sub(r.countChangedAt) < p.settings.SoakTime {
			return limit
		}
	}
	return n
}

// ReportFault reports a problem with a version, for example that its servers fail more
// requests than those with the previous version. It halts the rollout of the version.
func (p *Planner) ReportFault(model, version, reason string) []Action {
	r := p.rollouts[model]
	if r == nil || r.target != version || r.halted || r.previous == "" {
		return nil
	}
	r.halted = true
	p.counters.Halts++
	return []Action{RolloutHalted{Model: model, Version: version, PreviousVersion: r.previous, Reason: reason}}
}

// assignVersions returns the version that each of the servers assigned to a model should
// have.
func (p *Planner) assignVersions(now time.Time, model, target string, servers []*server) map[string]string {
	r := p.updateRollout(now, model, target, servers)
	out := make(map[string]string, len(servers))
	if r.halted {
		for _, s := range servers {
			out[s.id] = r.previous
		}
		return out
	}
	room := p.targetLimit(now, r, len(servers))
	if r.previous == "" {
		// No version is replaced, so there is none to compare with or to return to.
		room = len(servers)
	}
	var outdated []*server
	for _, s := range servers {
		if s.stateKnown && s.state.Model == model && s.state.Version != target && !s.loadPending(model, target) {
			outdated = append(outdated, s)
			continue
		}
		out[s.id] = target
		room--
	}
	for _, s := range outdated {
		out[s.id] = s.state.Version
		if room > 0 {
			out[s.id] = target
			room--
		}
	}
	return out
}

// loadPending reports whether the pending order of the server loads the version.
func (s *server) loadPending(model, version string) bool {
	return s.pending != nil && s.pending.order.Kind == LoadModel && s.pending.order.Model == model && s.pending.order.Version == version
}
