package main

import (
	"bytes"
	_ "embed"
	"fmt"
	"math"
	"strings"
	"text/template"
	"unsafe"

	"github.com/jacinthnotch/jacinthnotch/domain/partition"
)

//go:embed page.md.tmpl
var pageText string

const (
	day    = 86400.0
	kilo   = 1e3
	mega   = 1e6
	giga   = 1e9
	micros = 1e-6
	// snapshotBytes is the value of partition.SnapshotIntervalBytes, after which a snapshot
	// is due.
	snapshotBytes = 64 << 20
	// resultAppends is the maximum number of appends per second for the results of one
	// partition, whose owner batches them for a second (node/owner).
	resultAppends = 1.0
	// pushDelay is the time for which node/director batches results, in seconds.
	pushDelay = 0.05
	// auditAppends is the fleet's budget of audit appends per second: the default of the
	// configuration key audit_appends_per_s.
	auditAppends = 5.0
	// auditBuffer is the maximum size of the audit entries that wait to be appended, in
	// bytes.
	auditBuffer = 4 << 20
	// listReads is the number of reads of the platform's list per second by one instance:
	// node/members and node/servers each read it once.
	listReads = 2
	// pollWait is the maximum duration of a waiting read of a stream, in seconds, and
	// pollBytes the traffic of a read that returns nothing, in bytes.
	pollWait  = 20.0
	pollBytes = 500.0
	// streams is the number of streams that every instance reads: config and control.
	streams = 2
)

// Line is one figure of a role at the planned size.
type Line struct {
	What, Formula, Value, Package string
}

// BudgetLine is one line of the control budget of an instance. CPU and Bytes are per
// second.
type BudgetLine struct {
	What               string
	CPU, Memory, Bytes float64
}

// PartitionCost is the cost of the partitions for one number of partitions. Items, Memory
// and Replay are per partition.
type PartitionCost struct {
	Partitions                             int
	Appends, Items, Memory, Replay, Owners float64
}

// page is the data of the template.
type page struct {
	*Figures
	Size                    any
	Assumed                 any
	Roles                   []Role
	Budgets                 []BudgetLine
	Sum, Limit              BudgetLine
	Appends                 []Line
	AppendSum, AppendFactor float64
	Traffic                 []Line
	Partitions              []PartitionCost
	D                       derived
}

// Role is a role of an instance with its figures.
type Role struct {
	Name, State string
	Lines       []Line
}

// derived holds the computed figures that the text of the page mentions.
type derived struct {
	ItemsPerS, Copies, UncompressedPerS, CompressedPerS, Retained float64
	OwnerMemory, CallMemory, ItemMemory                           float64
	CallsPerS, LoadFactor, BytesFactor, CPUFactor                 float64
	MemoryFactor, Ratio, Replay, JobSnapshot                      float64
	TokenCPU, EntryCPU, ListBytes, ListCPU, ConfigHeadSpread      float64
	FullReload, LogMax, PeersMax, LoadBytes, LoadCPU              float64
	CompressInput, CompressResult, MemberBytes, Notice            float64
	CallSnapshot, SnapshotRecords, SnapshotsPerS, SnapshotTraffic float64
	UnbatchedResultMemory, CallReplay, PushRate                   float64
	RestartBytes, ResultPushes, OwnerCPU, SnapshotAppend          float64
}

// last returns the last element, or the zero value of an empty list.
func last[T any](list []T) T {
	var zero T
	if len(list) == 0 {
		return zero
	}
	return list[len(list)-1]
}

// fitOf fits a line to two figures of the rows.
func fitOf[T any](rows []T, x, y func(T) float64) Fit {
	var xs, ys []float64
	for _, r := range rows {
		xs, ys = append(xs, x(r)), append(ys, y(r))
	}
	return leastSquares(xs, ys)
}

// copies returns how often an entry is rewritten before its retention ends. Entries older
// than half of the log's retention are rewritten.
func copies(retentionDays, jobHours, logDays float64) float64 {
	return max(0, math.Ceil((retentionDays+jobHours/24)/(logDays/2))-1)
}

