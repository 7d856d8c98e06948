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
	// maxPending bounds the records that a joining reader keeps while it waits
	// for a restatement. Beyond it the reader starts again at a later offset.
	maxPending = 65536
	// maxPartials bounds the unfinished restatements that are followed; writers
	// that were lost in the middle leave theirs behind.
	maxPartials = 16
	// restateAt is the share of the retention after which sections are written again.
	restateAt = 0.5
)

// partial is one writer's restatement while its records arrive.
type partial struct {
	began    int64
	sections []Section
}

// collect follows restatements. A reader that has a document only learns when
// the sections were last written.
func (h *Replica) collect(r record) (base int64, complete []Section, ok bool) {
	for _, e := range r.entries {
		switch k := e.Kind.(type) {
		case *recordpb.Entry_SnapshotBegin:
			h.beginPartial(r)
		case *recordpb.Entry_ConfigRevision:
			rev := k.ConfigRevision
			if rev.OriginalRevision == 0 {
				continue
			}
			if p := h.partials[r.writer]; p != nil {
				p.sections = append(p.sections, Section{Name: rev.Section, Record: original(rev), Revision: rev.OriginalRevision, WrittenMs: e.AtMs})
			}
		case *recordpb.Entry_SnapshotEnd:
			if p := h.partials[r.writer]; p != nil {
				base, complete, ok = k.SnapshotEnd.Base, p.sections, true
				h.counters.Restated++
				delete(h.partials, r.writer)
				h.noteStated(complete)
			}
		}
	}
	return base, complete, ok
}

func (h *Replica) beginPartial(r record) {
	if len(h.partials) >= maxPartials {
		oldest := ""
		for w, p := range h.partials {
			if oldest == "" || p.began < h.partials[oldest].began {
				oldest = w
			}
		}
		delete(h.partials, oldest)
	}
	h.partials[r.writer] = &partial{began: r.offset}
}

func (h *Replica) noteStated(sections []Section) {
	for _, s := range sections {
		if cur := h.sections[s.Name]; cur != nil && cur.Revision == s.Revision && s.WrittenMs > cur.WrittenMs {
			// Sections are replaced, never changed in place: readers hold copies.
			c := *cur
			c.WrittenMs = s.WrittenMs
			h.sections[s.Name] = &c
		}
	}
}

// original returns the edit as it was accepted, without the mark of a restatement.
func original(r *recordpb.ConfigRevision) *recordpb.ConfigRevision {
	c := proto.Clone(r).(*recordpb.ConfigRevision)
	c.OriginalRevision = 0
	return c
}

// applyJoining keeps records until a restatement comes whose base is within
// what this reader has read, and then judges the records after the base.
func (h *Replica) applyJoining(r record) []Decision {
	h.pending = append(h.pending, r)
	base, complete, ok := h.collect(r)
	if !ok || base < h.first {
		if len(h.pending) > maxPending {
			h.first, h.pending = r.offset+1, nil
		}
		return nil
	}
	if err := h.adopt(complete, base); err != nil {
		return nil
	}
	return h.replayPending()
}

// replayPending judges the kept records that the adopted document does not reflect.
func (h *Replica) replayPending() []Decision {
	kept := h.pending
	h.pending, h.joining = nil, false
	var decisions []Decision
	for _, r := range kept {
		if r.offset >= h.next {
			decisions = append(decisions, h.apply(r)...)
		}
	}
	return decisions
}

// adopt takes over sections that are newer than its own and were all in force
// at position next of the stream. Nothing changes when the result is invalid.
func (h *Replica) adopt(sections []Section, next int64) error {
	all := make(map[string]*Section, len(h.sections))
	for n, s := range h.sections {
		all[n] = s
	}
	head := h.head
	for _, s := range sections {
		if cur := all[s.Name]; cur == nil || s.Revision > cur.Revision {
			all[s.Name] = &s
		}
		head = max(head, s.Revision)
	}
	format := h.doc.Fleet.Format
	if s := all["fleet"]; s != nil && !s.Record.Removed {
		format = peekFormat(s.Record.Content, format)
	}
	if format > h.supported {
		return &UnsupportedFormatError{Format: format, Supported: h.supported}
	}
	ps := make(map[string]*parsed, len(all))
	for n, s := range all {
		if s.Record.Removed {
			continue
		}
		if cur := h.sections[n]; cur == s {
			ps[n] = h.parsed[n]
			continue
		}
		p, problems := parseSection(n, s.Record.Content, format)
		if len(problems) > 0 {
			return &InvalidError{Problems: problems}
		}
		ps[n] = p
	}
	doc := build(ps)
	if problems := crossCheck(doc, ps); len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	doc.Revision = head
	h.sections, h.parsed, h.head, h.complete = all, ps, head, true
	h.next = max(h.next, next)
	h.setDocument(doc)
	return nil
}

