// Package poison finds out what crashes servers (queries of death) and blocks it before it
// reaches more of them.
//
// Each run that breaks with its server is evidence against the request and, if its response had
// only begun, against the parts of its prompt. What may be blamed is decided on evidence:
//   - A complete answer shows that a request and all parts of its prompt crash no server.
//     A part is not blamed for AnswerTTL after an answer.
//   - A request is blocked after it broke on MaxServers servers.
//   - A part is blamed when several different requests that hold it broke. What is blocked
//     then is the set of all parts that these requests have in common and that no answer
//     speaks for: only requests that hold the whole set are blocked. The others run, and
//     their answers and crashes show which part of the set it is.
//   - Nothing is blamed for crashes that something else explains as well.
//   - A crash under a request that is blocked by its parts is explained, and no longer counts
//     against the other requests on that server.
//
// A block ends after a while. The next crash under such a request renews it for twice as
// long, and a complete answer ends it for good.
//
// The package does no I/O and reads no clock. A Tracker is not safe for concurrent use.
//
// node/serve is built on this package; node/instance uses package suspect instead, which
// isolates the requests that may have caused a crash.
package poison

import (
	"slices"
	"time"
)

const (
	// MaxServers is the number of servers on which a request may break before it is blocked.
	// The requirements allow three retries after the third crash.
	MaxServers = 3
	// EvidenceTTL is how long a broken run counts. Callers resend a request that crashes
	// servers within minutes.
	EvidenceTTL = 5 * time.Minute
	// AnswerTTL is how long an answer speaks for a part. It is limited because a part may
	// begin to crash servers when their software changes.
	AnswerTTL = time.Minute
	// maxServersInDoubt is the number of servers from which a request or a part is blamed even
	// if something else explains their crashes as well.
	maxServersInDoubt = 5
	// A part is blamed if minRequests different requests with it broke, on MaxServers servers
	// in all. One that belongs to a blocked set is blamed without the rest of the set after
	// minUnexplained crashes that the set does not explain.
	minRequests    = 2
	minUnexplained = 2
	// minUnshared is the number of crashes by which what is blamed must explain more than any
	// other subject.
	minUnshared = 2
	// Crashes within sameMoment of each other count as one: servers that fail together have
	// a common cause, such as a loss of power. minMoments such moments are needed.
	sameMoment = 20 * time.Millisecond
	minMoments = 3
	// minBlock and maxBlock bound the time for which a block lasts.
	minBlock = time.Minute
	maxBlock = 16 * time.Minute
	// probation is the time after the end of a block, in terms of its duration, in which one
	// crash renews it. It includes the time by which the instances' ends differ.
	probation = 4
	// adoptMargin is the difference between the ends of a block at two instances up to which
	// they count as the same.
	adoptMargin = 2 * time.Second
	// watchTTL is how long answers for a part are reported after a hub asked for them.
	watchTTL = 10 * time.Second
	// maxRequests, maxBlocks and maxWatched limit what is kept. The entry updated least
	// recently is evicted first.
	maxRequests = 1024
	maxBlocks   = 256
	maxWatched  = 1024
)

// Subject is the hash of something that may crash servers: a request without its ID, or a
// part of a prompt.
type Subject uint64

// Request is what may be blamed of one request.
type Request struct {
	// Whole identifies requests that differ only in their IDs.
	Whole Subject
	// Parts are the parts of the prompt that other requests may share.
	Parts []Subject
}

func (r Request) holds(s Subject) bool { return r.Whole == s || slices.Contains(r.Parts, s) }

// Block blocks the requests that hold all of its subjects.
type Block struct {
	Subjects []Subject
	// Duration is how long the block lasts, and Until its end.
	Duration time.Duration
	Until    time.Time
}

func (b *Block) covers(r Request) bool {
	for _, s := range b.Subjects {
		if !r.holds(s) {
			return false
		}
	}
	return true
}

// Change is how the blocks have changed.
type Change struct {
	// Added are blocks that are new or were renewed.
	Added []Block
	// Released are the subjects of blocks that ended because another one explains the crashes.
	Released [][]Subject
	// Cleared are subjects that were blocked and for which an answer speaks.
	Cleared []Subject
}

// Empty reports whether nothing has changed.
func (c Change) Empty() bool { return len(c.Added) == 0 && len(c.Released) == 0 && len(c.Cleared) == 0 }