// partitionsAt computes the cost of the partitions if there are p.
func (f *Figures) partitionsAt(p int) PartitionCost {
	a := assumptions
	n := float64(p)
	items := targetSize.Items * (a.RetentionDays + a.JobHours/24) / n
	calls := targetSize.Requests * a.Keyed * day * a.CallHours / 24 / n
	memoryFit := fitOf(f.States, func(r StateRow) float64 { return float64(r.Items) }, func(r StateRow) float64 { return r.Memory })
	snapshotFit := fitOf(f.States, func(r StateRow) float64 { return float64(r.Items) }, func(r StateRow) float64 { return r.SnapBytes })
	replaySecondsPerByte := 0.0
	if l := last(f.States); l.LogBytes > 0 {
		replaySecondsPerByte = l.Replay / l.LogBytes
	}
	return PartitionCost{Partitions: p, Items: items, Owners: min(n, float64(targetSize.Instances)),
		Appends: resultAppends * min(n, targetSize.Items/day), Memory: memoryFit.Slope*items + f.CallBytes*calls,
		Replay: (snapshotBytes+snapshotFit.Slope*items)*replaySecondsPerByte + f.CallSnapReplay*calls + (snapshotBytes+snapshotFit.Slope*items+f.CallSnapBytes*calls)/a.Link}
}

// newPage computes the data of the page from the figures.
func newPage(f *Figures) *page {
	p := &page{Figures: f, Size: targetSize, Assumed: assumptions}
	p.roles()
	p.budget()
	p.logLoad()
	for _, n := range []int{32, 64, 128, 256} {
		p.Partitions = append(p.Partitions, f.partitionsAt(n))
	}
	return p
}

