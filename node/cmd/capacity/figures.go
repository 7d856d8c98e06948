package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// Figures are the results of one run. Times are in seconds and sizes in bytes. The names
// of its fields and of those of the rows are the keys of the JSON file that --figures
// writes and --from reads.
type Figures struct {
	Date    string
	Go      string
	Cores   int
	Quick   bool
	Seconds float64  // wall time of the run
	Failed  []string // names of the parts that failed and whose figures are missing

	Members     []MemberRow
	Control     []ControlRow
	Listing     []ListingRow
	Loads       []LoadRow
	Routes      []RouteRow
	Entry       []EntryRow
	StreamBytes float64 // memory of one open stream in an instance
	Items       []ItemRow
	States      []StateRow
	Calls       []CallRow
	CallBytes   float64 // memory of one finished keyed call at its owner
	// CallSnapBytes and CallSnapRecords are the share of one call in a snapshot on the
	// log, and CallSnapReplay is the processor time to replay that share.
	CallSnapBytes, CallSnapRecords, CallSnapReplay float64
	Director                                       []DirectorRow
	Plans                                          []PlanRow
	Documents                                      []DocumentRow
	Audit                                          []AuditRow
}

// MemberRow is a fleet of membership tables in virtual time. Bytes and CPU are per member
// and second of virtual time, Memory is per member, and the other times are virtual.
type MemberRow struct {
	Members int
	// Notice is the mean time until the first member detects a death, and Slowest the
	// longest time until the last one does.
	Bytes, CPU, Memory, Notice, Slowest float64
	// Head is the longest time until all members know of a new configuration revision.
	Head float64
}

// ControlRow is a fleet that runs its membership and configuration components on loopback.
// Bytes and CPU are per instance and second.
type ControlRow struct {
	Instances  int
	Bytes, CPU float64
	// The times until an edit is in force on all instances: from the log, or from peers
	// when only one instance can reach the log.
	LogMean, LogMax, PeersMean, PeersMax float64
}

// ListingRow is the cost of one read of the platform's list.
type ListingRow struct {
	Instances, Servers int
	Bytes, CPU         float64
}

// LoadRow is the cost of polling servers by one instance for a second. Used is the number
// of servers that it polls, Directed the number of those that it directs.
type LoadRow struct {
	Servers, Used, Directed int
	Reads, Bytes, CPU       float64
	Memory                  float64
}

// RouteRow holds the processor time of routing among the servers of one service: of a
// decision alone (Pick), of a decision with the dispatch and the end of the request
// (Cycle), and of choosing the instance's subset of the servers (Subset).
type RouteRow struct {
	Servers             int
	Pick, Cycle, Subset float64
}

// EntryRow is one request with a number of generated tokens. CPU is that of the instance
// alone, without the stand-in engines.
type EntryRow struct {
	Stream bool
	Tokens int
	CPU    float64
}

// ItemRow is a job that a partition owner serves. Figures are per item: those of the
// upload, and those of leases and results. LogBytes and UploadBytes are the bytes on the
// log before compression, Folded and UploadFolded after it.
type ItemRow struct {
	Items                          int
	CPU, Appends, LogBytes, Folded float64
	UploadCPU, UploadAppends       float64
	UploadBytes, UploadFolded      float64
}

// StateRow is the partition state of one job with all its results. LogBytes is the size on
// the log after compression, Replay the processor time to apply these records. SnapMake is
// the time to write a snapshot, SnapReplay the time to apply it, and ReadPage the time to
// decode one record.
type StateRow struct {
	Items                          int
	Records                        int
	LogBytes, Replay, Memory       float64
	SnapBytes, SnapRecords         float64
	SnapMake, SnapReplay, ReadPage float64
}

// CallRow is a load of keyed calls on one partition. Calls is the number of concurrent
// callers; the other figures are per call. LogBytes is the size on the log before
// compression, Folded after it.
type CallRow struct {
	NonIdempotent                  bool
	Calls                          int
	CPU, Appends, LogBytes, Folded float64
}

// DirectorRow is a job that a batch director runs. CPU, Pulls and Pushes are per item; Per
// is the number of items per second.
type DirectorRow struct {
	Items, Tokens           int
	CPU, Pulls, Pushes, Per float64
}

// PlanRow holds the processor time of one planning round over the servers of a service,
// and the memory of the planner.
type PlanRow struct {
	Servers      int
	Plan, Memory float64
}

// DocumentRow is a configuration document. Bytes is its size as text and Folded its size on
// the log. Parse and Apply are the processor times of validating it and of applying an
// edit. Mem is the memory of a replica and EditBytes the size of an edit on the log.
type DocumentRow struct {
	Workspaces                       int
	Bytes, Folded, Parse, Apply, Mem float64
	EditBytes                        float64
}

// AuditRow is a batch of audit entries. Bytes, Appends and CPU are per entry.
type AuditRow struct {
	Entries        int
	Bytes, Appends float64
	CPU            float64
}

// measure runs all parts. A part that fails is listed in Figures.Failed, and the others
// run nevertheless.
func measure(quick bool) *Figures {
	began := time.Now()
	f := &Figures{Date: began.UTC().Format("2 January 2006, 15:04 UTC"), Go: runtime.Version(), Cores: runtime.NumCPU(), Quick: quick}
	parts := []struct {
		name string
		run  func(*Figures, bool) error
	}{
		{"membership in virtual time", measureMembers}, {"routing", measureRoutes}, {"placement", measurePlans},
		{"configuration documents", measureDocuments}, {"audit", measureAudit}, {"partition states", measureStates},
		{"partition owner, items", measureItems}, {"partition owner, calls", measureCalls},
		{"listing", measureListing}, {"load reports", measureLoads}, {"caller entry", measureEntry},
		{"batch director", measureDirector}, {"membership and configuration on loopback", measureControl},
	}
	for _, p := range parts {
		at := time.Now()
		if err := p.run(f, quick); err != nil {
			f.Failed = append(f.Failed, p.name)
			fmt.Fprintf(os.Stderr, "%s: %v\n", p.name, err)
		}
		fmt.Fprintf(os.Stderr, "%-45s %6.1f s\n", p.name, time.Since(at).Seconds())
	}
	f.Seconds = time.Since(began).Seconds()
	return f
}