// peekFormat reads the format of a fleet section that may be of a newer
// version, whose other keys are not known here.
func peekFormat(content string, otherwise int) int {
	var peek struct {
		Fleet struct {
			Format int `toml:"format"`
		} `toml:"fleet"`
	}
	if toml.Unmarshal([]byte(content), &peek) != nil || peek.Fleet.Format < 1 {
		return otherwise
	}
	return peek.Fleet.Format
}

// Merge takes over what a peer answered to a fetch of everything after this
// reader's head. It moves forward only: sections that are not newer are left
// alone, and a peer that is behind changes nothing. It returns an
// *InvalidError when the answer is not a document of the fleet, a *FrozenError
// when its format is too new; the document then stays as it was.
func (h *Replica) Merge(resp *peerpb.FetchConfigResponse) (changed bool, err error) {
	if h.frozen != 0 {
		return false, &UnsupportedFormatError{Format: h.frozen, Supported: h.supported}
	}
	if resp.Revision <= h.head {
		return false, nil
	}
	sections := make([]Section, 0, len(resp.Sections))
	for _, s := range resp.Sections {
		if s.Revision == nil || s.Number <= 0 || s.Number > resp.Revision {
			return false, fmt.Errorf("config: a peer's section has revision %d of %d", s.Number, resp.Revision)
		}
		sections = append(sections, Section{Name: s.Revision.Section, Record: s.Revision, Revision: s.Number, WrittenMs: s.Revision.AtMs})
	}
	// Records between the peer's head and its position were refused there and
	// are refused here as well, so reading goes on right after the head.
	if err := h.adopt(sections, resp.Revision); err != nil {
		return false, err
	}
	h.counters.Merged++
	if h.joining && h.head >= h.first {
		h.replayPending()
	}
	return true, nil
}

// FetchResponse answers a peer: every section with a revision above after.
func (h *Replica) FetchResponse(after int64) *peerpb.FetchConfigResponse {
	resp := &peerpb.FetchConfigResponse{Revision: h.head}
	if !h.complete {
		return &peerpb.FetchConfigResponse{}
	}
	for _, n := range h.names() {
		if s := h.sections[n]; s.Revision > after {
			resp.Sections = append(resp.Sections, &peerpb.ConfigSection{Revision: s.Record, Number: s.Revision})
		}
	}
	return resp
}

func (h *Replica) names() []string {
	names := make([]string, 0, len(h.sections))
	for n := range h.sections {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// DueForRestatement returns the names of the sections that were last written longer
// than half of the retention ago, in order. When there are any, the reader
// writes the whole Restatement.
func (h *Replica) DueForRestatement(nowMs, retentionMs int64) []string {
	if h.joining || h.frozen != 0 {
		return nil
	}
	var due []string
	for _, n := range h.names() {
		if float64(nowMs-h.sections[n].WrittenMs) >= restateAt*float64(retentionMs) {
			due = append(due, n)
		}
	}
	return due
}

// Restatement returns the entries that state every section again, divided into
// records of at most maxBytes before compression. The records are appended in
// order by one writer.
func (h *Replica) Restatement(nowMs int64, maxBytes int) [][]*recordpb.Entry {
	if h.joining || h.frozen != 0 {
		return nil
	}
	records := [][]*recordpb.Entry{{{AtMs: nowMs, Kind: &recordpb.Entry_SnapshotBegin{SnapshotBegin: &recordpb.SnapshotBegin{}}}}}
	size := 0
	for _, n := range h.names() {
		s := h.sections[n]
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
	records[last] = append(records[last], &recordpb.Entry{AtMs: nowMs, Kind: &recordpb.Entry_SnapshotEnd{SnapshotEnd: &recordpb.SnapshotEnd{Base: h.next}}})
	return records
}