// roles computes the figures of each role at the planned size.
func (p *page) roles() {
	n, a, d := float64(targetSize.Instances), assumptions, &p.D
	var streamed []EntryRow
	for _, r := range p.Entry {
		if r.Stream {
			streamed = append(streamed, r)
		}
	}
	entryFit := fitOf(streamed, func(r EntryRow) float64 { return float64(r.Tokens) }, func(r EntryRow) float64 { return r.CPU })
	routeFit := fitOf(p.Routes, func(r RouteRow) float64 { return float64(r.Servers) }, func(r RouteRow) float64 { return r.Cycle })
	used := float64(last(p.Loads).Used)
	req, tok := targetSize.Requests/n, targetSize.Tokens/n
	open := targetSize.Tokens * targetSize.TokenGap / n
	d.TokenCPU, d.EntryCPU = entryFit.Slope, req*max(0, entryFit.Base)+tok*entryFit.Slope
	p.Roles = append(p.Roles, Role{Name: "Caller entry", State: "open requests and streams, a bounded buffer of answers to be recorded", Lines: []Line{
		{"requests", fmt.Sprintf("%.0f / %.0f", targetSize.Requests, n), num(req) + " /s", "node/entry"},
		{"tokens passed on", fmt.Sprintf("%.0f / %.0f", targetSize.Tokens, n), num(tok) + " /s", "node/inference, node/entry"},
		{"processor time, streamed", fmt.Sprintf("%s /s x %s + %s /s x %s", num(req), sec(max(0, entryFit.Base)), num(tok), sec(entryFit.Slope)), cores(d.EntryCPU), "node/entry, node/client"},
		{"routing", fmt.Sprintf("%s /s x %s at %.0f servers", num(req), sec(routeFit.At(used)), used), cores(req * routeFit.At(used)), "policy/route"},
		{"open streams", fmt.Sprintf("%.0f /s x %.3f s / %.0f", targetSize.Tokens, targetSize.TokenGap, n), num(open), "node/entry"},
		{"memory of open streams", fmt.Sprintf("%s x %s", num(open), bytesOf(p.StreamBytes)), bytesOf(open * p.StreamBytes), "node/entry, node/inference"},
	}})
	d.ItemsPerS = targetSize.Items / day
	parts := float64(targetSize.Partitions)
	item, planned := last(p.Items), p.partitionsAt(targetSize.Partitions)
	d.OwnerCPU = d.ItemsPerS / parts * (item.CPU + item.UploadCPU)
	d.CallsPerS = targetSize.Requests * a.Keyed
	calls := d.CallsPerS * day * a.CallHours / 24 / parts
	d.CallMemory, d.OwnerMemory, d.Replay = calls*p.CallBytes, planned.Memory, planned.Replay
	d.ItemMemory = d.OwnerMemory - d.CallMemory
	d.UnbatchedResultMemory = planned.Items * float64(unsafe.Sizeof(partition.Range{}))
	d.CallReplay = calls * p.CallSnapReplay
	callCPU := 0.0 // the most expensive load, because at a low rate calls do not share appends
	for _, r := range p.Calls {
		callCPU = max(callCPU, r.CPU)
	}
	p.Roles = append(p.Roles, Role{Name: "Partition owner (one of 64 partitions)", State: "index of calls, files, jobs and results by offset; leases; a bounded cache of records", Lines: []Line{
		{"items", fmt.Sprintf("%.0f / 86,400 s / %.0f", targetSize.Items, parts), num(d.ItemsPerS/parts) + " /s", "domain/partition"},
		{"processor time of items", fmt.Sprintf("%s /s x (%s + %s upload)", num(d.ItemsPerS/parts), sec(item.CPU), sec(item.UploadCPU)), cores(d.OwnerCPU), "node/owner, domain/record"},
		{"processor time of keyed calls", fmt.Sprintf("%s /s x %s", num(d.CallsPerS/parts), sec(callCPU)), cores(d.CallsPerS / parts * callCPU), "node/owner, node/store"},
		{"items kept", fmt.Sprintf("%.0f x (%.0f d + %.0f h) / %.0f", targetSize.Items, a.RetentionDays, a.JobHours, parts), num(planned.Items), "domain/partition"},
		{"memory of items kept", fmt.Sprintf("%s x slope of the state", num(planned.Items)), bytesOf(d.ItemMemory), "domain/partition"},
		{"memory of calls kept", fmt.Sprintf("%s x %s", num(calls), bytesOf(p.CallBytes)), bytesOf(d.CallMemory), "domain/partition"},
		{"takeover, replay and reading", "(64 MiB + snapshot) x (replay slope + 1 / link)", sec(planned.Replay), "domain/partition, node/owner"},
	}})
	directorFit := fitOf(p.Director, func(r DirectorRow) float64 { return float64(r.Tokens) }, func(r DirectorRow) float64 { return r.CPU })
	perItem := directorFit.At(a.ItemTokens)
	directed, instanceItemRate := float64(targetSize.Servers)/n, d.ItemsPerS/n
	row := last(p.Director)
	d.ResultPushes, d.PushRate = d.ItemsPerS*row.Pushes, instanceItemRate*pushDelay
	p.Roles = append(p.Roles, Role{Name: "Batch director", State: "streams in flight with the tokens so far, items held ready, results on their way (at most 32 MiB)", Lines: []Line{
		{"servers directed", fmt.Sprintf("%d / %.0f", targetSize.Servers, n), num(directed), "node/members"},
		{"items", fmt.Sprintf("%s /s / %.0f", num(d.ItemsPerS), n), num(instanceItemRate) + " /s", "node/director"},
		{"processor time, stand-in engine included", fmt.Sprintf("%s /s x %s at %.0f tokens", num(instanceItemRate), sec(perItem), a.ItemTokens), cores(instanceItemRate * perItem), "node/director, node/client"},
		{"messages to owners", fmt.Sprintf("%s /s x (%s pulls + %s pushes)", num(instanceItemRate), num(row.Pulls), num(row.Pushes)), num(instanceItemRate*(row.Pulls+row.Pushes)) + " /s", "node/director, node/peer"},
	}})
	plan := last(p.Plans)
	p.Roles = append(p.Roles, Role{Name: "Placement owner (of a service with all 740 servers)", State: "state read back from each engine, orders under way", Lines: []Line{
		{"planning", "1 /s x " + sec(plan.Plan), cores(plan.Plan), "domain/placement"},
		{"memory", fmt.Sprintf("at %d servers", plan.Servers), bytesOf(plan.Memory), "domain/placement"},
	}})
	doc := last(p.Documents)
	p.Roles = append(p.Roles, Role{Name: "Configuration follower", State: "the document with its history of sections", Lines: []Line{
		{"changes", fmt.Sprintf("%.0f / 86,400 s", targetSize.Changes), num(targetSize.Changes/day) + " /s", "node/follower"},
		{"processor time", fmt.Sprintf("%s /s x %s", num(targetSize.Changes/day), sec(doc.Apply)), cores(targetSize.Changes / day * doc.Apply), "domain/config"},
		{"memory", fmt.Sprintf("document of %s", bytesOf(doc.Bytes)), bytesOf(doc.Mem), "domain/config"},
	}})
	mem, head := last(p.Members), last(p.Members).Head
	d.MemberBytes, d.Notice, d.ConfigHeadSpread = mem.Bytes, mem.Notice, head
	p.Roles = append(p.Roles, Role{Name: "Member", State: "one entry a member, updates to be told, backlogs", Lines: []Line{
		{"traffic", fmt.Sprintf("measured at %d members", mem.Members), bytesOf(mem.Bytes) + "/s", "domain/member, node/members"},
		{"processor time of the table", fmt.Sprintf("measured at %d members", mem.Members), cores(mem.CPU), "domain/member"},
		{"memory", fmt.Sprintf("measured at %d members", mem.Members), bytesOf(mem.Memory), "domain/member"},
		{"loss noticed by the first / last member", "measured, mean and slowest", sec(mem.Notice) + " / " + sec(mem.Slowest), "domain/member"},
	}})
	audit := p.auditRow()
	entries := (a.AuditEntries + targetSize.Changes) / day / n
	p.Roles = append(p.Roles, Role{Name: "Auditor", State: "entries that wait (at most 8,192 or 4 MiB)", Lines: []Line{
		{"entries", fmt.Sprintf("(%.0f + %.0f) / 86,400 s / %.0f", a.AuditEntries, targetSize.Changes, n), num(entries) + " /s", "node/auditor"},
		{"bytes on the log, fleet", fmt.Sprintf("%s /s x %s", num(entries*n), bytesOf(audit.Bytes)), bytesOf(entries*n*audit.Bytes) + "/s", "domain/audit"},
		{"appends, fleet", "the budget of the configuration", fmt.Sprintf("at most %.0f /s", auditAppends), "domain/audit"},
	}})
}

