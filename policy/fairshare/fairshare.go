package fairshare

import (
	"math"
	"time"
)

const (
	// halfLife is the half-life of the counted work. It is long enough to count some requests
	// of a small workspace and short enough for a burst of a few seconds.
	halfLife = 500 * time.Millisecond
	// targetShare is the share of its latency objective that a request may be expected to wait
	// for a slot. The rest is for its first event, which takes long on a server whose slots are
	// all taken, and for the network.
	targetShare = 0.25
	// longestShare is that share for workspaces below their share. If these ask for no more than
	// smallFitShare of what the servers finish, they are always admitted: the queue gets shorter
	// without them.
	longestShare  = 0.4
	smallFitShare = 0.5
	// minRelief is the least part of what the servers finish that is granted, also while the queue
	// does not get shorter.
	minRelief = 0.125
	// priorityMinimum is the ratio of the served share of a priority to that of all requests,
	// and workspaceMinimum that of a workspace to its priority, below which neither falls: their
	// product stays above a quarter.
	priorityMinimum  = 0.7
	workspaceMinimum = 0.4
	// returnBonus is by how much the share is larger for sessions that return at their turn.
	returnBonus = 0.25
	// maxLead limits the work by which a workspace that had more than its share counts as ahead,
	// as a multiple of the share, so that it is not shut out for long after a burst.
	maxLead = 2.0
	// meanSmoothing is the weight of one request in the mean work.
	meanSmoothing = 0.05
	// allocationInterval is the time for which the division of the room is reused.
	allocationInterval = 20 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time until a rejected request's turn.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// turnMargin is how much before its turn a session counts as returning, and turnTTL how
	// long after it.
	turnMargin = 50 * time.Millisecond
	turnTTL    = 5 * time.Second
	// calmTime is the time without a rejection after which a service has room again.
	calmTime = 5 * time.Second
	// maxFlows limits the flows of a service; the requests beyond them share one flow.
	// maxTurns limits its remembered turns, and maxServices the services.
	maxFlows    = 2048
	maxTurns    = 2048
	maxServices = 1024
	// sweepInterval is the interval at which what is not in use is removed. A flow is, after
	// idleTime without a request.
	sweepInterval = 5 * time.Second
	idleTime      = 10 * time.Second
	// maxScaleExponent is the number of half-lives after which the counts are rescaled.
	maxScaleExponent = 64
	// tolerance is the relative error of sums of shares.
	tolerance = 1e-9
	// maxPasses limits the passes of the max-min division. The shares of workspaces that are
	// satisfied later than that are too low by what is left.
	maxPasses = 16
	// promptTokensPerStep is the number of prompt tokens that take a slot for as long as one
	// token of output.
	promptTokensPerStep = 100.0
)

// Work returns the work of a request with the given numbers of tokens, in tokens of output;
// zero if none are stated.
func Work(promptTokens, outputTokens int64) float64 {
	return float64(max(0, outputTokens)) + float64(max(0, promptTokens))/promptTokensPerStep
}

// Request is an arriving request.
type Request struct {
	Service, Workspace string
	// Weight is the weight of the workspace; zero stands for the mean weight.
	Weight float64
	// Priority is the priority class; 0 is the most urgent.
	Priority int
	// Session identifies the session of the request within the workspace; zero if it has none.
	Session uint32
	// Work is the work of the request; zero stands for the mean work.
	Work float64
	// Objective is the latency objective. A request without one is counted, but admitted.
	Objective time.Duration
	// Repeated is set for a request that was admitted before and that a server has refused. It is
	// judged again, but not counted again.
	Repeated bool
}

// Room is the room that a service has for online requests.
type Room struct {
	// Waiting is the number of requests that wait for a slot; it is zero while there is a slot
	// that a request may take.
	Waiting, Slots int
	// Deciders is the number of controllers that decide on requests of the service, each on an
	// equal part of them; zero counts as one. A single one measures how fast requests end.
	Deciders int
	// RunTime is the time that a request takes a slot, without its time in queues; zero if not
	// known.
	RunTime time.Duration
}

// Decision is the result of Controller.Admit.
type Decision struct {
	Admitted bool
	// RetryAfter is the time until the turn of a request that is not admitted.
	RetryAfter time.Duration
	// Wait is the expected time until the request would have got a slot.
	Wait time.Duration
	// Began is set for the first request of a service that is not admitted, and Ended for the
	// first one after calmTime without such a request.
	Began, Ended bool
}

// Controller decides for all services. The zero value is ready to use.
type Controller struct {
	services map[string]*service
	sweptAt  time.Time
}

// service is the state of one service.
type service struct {
	flows map[flowKey]*flow
	// order holds the flows in the order of their arrival, so that sums do not depend on the
	// order of the map.
	order []*flow
	turns map[turnKey]time.Time
	// Counts are multiplied by 2 for each half-life from scaledAt to the time at which they are
	// added, so that older ones weigh less without being touched.
	scaledAt time.Time
	// meanWork is the moving average of the stated work, zero before the first statement.
	meanWork float64
	// askedAt, allocatedAt and rejectedAt are the times of the last request, of the last
	// division and of the last rejection.
	askedAt, allocatedAt, rejectedAt time.Time
	ends                             endRate
	// wait is the time in nanoseconds for which the last request was expected to wait.
	wait float64
	// smallFit is set if the workspaces below their share ask for at most smallFitShare.
	smallFit bool
	// rejects is set from the first rejection until calmTime after the last one.
	rejects bool
}

