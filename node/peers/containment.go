package peers

import (
	"expvar"
	"fmt"
	"math"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/policy/poison"
)

const (
	// maxReportedBlocks and maxReportedSuspects limit the blocks and the subjects in a report.
	maxReportedBlocks   = 64
	maxReportedSuspects = 64
)

// containment is what an instance knows of the requests that crash servers. Every instance
// reports broken runs and, for what is suspected, answers to the hubs. The hubs report what
// is blocked at once and again in each roster, with the time that is left.
type containment struct {
	mu      sync.Mutex
	tracker *poison.Tracker
	// pendingBreaks are the reports of broken runs that are sent again, the oldest first, and
	// seenBreaks the times of those that arrived here.
	pendingBreaks []pendingBreak
	seenBreaks    map[breakKey]time.Time
	counts        expvar.Map
}

func newContainment(name string) containment {
	return containment{tracker: poison.NewTracker(float64(hash(name)) / (math.MaxUint32 + 1)), seenBreaks: map[breakKey]time.Time{}}
}

// ContainmentMetrics returns counters: broken runs, blocks, and subjects that were cleared.
func (g *Group) ContainmentMetrics() *expvar.Map { return &g.containment.counts }

// Blocked reports whether a request is blocked because it crashes servers.
func (g *Group) Blocked(r poison.Request) bool {
	g.containment.mu.Lock()
	defer g.containment.mu.Unlock()
	return g.containment.tracker.Blocked(time.Now(), r)
}

// RecordBreak records, here and at the hubs, that a server failed while it ran a request.
func (g *Group) RecordBreak(r poison.Request, server *serving.Server) {
	now, c := time.Now(), &g.containment
	report := &brokenRun{Server: hash(fmt.Sprint(server.ID, "\x00", server.Started)), Whole: r.Whole, Parts: r.Parts}
	c.mu.Lock()
	for _, p := range r.Parts {
		if age, answered := c.tracker.AnswerAge(now, p); answered {
			report.Answered = append(report.Answered, answer{Subject: p, AgeMs: age.Milliseconds()})
		}
	}
	change := c.tracker.RecordBreak(now, r, report.Server)
	c.repeatLater(now, report)
	c.mu.Unlock()
	c.counts.Add("broken_runs", 1)
	klog.InfoS("run broken by its server", "request", subjectName(r.Whole), "parts", subjectNames(r.Parts), "answeredParts", len(report.Answered), "server", server.ID)
	g.sendToHubs(kindBrokenRun, report)
	g.publish(now, change)
}

// RecordAnswer records a complete answer to a request, at the hubs too if it is suspected.
func (g *Group) RecordAnswer(r poison.Request) {
	now, c := time.Now(), &g.containment
	c.mu.Lock()
	change, reportable := c.tracker.RecordAnswer(now, r)
	c.mu.Unlock()
	for _, s := range reportable {
		g.sendToHubs(kindAnswer, &answer{Subject: s})
	}
	g.publish(now, change)
}

// onBrokenRun applies a peer's report of a broken run.
func (g *Group) onBrokenRun(report *brokenRun) {
	now, c := time.Now(), &g.containment
	c.mu.Lock()
	repeated := c.isRepetition(now, report)
	c.mu.Unlock()
	if repeated {
		return
	}
	for i := range report.Answered {
		g.onAnswer(&report.Answered[i])
	}
	c.mu.Lock()
	change := c.tracker.RecordBreak(now, poison.Request{Whole: report.Whole, Parts: report.Parts}, report.Server)
	c.mu.Unlock()
	g.publish(now, change)
}

// onAnswer applies a peer's report of an answer.
func (g *Group) onAnswer(a *answer) {
	now, c := time.Now(), &g.containment
	c.mu.Lock()
	change := c.tracker.RecordAnswerFor(now, now.Add(-time.Duration(max(0, a.AgeMs))*time.Millisecond), a.Subject)
	c.mu.Unlock()
	g.publish(now, change)
}

// onOutcome applies the report of a peer of an older version.
func (g *Group) onOutcome(o *requestOutcome) {
	if o.Answered {
		g.onAnswer(&answer{Subject: o.Whole})
		return
	}
	g.onBrokenRun(&brokenRun{Server: o.Server, Whole: o.Whole})
}