// auditRow returns the cost of an entry that has an append of its own.
func (p *page) auditRow() AuditRow {
	if len(p.Audit) == 0 {
		return AuditRow{}
	}
	return p.Audit[0]
}

// budget computes the control budget of one instance.
func (p *page) budget() {
	n, a, d := float64(targetSize.Instances), assumptions, &p.D
	mem, doc, load, list, audit := last(p.Members), last(p.Documents), last(p.Loads), last(p.Listing), p.auditRow()
	d.ListBytes, d.ListCPU = listReads*list.Bytes, listReads*list.CPU
	d.LoadBytes, d.LoadCPU = load.Bytes, load.CPU
	changes, entries := targetSize.Changes/day, (a.AuditEntries+targetSize.Changes)/day/n

	add := func(what string, cpu, memory, bytes float64) {
		p.addControl(BudgetLine{what, cpu, memory, bytes})
	}
	add("membership (probes, gossip, backlogs)", last(p.Control).CPU, mem.Memory, mem.Bytes)
	add("configuration (changes, waiting reads of two streams)", changes*doc.Apply, doc.Mem, changes*(doc.EditBytes+pollBytes)+streams*pollBytes/pollWait)
	add("ownership heartbeats", 0, 0, 0)
	add("audit", entries*audit.CPU, auditBuffer, entries*(audit.Bytes+pollBytes))
	add("platform's list, read twice a second", d.ListCPU, 2*list.Bytes, d.ListBytes)
	var allPolled []LoadRow // rows without a subset, because the memory of a few servers is too small to measure
	for _, r := range p.Loads {
		if r.Used == r.Servers {
			allPolled = append(allPolled, r)
		}
	}
	memory := fitOf(allPolled, func(r LoadRow) float64 { return float64(r.Used) }, func(r LoadRow) float64 { return r.Memory })
	add(fmt.Sprintf("load, state and cache events of %d servers", load.Used), load.CPU, memory.Slope*float64(load.Used), load.Bytes)
	p.Limit = BudgetLine{"budget", targetSize.BudgetCPU, targetSize.BudgetMemory, targetSize.BudgetBytes}
	d.CPUFactor, d.MemoryFactor, d.BytesFactor = p.Sum.CPU/targetSize.BudgetCPU, p.Sum.Memory/targetSize.BudgetMemory, p.Sum.Bytes/targetSize.BudgetBytes
	d.LoadFactor = load.Bytes / targetSize.BudgetBytes
}

