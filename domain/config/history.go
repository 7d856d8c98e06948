package config

import (
	"errors"
	"fmt"
	"maps"

	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// Section is the current revision of one section.
type Section struct {
	Name string
	// Record is the accepted edit; it is never changed.
	Record *recordpb.ConfigRevision
	// Revision is the offset of the edit's record plus one.
	Revision int64
	// WrittenMs is when the section was last written to the stream, in
	// milliseconds since the Unix epoch.
	WrittenMs int64
}

// Verdict says what became of an edit.
type Verdict int

// The verdicts on an edit.
const (
	Accepted Verdict = iota
	// Duplicate is a copy of the edit that made the current revision.
	Duplicate
	Stale
	Invalid
	// Skipped is an edit after the reader froze at a newer format version.
	Skipped
	// Superseded is an edit whose section has a later revision by now; whether
	// it stood before that is not known. Only VerdictOf returns it.
	Superseded
)

func (v Verdict) String() string {
	return [...]string{"accepted", "duplicate", "stale", "invalid", "skipped", "superseded"}[v]
}

// Decision is the verdict on one edit, which may span several sections.
type Decision struct {
	Offset   int64
	EditID   string
	Sections []string
	Verdict  Verdict
	// Err is a *StaleError, an *InvalidError or a *FrozenError for a refused edit.
	Err error
}

// StaleError reports an edit that is not based on the section's current
// revision. Winner is the revision that stands.
type StaleError struct {
	Section string
	Base    int64
	Current Section
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("config: %s: the edit is based on revision %d, the current one is %d by %s",
		e.Section, e.Base, e.Current.Revision, e.Current.Record.GetActor())
}

// UnsupportedFormatError reports a format version in force that this binary does not know.
type UnsupportedFormatError struct{ Format, Supported int }

func (e *UnsupportedFormatError) Error() string {
	return fmt.Sprintf("config: format version %d is in force, this binary supports %d", e.Format, e.Supported)
}

// ErrNotReady reports a history that has no complete document yet.
var ErrNotReady = errors.New("config: no complete document yet")

// Counters counts what a History has met since it was made.
type Counters struct {
	Accepted, Duplicate, Stale, Invalid, Skipped, Restated, Merged uint64
}

// Replica is one reader's state of the config stream.
type Replica struct {
	supported int
	sections  map[string]*Section
	parsed    map[string]*parsed
	doc       *Document
	// head is the highest accepted revision; next the first offset that is not
	// reflected in the document.
	head, next int64
	// joining is set while records before first are missing; pending holds
	// records that must be judged again on top of a restatement.
	joining  bool
	complete bool
	first    int64
	pending  []record
	frozen   int
	partials map[string]*partial
	counters Counters
}

type record struct {
	offset  int64
	writer  string
	entries []*recordpb.Entry
}

// NewReplica returns the history of a reader that has no document yet. It gets
// one by Start at the beginning of the stream, from a restatement, or from a
// peer.
func NewReplica() *Replica { return newHistory(NewestFormat) }

func newHistory(supported int) *Replica {
	return &Replica{
		supported: supported,
		sections:  map[string]*Section{},
		parsed:    map[string]*parsed{},
		doc:       newDocument(),
		joining:   true,
		partials:  map[string]*partial{},
	}
}

// SetLogStartOffset tells which offset is the first that the log still holds. It is called
// before the first Apply and whenever a read from Next has expired. When records
// were missed, the reader keeps the document that it has, waits for a
// restatement and goes on from there.
func (h *Replica) SetLogStartOffset(first int64) {
	if first <= h.next {
		h.joining, h.complete, h.pending = false, true, nil
		return
	}
	if h.joining && len(h.pending) > 0 && first <= h.NextOffset() {
		return
	}
	h.joining, h.first, h.pending = true, first, nil
	clear(h.partials)
}

// Document returns the document in force; it is shared and never changed. It
// returns ErrNotReady before there is a complete one.
func (h *Replica) Document() (*Document, error) {
	if !h.complete {
		return nil, ErrNotReady
	}
	return h.doc, nil
}

// HeadRevision returns the highest accepted revision.
func (h *Replica) HeadRevision() int64 { return h.head }

// NextOffset returns the first offset that the reader has to read from the stream.
func (h *Replica) NextOffset() int64 {
	if h.joining {
		if n := len(h.pending); n > 0 {
			return h.pending[n-1].offset + 1
		}
		return max(h.first, h.next)
	}
	return h.next
}

// FrozenAtFormat returns the format version at which this binary had to stop; zero in
// normal operation.
func (h *Replica) FrozenAtFormat() int { return h.frozen }

// Counters returns what the history has met.
func (h *Replica) Counters() Counters { return h.counters }

// Section returns the current revision of a section. ok is false when it never
// existed; a removed one is returned with Record.Removed set, and its revision
// is the base of an edit that creates it again.
func (h *Replica) Section(name string) (s Section, ok bool) {
	if p := h.sections[name]; p != nil {
		return *p, true
	}
	return Section{}, false
}

// Sections returns the names of the sections that are not removed, in no order.
func (h *Replica) Sections() []string {
	names := make([]string, 0, len(h.parsed))
	for n := range h.parsed {
		names = append(names, n)
	}
	return names
}

// Apply judges the record at offset, written by the instance writer. Records
// come in offset order; one that is already reflected changes nothing.
func (h *Replica) Apply(offset int64, writer string, entries []*recordpb.Entry) []Decision {
	if h.joining {
		if n := len(h.pending); n > 0 && offset <= h.pending[n-1].offset {
			return nil
		}
		return h.applyJoining(record{offset: offset, writer: writer, entries: entries})
	}
	if offset < h.next {
		return nil
	}
	return h.apply(record{offset: offset, writer: writer, entries: entries})
}

func (h *Replica) apply(r record) []Decision {
	h.next = r.offset + 1
	h.collect(r)
	var decisions []Decision
	for _, edit := range edits(r.entries) {
		d := h.judge(r.offset, edit)
		d.Offset = r.offset
		h.count(d.Verdict)
		decisions = append(decisions, d)
	}
	return decisions
}

func (h *Replica) count(v Verdict) {
	c := &h.counters
	*[...]*uint64{&c.Accepted, &c.Duplicate, &c.Stale, &c.Invalid, &c.Skipped}[v]++
}

// edits groups the revisions of one record by edit, in order of appearance.
func edits(entries []*recordpb.Entry) [][]*recordpb.Entry {
	var out [][]*recordpb.Entry
	place := map[string]int{}
	for _, e := range entries {
		r := e.GetConfigRevision()
		if r == nil || r.OriginalRevision != 0 {
			continue
		}
		i, ok := place[r.EditId]
		if !ok || r.EditId == "" {
			i = len(out)
			place[r.EditId] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], e)
	}
	return out
}

