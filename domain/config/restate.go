package config

import (
	"fmt"
	"sort"

	"github.com/pelletier/go-toml/v2"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	// maxPending limits the records that a replica keeps while it waits for a
	// restatement. Beyond it, the replica drops them and starts at a later offset.
	maxPending = 65536
	// maxPartialRestatements limits the unfinished restatements that are tracked. A
	// writer that stops in the middle of a restatement never finishes it.
	maxPartialRestatements = 16
	// restateThreshold is the share of the log's retention after which a section is due
	// for a restatement.
	restateThreshold = 0.5
)

// partialRestatement is a writer's restatement of which the end has not been read yet.
type partialRestatement struct {
	beginOffset int64
	sections    []Section
}

// trackRestatements adds a record to the unfinished restatements. If the record ends one,
// it updates the times at which the sections were last written, and returns the
// restatement's base and sections with ok set.
func (rep *Replica) trackRestatements(r streamRecord) (base int64, complete []Section, ok bool) {
	for _, e := range r.entries {
		switch k := e.Kind.(type) {
		case *recordpb.Entry_SnapshotBegin:
			rep.beginRestatement(r)
		case *recordpb.Entry_ConfigRevision:
			rev := k.ConfigRevision
			if rev.OriginalRevision == 0 {
				continue
			}
			if p := rep.restatements[r.writer]; p != nil {
				p.sections = append(p.sections, Section{Name: rev.Section, Record: originalRevision(rev), Revision: rev.OriginalRevision, WrittenMs: e.AtMs})
			}
		case *recordpb.Entry_SnapshotEnd:
			if p := rep.restatements[r.writer]; p != nil {
				base, complete, ok = k.SnapshotEnd.Base, p.sections, true
				rep.counters.Restated++
				delete(rep.restatements, r.writer)
				rep.updateWrittenMs(complete)
			}
		}
	}
	return base, complete, ok
}

func (rep *Replica) beginRestatement(r streamRecord) {
	if len(rep.restatements) >= maxPartialRestatements {
		oldest := ""
		for w, p := range rep.restatements {
			if oldest == "" || p.beginOffset < rep.restatements[oldest].beginOffset {
				oldest = w
			}
		}
		delete(rep.restatements, oldest)
	}
	rep.restatements[r.writer] = &partialRestatement{beginOffset: r.offset}
}

func (rep *Replica) updateWrittenMs(sections []Section) {
	for _, s := range sections {
		if cur := rep.sections[s.Name]; cur != nil && cur.Revision == s.Revision && s.WrittenMs > cur.WrittenMs {
			// A Section is replaced and never modified, because clones of the map share it.
			c := *cur
			c.WrittenMs = s.WrittenMs
			rep.sections[s.Name] = &c
		}
	}
}

// originalRevision returns the edit as it was accepted, without the field that marks it as
// restated.
func originalRevision(r *recordpb.ConfigRevision) *recordpb.ConfigRevision {
	c := proto.Clone(r).(*recordpb.ConfigRevision)
	c.OriginalRevision = 0
	return c
}

// applyAwaitingRestatement keeps the record until a restatement ends whose base is not
// before pendingStart. It then merges the restatement and evaluates the kept records after
// the base.
func (rep *Replica) applyAwaitingRestatement(r streamRecord) []Decision {
	rep.pending = append(rep.pending, r)
	base, complete, ok := rep.trackRestatements(r)
	if !ok || base < rep.pendingStart {
		if len(rep.pending) > maxPending {
			rep.pendingStart, rep.pending = r.offset+1, nil
		}
		return nil
	}
	if err := rep.mergeSections(complete, base); err != nil {
		return nil
	}
	return rep.replayPending()
}

// replayPending evaluates the kept records that the merged document does not reflect.
func (rep *Replica) replayPending() []Decision {
	kept := rep.pending
	rep.pending, rep.awaitsRestatement = nil, false
	var decisions []Decision
	for _, r := range kept {
		if r.offset >= rep.nextOffset {
			decisions = append(decisions, rep.apply(r)...)
		}
	}
	return decisions
}

// mergeSections replaces the sections of which a newer revision is given. The given
// sections are those in force at offset next of the stream. The replica is unchanged if
// the resulting document is not valid or of an unsupported format.
func (rep *Replica) mergeSections(sections []Section, next int64) error {
	all := make(map[string]*Section, len(rep.sections))
	for n, s := range rep.sections {
		all[n] = s
	}
	head := rep.headRevision
	for _, s := range sections {
		if cur := all[s.Name]; cur == nil || s.Revision > cur.Revision {
			all[s.Name] = &s
		}
		head = max(head, s.Revision)
	}
	format := rep.doc.Fleet.Format
	if s := all["fleet"]; s != nil && !s.Record.Removed {
		format = peekFormat(s.Record.Content, format)
	}
	if format > rep.supported {
		return &UnsupportedFormatError{Format: format, Supported: rep.supported}
	}
	parsed := make(map[string]*parsedSection, len(all))
	for n, s := range all {
		if s.Record.Removed {
			continue
		}
		if cur := rep.sections[n]; cur == s {
			parsed[n] = rep.parsed[n]
			continue
		}
		p, problems := parseSection(n, s.Record.Content, format)
		if len(problems) > 0 {
			return &InvalidError{Problems: problems}
		}
		parsed[n] = p
	}
	doc := buildDocument(parsed)
	if problems := checkReferences(doc, parsed); len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	doc.Revision = head
	rep.sections, rep.parsed, rep.headRevision, rep.hasDocument = all, parsed, head, true
	rep.nextOffset = max(rep.nextOffset, next)
	rep.setDocument(doc)
	return nil
}