// publish logs a change of what is blocked and, on a hub, sends it to all peers.
func (g *Group) publish(now time.Time, change poison.Change) {
	if change.Empty() {
		return
	}
	g.logChange(change)
	var to []netip.AddrPort
	g.mu.Lock()
	if g.hub.active {
		for _, p := range g.peers {
			if p.live(now) && p.addrPort.IsValid() {
				to = append(to, p.addrPort)
			}
		}
	}
	g.mu.Unlock()
	if len(to) > 0 {
		g.send(kindContainment, &containmentReport{Blocks: encodeBlocks(now, change.Added), Cleared: change.Cleared, Released: change.Released}, to...)
	}
}

func (g *Group) logChange(change poison.Change) {
	for _, b := range change.Added {
		g.containment.counts.Add("blocks", 1)
		klog.InfoS("requests blocked", "subjects", subjectNames(b.Subjects), "duration", b.Duration, "cause", "servers crashed under them")
	}
	for _, subjects := range change.Released {
		g.containment.counts.Add("released", 1)
		klog.InfoS("requests no longer blocked", "subjects", subjectNames(subjects), "cause", "another block explains the crashes")
	}
	for _, s := range change.Cleared {
		g.containment.counts.Add("cleared", 1)
		klog.InfoS("subject no longer blocked", "subject", subjectName(s), "cause", "answered")
	}
}

// onContainment applies a hub's report, which is not passed on, and tells the hub of answers
// to what it suspects.
func (g *Group) onContainment(report *containmentReport, from netip.AddrPort) {
	now, c := time.Now(), &g.containment
	var change poison.Change
	c.mu.Lock()
	for _, subjects := range report.Released {
		change.Released = append(change.Released, c.tracker.Release(subjects).Released...)
	}
	for _, s := range report.Cleared {
		change.Cleared = append(change.Cleared, c.tracker.RecordAnswerFor(now, now, s).Cleared...)
	}
	for _, b := range report.Blocks {
		change.Added = append(change.Added, c.tracker.Adopt(now, b.decode(now)).Added...)
	}
	var answers []*answer
	for _, s := range report.Suspected {
		if age, ok := c.tracker.AnswerAge(now, s); ok {
			answers = append(answers, &answer{Subject: s, AgeMs: age.Milliseconds()})
		} else {
			c.tracker.Watch(now, s)
		}
	}
	c.mu.Unlock()
	g.logChange(change)
	for _, a := range answers {
		g.send(kindAnswer, a, from)
	}
}

// sendContainment sends a hub's report on what is blocked and suspected, if anything is.
func (g *Group) sendContainment(now time.Time, to ...netip.AddrPort) {
	c := &g.containment
	c.mu.Lock()
	report := &containmentReport{
		Blocks: encodeBlocks(now, c.tracker.Blocks(now, maxReportedBlocks)), Suspected: c.tracker.Suspected(now, maxReportedSuspects),
	}
	c.mu.Unlock()
	if len(report.Blocks) > 0 || len(report.Suspected) > 0 {
		g.send(kindContainment, report, to...)
	}
}

// blockedWhole returns the subjects of the blocks that have only one, for peers of older versions.
func (c *containment) blockedWhole(now time.Time) []poison.Subject {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []poison.Subject
	for _, b := range c.tracker.Blocks(now, maxReportedBlocks) {
		if len(b.Subjects) == 1 {
			list = append(list, b.Subjects[0])
		}
	}
	return list
}

func encodeBlocks(now time.Time, blocks []poison.Block) []blockEntry {
	list := make([]blockEntry, 0, len(blocks))
	for _, b := range blocks {
		list = append(list, blockEntry{Subjects: b.Subjects, RemainingMs: b.Until.Sub(now).Milliseconds(), DurationMs: b.Duration.Milliseconds()})
	}
	return list
}

// decode returns the block with the end that it has by this instance's clock.
func (b blockEntry) decode(now time.Time) poison.Block {
	duration := time.Duration(b.DurationMs) * time.Millisecond
	remaining := min(duration, time.Duration(b.RemainingMs)*time.Millisecond)
	return poison.Block{Subjects: b.Subjects, Duration: duration, Until: now.Add(remaining)}
}

func subjectName(s poison.Subject) string { return fmt.Sprintf("%016x", uint64(s)) }

func subjectNames(list []poison.Subject) []string {
	names := make([]string, 0, len(list))
	for _, s := range list {
		names = append(names, subjectName(s))
	}
	return names
}

// sendToHubs sends a datagram to the other hubs.
func (g *Group) sendToHubs(k kind, body any) {
	var to []netip.AddrPort
	now := time.Now()
	g.mu.Lock()
	for _, name := range g.liveHubs(now) {
		if p := g.peers[name]; p != nil && p.addrPort.IsValid() {
			to = append(to, p.addrPort)
		}
	}
	g.mu.Unlock()
	g.send(k, body, to...)
}
