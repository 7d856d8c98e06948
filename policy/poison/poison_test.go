package poison

import (
	"testing"
	"time"
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// whole returns a request without parts that other requests share.
func whole(s Subject) Request { return Request{Whole: s} }

// Guards against a request that crashes more than MaxServers servers, a block that never
// ends, and one that does not return with the next crash.
func TestBlockedAfterMaxServers(t *testing.T) {
	tracker := NewTracker(0)
	for n := range uint32(MaxServers) {
		if tracker.Blocked(epoch, whole(1)) {
			t.Fatalf("blocked after %d servers", n)
		}
		if change := tracker.RecordBreak(epoch, whole(1), n); (len(change.Added) == 1) != (n == MaxServers-1) {
			t.Fatalf("server %d: %v", n, change)
		}
	}
	if tracker.Blocked(epoch, whole(2)) {
		t.Fatal("a request that never broke is blocked")
	}
	now := epoch
	for duration := time.Duration(minBlock); duration <= maxBlock; duration *= 2 {
		if !tracker.Blocked(now.Add(duration-1), whole(1)) || tracker.Blocked(now.Add(duration), whole(1)) {
			t.Fatalf("not blocked for exactly %s", duration)
		}
		now = now.Add(duration + time.Second)
		if change := tracker.RecordBreak(now, whole(1), uint32(duration)); len(change.Added) != 1 {
			t.Fatal("a crash after the end of the block does not renew it")
		}
	}
}

// Guards against harmless requests being blocked: those that fail repeatedly on one faulty
// server, and those that have been answered.
func TestHarmlessRequestsAreNotBlocked(t *testing.T) {
	tracker := NewTracker(0)
	for range 10 {
		tracker.RecordBreak(epoch, whole(1), 7)
	}
	if tracker.Blocked(epoch, whole(1)) {
		t.Fatal("blocked after failures on one server")
	}
	for n := range uint32(10) {
		tracker.RecordBreak(epoch, whole(2), n)
	}
	if change, _ := tracker.RecordAnswer(epoch, whole(2)); len(change.Cleared) != 1 || tracker.Blocked(epoch, whole(2)) {
		t.Fatalf("blocked although it was answered: %v", change)
	}
}

// Guards against a tracker that grows with every request.
func TestTrackerIsBounded(t *testing.T) {
	tracker := NewTracker(0)
	tracker.Adopt(epoch, Block{Subjects: []Subject{1}, Duration: minBlock, Until: epoch.Add(minBlock)})
	for s := range Subject(maxRequests + maxAnswers + 100) {
		tracker.RecordBreak(epoch, Request{Whole: s + 10, Parts: []Subject{2*s + 1<<40}}, uint32(s))
		tracker.RecordAnswer(epoch, Request{Parts: []Subject{2*s + 1<<41}})
		tracker.Watch(epoch, s)
	}
	if n := len(tracker.answers.current) + len(tracker.answers.previous); n > maxAnswers || len(tracker.requests) > maxRequests || len(tracker.watched) > maxWatched {
		t.Fatalf("%d answers, %d requests and %d watched subjects kept", n, len(tracker.requests), len(tracker.watched))
	}
	if !tracker.Blocked(epoch, whole(1)) {
		t.Fatal("a block was evicted")
	}
}

// The parts of the requests in the tests of blame.
const (
	system Subject = iota + 100
	shared
	deadly
	other
)

// Guards against sound requests being blamed for a part that they share with requests that
// crash servers, when nothing but the crashes tells the parts apart, and against the wrong
// part staying blocked once further crashes or an answer do.
func TestOnlyTheCommonSetIsBlocked(t *testing.T) {
	all, sound := Request{Whole: 50, Parts: []Subject{system, shared, deadly}}, Request{Whole: 51, Parts: []Subject{system, shared}}
	withOtherParts := Request{Whole: 52, Parts: []Subject{other, deadly}}
	for _, byAnswer := range []bool{true, false} {
		tracker, now, server := NewTracker(0), epoch, uint32(0)
		crash := func(r Request) {
			now, server = now.Add(time.Second), server+1
			tracker.RecordBreak(now, r, server)
		}
		tracker.RecordAnswer(now, Request{Parts: []Subject{system}})
		for n := range Subject(3) {
			crash(Request{Whole: n, Parts: all.Parts})
		}
		if !tracker.Blocked(now, all) || tracker.Blocked(now, sound) || tracker.Blocked(now, withOtherParts) {
			t.Fatal("the set of parts is not blocked, or requests with one of them are")
		}
		if byAnswer {
			if change, reportable := tracker.RecordAnswer(now, sound); len(change.Cleared) != 1 || len(reportable) != 1 {
				t.Fatalf("an answer does not clear the other part: %v, %v", change, reportable)
			}
		} else {
			crash(withOtherParts)
			crash(withOtherParts)
		}
		if !tracker.Blocked(now, all) || !tracker.Blocked(now, withOtherParts) || tracker.Blocked(now, sound) {
			t.Fatal("the wrong part is blocked")
		}
	}
}

// Guards against requests being blocked because they were on servers that others crashed.
func TestExplainedCrashesDoNotCount(t *testing.T) {
	tracker, now := NewTracker(0), epoch
	bystander := Request{Whole: 50, Parts: []Subject{other}}
	for n := range uint32(6) {
		now = now.Add(time.Second)
		tracker.RecordBreak(now, bystander, n)
		tracker.RecordBreak(now, Request{Whole: Subject(n), Parts: []Subject{deadly}}, n)
	}
	if tracker.Blocked(now, bystander) || tracker.Blocked(now, Request{Whole: 51, Parts: []Subject{other}}) || !tracker.Blocked(now, Request{Parts: []Subject{deadly}}) {
		t.Fatal("a bystander is blocked, or the cause is not")
	}
}

// Guards against a loss of power of many servers, which breaks many requests with a new part at
// once, being blamed on the part.
func TestCommonCauseIsNotBlamed(t *testing.T) {
	tracker := NewTracker(0)
	for n := range uint32(40) {
		tracker.RecordBreak(epoch.Add(time.Duration(n)*sameMoment/50), Request{Whole: Subject(n), Parts: []Subject{other}}, n)
	}
	if tracker.Blocked(epoch, Request{Parts: []Subject{other}}) {
		t.Fatal("one moment suffices")
	}
}

// Guards against a block that two hubs keep alive by repeating it to each other.
func TestAdoptedBlocksEnd(t *testing.T) {
	a, b := NewTracker(0), NewTracker(0)
	a.Adopt(epoch, Block{Subjects: []Subject{deadly}, Duration: minBlock, Until: epoch.Add(minBlock)})
	now := epoch
	for ; now.Sub(epoch) < 2*minBlock; now = now.Add(500 * time.Millisecond) {
		for _, pair := range [][2]*Tracker{{a, b}, {b, a}} {
			for _, block := range pair[0].Blocks(now, maxBlocks) {
				pair[1].Adopt(now.Add(3*time.Millisecond), block)
			}
		}
	}
	if r := (Request{Parts: []Subject{deadly}}); a.Blocked(now, r) || b.Blocked(now, r) {
		t.Fatal("still blocked")
	}
}