// addControl adds a line to the budget and to its sum.
func (p *page) addControl(b BudgetLine) {
	p.Budgets = append(p.Budgets, b)
	p.Sum.What = "sum"
	p.Sum.CPU, p.Sum.Memory, p.Sum.Bytes = p.Sum.CPU+b.CPU, p.Sum.Memory+b.Memory, p.Sum.Bytes+b.Bytes
}

// logLoad computes the appends and bytes on the platform's log.
func (p *page) logLoad() {
	a, d := assumptions, &p.D
	item, parts := last(p.Items), float64(targetSize.Partitions)
	d.Copies = copies(a.RetentionDays, a.JobHours, a.LogDays)
	uploads := d.ItemsPerS * item.UploadAppends
	results := min(resultAppends*parts, d.ItemsPerS)
	byBytes := d.ItemsPerS * item.Appends
	copied := d.Copies * (uploads + byBytes)
	keyed := d.CallsPerS * (1 + a.NonIdempotent)
	snapshotFit := fitOf(p.States, func(r StateRow) float64 { return float64(r.Items) }, func(r StateRow) float64 { return r.SnapBytes })
	recordsFit := fitOf(p.States, func(r StateRow) float64 { return float64(r.Items) }, func(r StateRow) float64 { return r.SnapRecords })
	calls := d.CallsPerS * day * a.CallHours / 24 / parts
	compressed := item.UploadFolded + item.Folded
	d.CompressedPerS = d.ItemsPerS * compressed * (1 + d.Copies)
	d.UncompressedPerS = d.ItemsPerS * (item.UploadBytes + item.LogBytes) * (1 + d.Copies)
	d.Retained = d.CompressedPerS * day * a.LogDays // not counting snapshots
	d.JobSnapshot = snapshotFit.Slope * p.partitionsAt(targetSize.Partitions).Items
	d.CallSnapshot = calls * p.CallSnapBytes
	d.SnapshotRecords = calls*p.CallSnapRecords + recordsFit.Slope*p.partitionsAt(targetSize.Partitions).Items
	d.SnapshotsPerS = d.CompressedPerS / snapshotBytes
	d.SnapshotAppend = d.SnapshotsPerS * max(1, d.SnapshotRecords)
	d.SnapshotTraffic = d.SnapshotsPerS * (d.JobSnapshot + d.CallSnapshot)
	if item.Folded > 0 {
		d.CompressInput, d.CompressResult = item.UploadBytes/item.UploadFolded, item.LogBytes/item.Folded
	}
	lines := []struct {
		what, formula, pkg string
		v                  float64
	}{
		{"results of items", fmt.Sprintf("%.0f partitions x %.0f /s (gathered for a second)", parts, resultAppends), "node/owner", results},
		{"input lines", fmt.Sprintf("%s items/s x %s", num(d.ItemsPerS), num(item.UploadAppends)), "node/owner", uploads},
		{"copies before expiry", fmt.Sprintf("%.0f x %s items/s x (%s + %s)", d.Copies, num(d.ItemsPerS), num(item.UploadAppends), num(item.Appends)), "node/owner", copied},
		{"snapshots", fmt.Sprintf("%s/s / 64 MiB x %s records", bytesOf(d.CompressedPerS), num(d.SnapshotRecords)), "domain/partition", d.SnapshotAppend},
		{"jobs and their keys", fmt.Sprintf("2 x %.0f / 86,400 s", targetSize.Jobs), "node/owner", 2 * targetSize.Jobs / day},
		{"keyed calls", fmt.Sprintf("%s /s x (1 + %.2f), at most one a 10 ms and partition", num(d.CallsPerS), a.NonIdempotent), "node/owner", keyed},
		{"audit", "budget of the configuration", "domain/audit", auditAppends},
		{"configuration", fmt.Sprintf("%.0f / 86,400 s", targetSize.Changes), "node/follower", targetSize.Changes / day},
	}
	for _, l := range lines {
		p.Appends = append(p.Appends, Line{l.what, l.formula, num(l.v), l.pkg})
		p.AppendSum += l.v
	}
	p.AppendFactor = p.AppendSum / a.Appends
	p.Traffic = []Line{
		{"before compression", fmt.Sprintf("%s items/s x (%s + %s) x %.0f", num(d.ItemsPerS), bytesOf(item.UploadBytes), bytesOf(item.LogBytes), 1+d.Copies), bytesOf(d.UncompressedPerS) + "/s", "domain/partition"},
		{"on the log (zstd)", fmt.Sprintf("%s items/s x (%s + %s) x %.0f", num(d.ItemsPerS), bytesOf(item.UploadFolded), bytesOf(item.Folded), 1+d.Copies), bytesOf(d.CompressedPerS) + "/s", "domain/record"},
		{"snapshots on the log", fmt.Sprintf("%s /s x (%s of jobs + %s of calls)", num(d.SnapshotsPerS), bytesOf(d.JobSnapshot), bytesOf(d.CallSnapshot)), bytesOf(d.SnapshotTraffic) + "/s", "domain/partition"},
		{"kept by the log", fmt.Sprintf("%s/s x 86,400 s x %.0f", bytesOf(d.CompressedPerS), a.LogDays), bytesOf(d.Retained), "platform"},
	}
}