// peekFormat returns the format of a [fleet] section without checking its other keys,
// which may belong to an unsupported version, or fallback if there is none.
func peekFormat(content string, fallback int) int {
	var peek struct {
		Fleet struct {
			Format int `toml:"format"`
		} `toml:"fleet"`
	}
	if toml.Unmarshal([]byte(content), &peek) != nil || peek.Fleet.Format < 1 {
		return fallback
	}
	return peek.Fleet.Format
}

// Merge merges a peer's response to a fetch of the sections after this replica's
// HeadRevision. It replaces only sections of which the response has a newer revision, and
// the response of a peer that is behind has no effect. It returns an *InvalidError if the
// resulting document is not valid, an *UnsupportedFormatError if its format is not
// supported, and another error if the response is malformed; the document is unchanged
// then.
func (rep *Replica) Merge(resp *peerpb.FetchConfigResponse) (changed bool, err error) {
	if rep.frozenAt != 0 {
		return false, &UnsupportedFormatError{Format: rep.frozenAt, Supported: rep.supported}
	}
	if resp.Revision <= rep.headRevision {
		return false, nil
	}
	sections := make([]Section, 0, len(resp.Sections))
	for _, s := range resp.Sections {
		if s.Revision == nil || s.Number <= 0 || s.Number > resp.Revision {
			return false, fmt.Errorf("config: a peer's section has revision %d of %d", s.Number, resp.Revision)
		}
		sections = append(sections, Section{Name: s.Revision.Section, Record: s.Revision, Revision: s.Number, WrittenMs: s.Revision.AtMs})
	}
	// The peer has refused all records between its head revision and its next offset.
	// This replica will refuse them too, so it continues reading right after the head
	// revision.
	if err := rep.mergeSections(sections, resp.Revision); err != nil {
		return false, err
	}
	rep.counters.Merged++
	if rep.awaitsRestatement && rep.headRevision >= rep.pendingStart {
		rep.replayPending()
	}
	return true, nil
}

// FetchResponse returns the response to a peer's fetch: the sections with a revision above
// after, removed ones included. It is empty if there is no complete document.
func (rep *Replica) FetchResponse(after int64) *peerpb.FetchConfigResponse {
	resp := &peerpb.FetchConfigResponse{Revision: rep.headRevision}
	if !rep.hasDocument {
		return &peerpb.FetchConfigResponse{}
	}
	for _, n := range rep.sectionNames() {
		if s := rep.sections[n]; s.Revision > after {
			resp.Sections = append(resp.Sections, &peerpb.ConfigSection{Revision: s.Record, Number: s.Revision})
		}
	}
	return resp
}

func (rep *Replica) sectionNames() []string {
	names := make([]string, 0, len(rep.sections))
	for n := range rep.sections {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// DueForRestatement returns the names of the sections that were last written at least half
// of the retention ago, sorted. If there are any, the caller appends the Restatement, which
// holds all sections.
func (rep *Replica) DueForRestatement(nowMs, retentionMs int64) []string {
	if rep.awaitsRestatement || rep.frozenAt != 0 {
		return nil
	}
	var due []string
	for _, n := range rep.sectionNames() {
		if float64(nowMs-rep.sections[n].WrittenMs) >= restateThreshold*float64(retentionMs) {
			due = append(due, n)
		}
	}
	return due
}

// Restatement returns the entries that write every section again, divided into records of
// at most maxBytes before compression. One writer has to append the records in order.
func (rep *Replica) Restatement(nowMs int64, maxBytes int) [][]*recordpb.Entry {
	if rep.awaitsRestatement || rep.frozenAt != 0 {
		return nil
	}
	records := [][]*recordpb.Entry{{{AtMs: nowMs, Kind: &recordpb.Entry_SnapshotBegin{SnapshotBegin: &recordpb.SnapshotBegin{}}}}}
	size := 0
	for _, n := range rep.sectionNames() {
		s := rep.sections[n]
		r := proto.Clone(s.Record).(*recordpb.ConfigRevision)
		r.OriginalRevision = s.Revision
		e := &recordpb.Entry{AtMs: nowMs, Kind: &recordpb.Entry_ConfigRevision{ConfigRevision: r}}
		if size += proto.Size(e); size > maxBytes && len(records[len(records)-1]) > 1 {
			records, size = append(records, nil), proto.Size(e)
		}
		last := len(records) - 1
		records[last] = append(records[last], e)
	}
	last := len(records) - 1
	records[last] = append(records[last], &recordpb.Entry{AtMs: nowMs, Kind: &recordpb.Entry_SnapshotEnd{SnapshotEnd: &recordpb.SnapshotEnd{Base: rep.nextOffset}}})
	return records
}
