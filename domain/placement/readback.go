package placement

import "time"

// HandleState passes in the state of a server that was read. requestedAt is when the
// read began. The result of an older read than the latest one is ignored.
func (p *Planner) HandleState(id string, requestedAt time.Time, st EngineState) {
	s := p.servers[id]
	if s == nil || requestedAt.Before(s.stateAt) {
		return
	}
	if st.Loading && !s.stateKnown && s.pending == nil && p.modelService() != nil {
		// A load that a previous owner started also uses the weight store.
		if m := p.doc.Models[st.Model]; m != nil {
			rate := p.doc.CapacityOf(p.service).WeightStoreMiBPerS
			free := requestedAt.Add(time.Duration(float64(m.WeightsMiB) / float64(rate) * float64(time.Second)))
			if free.After(p.nextFetchAt) {
				p.nextFetchAt = free
			}
		}
	}
	s.stateKnown, s.state, s.stateAt = true, st, requestedAt
}

// HandleReadFailure reports that the state of a server could not be read, for example
// because it restarted. Its state is unknown until the next successful read.
func (p *Planner) HandleReadFailure(id string) {
	if s := p.servers[id]; s != nil {
		s.stateKnown = false
	}
}

// checkPending ends the pending order of a server if its result is known, or sends it
// again if its answer is missing.
func (p *Planner) checkPending(now time.Time, s *server) []Action {
	pending := s.pending
	if pending == nil {
		return nil
	}
	expired := now.Sub(pending.lastSentAt) >= p.maxOrderTime()
	if !s.stateKnown || s.stateAt.Before(pending.lastSentAt) {
		if expired && !s.stateKnown {
			// The state cannot be read, and the order can no longer take effect.
			s.pending = nil
		}
		return nil
	}
	switch {
	case p.resultVisible(s):
		if pending.sends == 1 || expired {
			p.orderSucceeded(s)
		}
	case s.state.Loading:
	case expired, pending.sends == 1 && !pending.acceptedAt.IsZero() && !s.stateAt.Before(pending.acceptedAt):
		return p.orderFailed(now, s)
	case pending.acceptedAt.IsZero() && now.Sub(pending.lastSentAt) >= p.settings.ResendDelay:
		pending.sends++
		pending.lastSentAt = now
		p.counters.Reissued++
		return []Action{SendOrder{Server: s.id, Order: pending.order, Reason: "sent again: " + pending.reason}}
	}
	return nil
}

func (p *Planner) orderSucceeded(s *server) {
	s.pending, s.failures, s.retryAt = nil, 0, time.Time{}
	p.counters.Succeeded++
}

func (p *Planner) orderFailed(now time.Time, s *server) []Action {
	pending := s.pending
	s.pending = nil
	p.counters.Failed++
	p.delayRetry(now, s)
	r := p.rollouts[pending.order.Model]
	if !pending.inRollout || r == nil || r.halted || r.target != pending.order.Version {
		return nil
	}
	if r.failures++; r.failures < p.settings.HaltAfterFailures {
		return nil
	}
	return p.ReportFault(pending.order.Model, pending.order.Version, "orders to load it fail")
}

func (p *Planner) delayRetry(now time.Time, s *server) {
	wait := p.settings.MinRetryDelay << min(s.failures, 10)
	s.failures++
	s.retryAt = now.Add(min(wait, p.settings.MaxRetryDelay))
}

// HandleOutcome passes in the outcome of a SendOrder action. An accepted order is
// followed by an immediate read of the state.
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
			p.delayRetry(now, s)
		}
	case OutcomeAccepted:
		s.pending.acceptedAt = now
		s.lastReadAt = now
		return []Action{ReadState{Server: id}}
	}
	return nil
}

func (p *Planner) stepDown(id string) []Action {
	p.counters.Fenced++
	p.fenced = true
	return []Action{StepDown{Server: id}}
}
