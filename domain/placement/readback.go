package placement

import "time"

// HandleState hands over a server's state. asked is when the read began; an older
// read than the newest is ignored.
func (p *Planner) HandleState(id string, asked time.Time, st EngineState) {
	s := p.servers[id]
	if s == nil || asked.Before(s.asked) {
		return
	}
	if st.Loading && !s.known && s.pending == nil && p.svc() != nil {
		// A load of an owner before uses the weight store as well.
		if m := p.doc.Models[st.Model]; m != nil {
			rate := p.doc.CapacityOf(p.service).WeightStoreMiBPerS
			free := asked.Add(time.Duration(float64(m.WeightsMiB) / float64(rate) * float64(time.Second)))
			if free.After(p.weightsFree) {
				p.weightsFree = free
			}
		}
	}
	s.known, s.state, s.asked = true, st, asked
}

// HandleReadFailure reports that a server's state cannot be read, for instance because it
// restarted. What was known about it no longer counts.
func (p *Planner) HandleReadFailure(id string) {
	if s := p.servers[id]; s != nil {
		s.known = false
	}
}

// settle decides about a server's pending order.
func (p *Planner) settle(now time.Time, s *server) []Action {
	q := s.pending
	if q == nil {
		return nil
	}
	over := now.Sub(q.lastSent) >= p.maxOrder()
	if !s.known || s.asked.Before(q.lastSent) {
		if over && !s.known {
			// The server is gone; nothing can be under way on it.
			s.pending = nil
		}
		return nil
	}
	switch {
	case p.done(s):
		if q.sends == 1 || over {
			p.succeeded(s)
		}
	case s.state.Loading:
	case over, q.sends == 1 && !q.answered.IsZero() && !s.asked.Before(q.answered):
		return p.failed(now, s)
	case q.answered.IsZero() && now.Sub(q.lastSent) >= p.set.ResendDelay:
		q.sends++
		q.lastSent = now
		p.counters.Reissued++
		return []Action{SendOrder{Server: s.id, Order: q.order, Reason: "sent again: " + q.reason}}
	}
	return nil
}

func (p *Planner) succeeded(s *server) {
	s.pending, s.failures, s.retryAt = nil, 0, time.Time{}
	p.counters.Succeeded++
}

func (p *Planner) failed(now time.Time, s *server) []Action {
	q := s.pending
	s.pending = nil
	p.counters.Failed++
	p.backOff(now, s)
	r := p.rollouts[q.order.Model]
	if !q.rollout || r == nil || r.halted || r.target != q.order.Version {
		return nil
	}
	if r.faults++; r.faults < p.set.HaltAfterFailures {
		return nil
	}
	return p.ReportFault(q.order.Model, q.order.Version, "orders to load it fail")
}

func (p *Planner) backOff(now time.Time, s *server) {
	wait := p.set.MinRetryDelay << min(s.failures, 10)
	s.failures++
	s.retryAt = now.Add(min(wait, p.set.MaxRetryDelay))
}

// HandleOutcome hands over the outcome of an order that was issued. It may lead to an
// immediate read.
func (p *Planner) HandleOutcome(now time.Time, id, orderID string, outcome Outcome) []Action {
	s := p.servers[id]
	if s == nil || s.pending == nil || s.pending.order.ID != orderID {
		if outcome == OutcomeFenced {
			return p.stepDown(id)
		}
		return nil
	}
	switch outcome {
	case OutcomeFenced:
		return p.stepDown(id)
	case OutcomeNoEffect:
		if s.pending.sends--; s.pending.sends == 0 {
			s.pending = nil
			p.backOff(now, s)
		}
	case OutcomeAccepted:
		s.pending.answered = now
		s.reading = now
		return []Action{ReadState{Server: id}}
	}
	return nil
}

func (p *Planner) stepDown(id string) []Action {
	p.counters.Fenced++
	p.fenced = true
	return []Action{StepDown{Server: id}}
}