// num formats a number, with decimals only below 100.
func num(x float64) string {
	switch a := math.Abs(x); {
	case a >= 1e6:
		return fmt.Sprintf("%.3g million", x/1e6)
	case a >= 100:
		return fmt.Sprintf("%.0f", x)
	case a >= 10:
		return fmt.Sprintf("%.1f", x)
	case a >= 1 || a == 0:
		return fmt.Sprintf("%.2f", x)
	default:
		return fmt.Sprintf("%.2g", x)
	}
}

// sec formats a time in seconds.
func sec(x float64) string {
	switch a := math.Abs(x); {
	case a >= 1:
		return fmt.Sprintf("%.2f s", x)
	case a >= 1e-3:
		return fmt.Sprintf("%.3g ms", x/1e-3)
	default:
		return fmt.Sprintf("%.3g us", x/micros)
	}
}

// bytesOf formats a number of bytes with a decimal unit.
func bytesOf(x float64) string {
	switch a := math.Abs(x); {
	case a >= 1e12:
		return fmt.Sprintf("%.3g TB", x/1e12)
	case a >= giga:
		return fmt.Sprintf("%.3g GB", x/giga)
	case a >= mega:
		return fmt.Sprintf("%.3g MB", x/mega)
	case a >= kilo:
		return fmt.Sprintf("%.3g kB", x/kilo)
	default:
		return fmt.Sprintf("%.3g B", x)
	}
}

// cores formats processor seconds per second as a percentage of a core.
func cores(x float64) string { return fmt.Sprintf("%.3g%% of a core", 100*x) }

func render(f *Figures) ([]byte, error) {
	t, err := template.New("page").Funcs(template.FuncMap{"num": num, "sec": sec, "size": bytesOf, "cores": cores,
		"percent": func(x float64) string { return fmt.Sprintf("%.3g%%", 100*x) },
		"kind": func(stream bool) string {
			if stream {
				return "streamed"
			}
			return "whole"
		},
		"strict": func(b bool) string {
			if b {
				return "non-idempotent"
			}
			return "idempotent"
		}}).Option("missingkey=error").Parse(pageText)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	if err := t.Execute(&b, newPage(f)); err != nil {
		return nil, err
	}
	return []byte(strings.TrimRight(b.String(), "\n") + "\n"), nil
}