// flowKey identifies the requests that share a limit.
type flowKey struct {
	workspace string
	priority  int
}

// flow counts the requests of one workspace at one priority.
type flow struct {
	flowKey
	weight float64
	// asked and granted are the counts of work, and limit is the share, all at the same scale.
	asked, granted, limit float64
	askedAt               time.Time
	// small is set if the workspace asks for no more than its share of all that the servers
	// finish.
	small bool
	// nextTurn is the latest turn that was given to a rejected request.
	nextTurn time.Time
	// unmet is what the limit lacks of asked, in divide.
	unmet float64
}

// turnKey identifies a session that was given a turn.
type turnKey struct {
	flow    flowKey
	session uint32
}

// Admit decides on a request. An admitted one counts as granted. A request that servers refuse,
// because their queues are full, is judged each time, so that it does not try all of them.
func (c *Controller) Admit(now time.Time, r Request, room Room) Decision {
	c.sweep(now)
	s := c.service(now, r.Service)
	if s == nil {
		return Decision{Admitted: true}
	}
	var d Decision
	if s.rejects && now.Sub(s.rejectedAt) > calmTime {
		d.Ended, s.rejects = true, false
	}
	f := s.flow(flowKey{r.Workspace, r.Priority})
	f.weight, f.askedAt, s.askedAt = r.Weight, now, now
	work := s.work(r.Work)
	scale := s.scale(now)
	if r.Repeated {
		f.granted = max(0, f.granted-work*scale)
	} else {
		f.asked += work * scale
	}
	if d.Admitted = s.admits(now, f, &r, work*scale, room); d.Admitted {
		if !r.Repeated {
			s.ends.admitted++
		}
		f.granted += work * scale
		delete(s.turns, turnKey{f.flowKey, r.Session})
		return d
	}
	d.RetryAfter = s.nextTurn(now, f, &r, work*scale)
	d.Wait = time.Duration(s.wait)
	d.Began = !s.rejects
	s.rejects, s.rejectedAt = true, now
	return d
}

// admits reports whether there is room for the request, or its workspace has less than its
// share. work is at the scale of the counts.
func (s *service) admits(now time.Time, f *flow, r *Request, work float64, room Room) bool {
	rate := s.endRate(now, room)
	target := targetShare * float64(r.Objective)
	if room.Waiting <= 0 || rate == 0 || target <= 0 {
		return true
	}
	wait := float64(room.Waiting) / rate * float64(time.Second)
	s.wait = wait
	if wait <= target {
		return true
	}
	if age := now.Sub(s.allocatedAt); age < 0 || age >= allocationInterval {
		s.allocatedAt = now
		s.allocate(s.scale(now), max(minRelief, target/wait), rate/float64(max(1, room.Deciders)))
	}
	if f.small && (wait <= longestShare*float64(r.Objective) || s.smallFit) {
		return true
	}
	f.granted = min(f.granted, maxLead*max(f.limit, work))
	limit := f.limit
	if s.returns(now, f, r.Session) {
		limit *= 1 + returnBonus
	}
	return f.granted < limit
}

// service returns the state of a service, or nil if there are too many.
func (c *Controller) service(now time.Time, name string) *service {
	s := c.services[name]
	if s == nil {
		if len(c.services) >= maxServices {
			return nil
		}
		if c.services == nil {
			c.services = map[string]*service{}
		}
		s = &service{flows: map[flowKey]*flow{}, turns: map[turnKey]time.Time{}, scaledAt: now}
		c.services[name] = s
	}
	return s
}

// flow returns the flow of a key, or the one that all keys beyond maxFlows share.
func (s *service) flow(key flowKey) *flow {
	if f := s.flows[key]; f != nil {
		return f
	}
	if len(s.flows) >= maxFlows-1 {
		key = flowKey{"", math.MaxInt}
		if f := s.flows[key]; f != nil {
			return f
		}
	}
	f := &flow{flowKey: key, small: true}
	s.flows[key] = f
	s.order = append(s.order, f)
	return f
}

// work returns the work of a request, or the mean if it is not stated.
func (s *service) work(stated float64) float64 {
	switch {
	case stated <= 0 && s.meanWork > 0:
		return s.meanWork
	case stated <= 0:
		return 1
	case s.meanWork == 0:
		s.meanWork = stated
	default:
		s.meanWork += meanSmoothing * (stated - s.meanWork)
	}
	return stated
}

// scale returns the factor of counts that are added now.
func (s *service) scale(now time.Time) float64 {
	exponent := float64(now.Sub(s.scaledAt)) / float64(halfLife)
	if exponent > maxScaleExponent {
		factor := math.Exp2(-exponent)
		for _, f := range s.order {
			f.asked *= factor
			f.granted *= factor
			f.limit *= factor
		}
		s.scaledAt, exponent = now, 0
	}
	return math.Exp2(exponent)
}