func (h *Replica) judge(offset int64, edit []*recordpb.Entry) Decision {
	d := Decision{EditID: edit[0].GetConfigRevision().EditId}
	for _, e := range edit {
		d.Sections = append(d.Sections, e.GetConfigRevision().Section)
	}
	refuse := func(v Verdict, err error) Decision {
		d.Verdict, d.Err = v, err
		return d
	}
	if h.frozen != 0 {
		return refuse(Skipped, &UnsupportedFormatError{Format: h.frozen, Supported: h.supported})
	}
	for _, e := range edit {
		r := e.GetConfigRevision()
		cur := h.sections[r.Section]
		switch {
		case cur == nil && r.BaseRevision == 0:
		case cur != nil && r.BaseRevision == cur.Revision:
		case cur != nil && r.EditId != "" && r.EditId == cur.Record.EditId:
			d.Verdict = Duplicate
			return d
		case cur == nil:
			return refuse(Stale, &StaleError{Section: r.Section, Base: r.BaseRevision})
		default:
			return refuse(Stale, &StaleError{Section: r.Section, Base: r.BaseRevision, Current: *cur})
		}
	}
	next := maps.Clone(h.parsed)
	doc, problems := h.tryEdit(next, edit)
	if len(problems) > 0 {
		return refuse(Invalid, &InvalidError{Problems: problems})
	}
	doc.Revision = offset + 1
	for _, e := range edit {
		r := e.GetConfigRevision()
		h.sections[r.Section] = &Section{Name: r.Section, Record: r, Revision: offset + 1, WrittenMs: e.AtMs}
	}
	h.parsed, h.head = next, offset+1
	h.setDocument(doc)
	return d
}

// setDocument puts a document in force, or freezes at a format that is too new.
func (h *Replica) setDocument(doc *Document) {
	h.doc = doc
	if f := doc.Fleet.Format; f > h.supported {
		h.frozen = f
	}
}

// tryEdit puts the edit into sections and validates the whole by the rules of
// the format in force before it.
func (h *Replica) tryEdit(sections map[string]*parsed, edit []*recordpb.Entry) (*Document, []Problem) {
	var problems []Problem
	for _, e := range edit {
		r := e.GetConfigRevision()
		if r.Removed {
			if h.parsed[r.Section] == nil {
				problems = append(problems, Problem{Section: r.Section, Reason: "there is no section to remove"})
			}
			delete(sections, r.Section)
			continue
		}
		p, ps := parseSection(r.Section, r.Content, h.doc.Fleet.Format)
		problems = append(problems, ps...)
		if p != nil {
			sections[r.Section] = p
		}
	}
	if len(problems) > 0 {
		return nil, problems
	}
	doc := build(sections)
	if problems = checkChange(h.doc, doc, sections); len(problems) > 0 {
		return nil, problems
	}
	return doc, crossCheck(doc, sections)
}

// CheckEdit tells what would become of an edit if it were the next record. It is
// the editor's check before it appends. It also refuses, with a *FrozenError, to
// raise the format above what this binary supports.
func (h *Replica) CheckEdit(edit []*recordpb.ConfigRevision) error {
	if !h.complete {
		return ErrNotReady
	}
	probe := *h
	probe.sections = maps.Clone(h.sections)
	entries := make([]*recordpb.Entry, len(edit))
	for i, r := range edit {
		entries[i] = &recordpb.Entry{Kind: &recordpb.Entry_ConfigRevision{ConfigRevision: r}}
	}
	if err := probe.judge(h.next, entries).Err; err != nil {
		return err
	}
	if probe.frozen != 0 {
		// The stream would accept this and freeze every instance of this version.
		return &UnsupportedFormatError{Format: probe.frozen, Supported: h.supported}
	}
	return nil
}