// allocate sets the limits of all flows. relief is the ratio of the wait that is aimed at to the
// expected one: what is granted is less than what the servers finish, until the queue is short.
// rate is the number of requests that end in a second.
func (s *service) allocate(scale, relief, rate float64) {
	asked, granted, weights, weighted := 0.0, 0.0, 0.0, 0.0
	byPriority := map[int]float64{}
	for _, f := range s.order {
		asked += f.asked
		granted += f.granted
		byPriority[f.priority] += f.asked
		if f.weight > 0 {
			weights += f.weight
			weighted++
		}
	}
	meanWeight := 1.0
	if weighted > 0 {
		meanWeight = weights / weighted
	}
	capacity := max(granted, scale*rate*s.work(0)*halfLife.Seconds()/math.Ln2)
	s.divide(byPriority, asked, capacity, meanWeight)
	small := 0.0
	for _, f := range s.order {
		if f.small = f.unmet == 0; f.small {
			small += f.asked
		}
	}
	s.smallFit = small <= smallFitShare*capacity
	s.divide(byPriority, asked, relief*capacity, meanWeight)
}

// divide divides the capacity among the priorities and their flows.
func (s *service) divide(byPriority map[int]float64, asked, capacity, meanWeight float64) {
	ratio := 1.0
	if asked > capacity {
		ratio = capacity / asked
	}
	spare := capacity - priorityMinimum*ratio*asked
	for _, priority := range sortedKeys(byPriority) {
		demand := byPriority[priority]
		minimum := priorityMinimum * ratio * demand
		extra := min(max(0, spare), demand-minimum)
		spare -= extra
		s.dividePriority(priority, demand, minimum+extra, meanWeight)
	}
}

// dividePriority divides the capacity of a priority among its flows.
func (s *service) dividePriority(priority int, demand, capacity, meanWeight float64) {
	if capacity >= (1-tolerance)*demand {
		for _, f := range s.order {
			if f.priority == priority {
				f.limit, f.unmet = f.asked, 0
			}
		}
		return
	}
	ratio, spare := capacity/demand, capacity
	for _, f := range s.order {
		if f.priority == priority {
			f.limit = workspaceMinimum * ratio * f.asked
			f.unmet = f.asked - f.limit
			spare -= f.limit
		}
	}
	for range maxPasses {
		weights := 0.0
		for _, f := range s.order {
			if f.priority == priority && f.unmet > 0 {
				weights += f.weightOr(meanWeight)
			}
		}
		if weights == 0 || spare <= 0 {
			return
		}
		level, satisfied := spare/weights, false
		for _, f := range s.order {
			if f.priority == priority && f.unmet > 0 && f.unmet <= level*f.weightOr(meanWeight) {
				spare -= f.unmet
				f.limit += f.unmet
				f.unmet, satisfied = 0, true
			}
		}
		if satisfied {
			continue
		}
		for _, f := range s.order {
			if f.priority == priority && f.unmet > 0 {
				f.limit += level * f.weightOr(meanWeight)
			}
		}
		return
	}
}

func (f *flow) weightOr(mean float64) float64 {
	if f.weight > 0 {
		return f.weight
	}
	return mean
}

// returns reports whether a session was rejected before and its turn has come.
func (s *service) returns(now time.Time, f *flow, session uint32) bool {
	turn, ok := s.turns[turnKey{f.flowKey, session}]
	return ok && session != 0 && !now.Before(turn.Add(-turnMargin))
}

// nextTurn gives a rejected request its turn, and returns the time until then. A workspace below
// its share returns when the queue is shorter; otherwise enough of the workspace's work has to
// decay first. Further requests follow one after the other at the rate of the share. work is at
// the scale of the counts.
func (s *service) nextTurn(now time.Time, f *flow, r *Request, work float64) time.Duration {
	wait, spacing := maxRetryAfter, maxRetryAfter
	switch {
	case f.small:
		wait, spacing = atMost(s.wait-targetShare*float64(r.Objective)), 0
	case f.limit > 0:
		wait = atMost(math.Log2(max(1, f.granted/f.limit)) * float64(halfLife))
		spacing = atMost(work / f.limit * float64(halfLife) / math.Ln2)
	}
	turn := now.Add(max(wait, minRetryAfter))
	if next := f.nextTurn.Add(spacing); next.After(turn) {
		turn = next
	}
	if latest := now.Add(maxRetryAfter); turn.After(latest) {
		turn = latest
	}
	f.nextTurn = turn
	if r.Session != 0 && len(s.turns) < maxTurns {
		s.turns[turnKey{f.flowKey, r.Session}] = turn
	}
	return turn.Sub(now)
}

// atMost returns a duration in nanoseconds, at most maxRetryAfter.
func atMost(nanoseconds float64) time.Duration {
	return time.Duration(min(nanoseconds, float64(maxRetryAfter)))
}
