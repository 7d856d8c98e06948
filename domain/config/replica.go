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
	// Record is the accepted edit; it is immutable.
	Record *recordpb.ConfigRevision
	// Revision is the offset of the edit's record plus one.
	Revision int64
	// WrittenMs is when the section was last written to the stream, by its edit or by a
	// restatement, in milliseconds since the Unix epoch.
	WrittenMs int64
}

// Verdict is the result of evaluating an edit.
type Verdict int

// The verdicts on an edit.
const (
	Accepted Verdict = iota
	// Duplicate is a copy of the edit that created the section's current revision.
	Duplicate
	// Stale is an edit that is not based on the section's current revision.
	Stale
	// Invalid is an edit that would make the document invalid.
	Invalid
	// Skipped is an edit after the reader froze at a newer format version.
	Skipped
	// Superseded is an edit whose section has a later revision. Whether the edit was
	// accepted before that is not known. Only VerdictOf returns it.
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
	// Err is a *StaleError, an *InvalidError or an *UnsupportedFormatError if the edit is
	// stale, invalid or skipped, and nil otherwise.
	Err error
}

// StaleError reports an edit that is not based on the section's current revision, which
// is in Current.
type StaleError struct {
	Section string
	Base    int64
	Current Section
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("config: %s: the edit is based on revision %d, the current one is %d by %s",
		e.Section, e.Base, e.Current.Revision, e.Current.Record.GetActor())
}

// UnsupportedFormatError reports a format version in force, or about to be, that this
// binary does not support.
type UnsupportedFormatError struct{ Format, Supported int }

func (e *UnsupportedFormatError) Error() string {
	return fmt.Sprintf("config: format version %d is in force, this binary supports %d", e.Format, e.Supported)
}

// ErrNotReady reports a replica that has no complete document yet.
var ErrNotReady = errors.New("config: no complete document yet")

// Counters counts the events of a Replica since it was created: the edits by verdict, the
// complete restatements that were read, and the responses of peers that were merged.
type Counters struct {
	Accepted, Duplicate, Stale, Invalid, Skipped, Restated, Merged uint64
}

// Replica is a reader's copy of the configuration, derived from the records of the config
// stream, from restatements and from peers. It is not safe for concurrent use.
type Replica struct {
	// supported is the newest format version that this reader supports.
	supported int
	// sections holds the current revision of every section, removed ones included, and
	// parsed the decoded sections that are not removed.
	sections map[string]*Section
	parsed   map[string]*parsedSection
	doc      *Document
	// headRevision is the highest accepted revision. nextOffset is the first offset that
	// the document does not reflect.
	headRevision, nextOffset int64
	// awaitsRestatement is set while records before pendingStart are missing. pending
	// holds the records from pendingStart on, to be evaluated after a restatement.
	awaitsRestatement bool
	// hasDocument is set once the document is complete.
	hasDocument bool
	// pendingStart is the log start offset, or a later one once pending has exceeded
	// maxPending.
	pendingStart int64
	pending      []streamRecord
	// frozenAt is the unsupported format version in force, zero if it is supported.
	frozenAt int
	// restatements holds the unfinished restatements by writer.
	restatements map[string]*partialRestatement
	counters     Counters
}

// streamRecord is a record of the config stream.
type streamRecord struct {
	offset  int64
	writer  string
	entries []*recordpb.Entry
}

// NewReplica returns a replica without a document. It gets one by reading the stream from
// offset zero, from a restatement, or from a peer.
func NewReplica() *Replica { return newReplica(NewestFormat) }

func newReplica(supported int) *Replica {
	return &Replica{
		supported:         supported,
		sections:          map[string]*Section{},
		parsed:            map[string]*parsedSection{},
		doc:               newDocument(),
		awaitsRestatement: true,
		restatements:      map[string]*partialRestatement{},
	}
}

// SetLogStartOffset sets the first offset that the log still holds. The caller calls it
// before the first Apply and whenever the record at NextOffset has expired. If records
// were missed, the replica keeps its document and waits for a restatement from which it
// can continue.
func (rep *Replica) SetLogStartOffset(first int64) {
	if first <= rep.nextOffset {
		rep.awaitsRestatement, rep.hasDocument, rep.pending = false, true, nil
		return
	}
	if rep.awaitsRestatement && len(rep.pending) > 0 && first <= rep.NextOffset() {
		return
	}
	rep.awaitsRestatement, rep.pendingStart, rep.pending = true, first, nil
	clear(rep.restatements)
}

// Document returns the document in force, which is immutable. It returns ErrNotReady
// before there is a complete one.
func (rep *Replica) Document() (*Document, error) {
	if !rep.hasDocument {
		return nil, ErrNotReady
	}
	return rep.doc, nil
}

// HeadRevision returns the highest accepted revision.
func (rep *Replica) HeadRevision() int64 { return rep.headRevision }

// NextOffset returns the offset from which the caller has to read the stream.
func (rep *Replica) NextOffset() int64 {
	if rep.awaitsRestatement {
		if n := len(rep.pending); n > 0 {
			return rep.pending[n-1].offset + 1
		}
		return max(rep.pendingStart, rep.nextOffset)
	}
	return rep.nextOffset
}

// FrozenAtFormat returns the format version in force if this binary does not support it
// and the replica is frozen because of it, zero otherwise.
func (rep *Replica) FrozenAtFormat() int { return rep.frozenAt }

// Counters returns a copy of the counters.
func (rep *Replica) Counters() Counters { return rep.counters }

// Section returns the current revision of a section. ok is false when the section never
// existed. A removed section is returned with Record.Removed set; its revision is the
// base of an edit that creates the section again.
func (rep *Replica) Section(name string) (s Section, ok bool) {
	if p := rep.sections[name]; p != nil {
		return *p, true
	}
	return Section{}, false
}

// Sections returns the names of the sections that are not removed, in unspecified order.
func (rep *Replica) Sections() []string {
	names := make([]string, 0, len(rep.parsed))
	for n := range rep.parsed {
		names = append(names, n)
	}
	return names
}

// Apply evaluates the edits in the record at offset, written by the instance writer.
// Records have to be applied in offset order; one that is already reflected has no effect.
func (rep *Replica) Apply(offset int64, writer string, entries []*recordpb.Entry) []Decision {
	if rep.awaitsRestatement {
		if n := len(rep.pending); n > 0 && offset <= rep.pending[n-1].offset {
			return nil
		}
		return rep.applyAwaitingRestatement(streamRecord{offset: offset, writer: writer, entries: entries})
	}
	if offset < rep.nextOffset {
		return nil
	}
	return rep.apply(streamRecord{offset: offset, writer: writer, entries: entries})
}

func (rep *Replica) apply(r streamRecord) []Decision {
	rep.nextOffset = r.offset + 1
	rep.trackRestatements(r)
	var decisions []Decision
	for _, edit := range groupEdits(r.entries) {
		d := rep.evaluate(r.offset, edit)
		d.Offset = r.offset
		rep.countVerdict(d.Verdict)
		decisions = append(decisions, d)
	}
	return decisions
}

func (rep *Replica) countVerdict(v Verdict) {
	c := &rep.counters
	*[...]*uint64{&c.Accepted, &c.Duplicate, &c.Stale, &c.Invalid, &c.Skipped}[v]++
}

// groupEdits groups the revisions in one record by edit_id, in order of appearance. Each
// revision without an edit_id is an edit of its own. Restated revisions are left out.
func groupEdits(entries []*recordpb.Entry) [][]*recordpb.Entry {
	var out [][]*recordpb.Entry
	indexByID := map[string]int{}
	for _, e := range entries {
		r := e.GetConfigRevision()
		if r == nil || r.OriginalRevision != 0 {
			continue
		}
		i, ok := indexByID[r.EditId]
		if !ok || r.EditId == "" {
			i = len(out)
			indexByID[r.EditId] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], e)
	}
	return out
}

// evaluate returns the verdict on an edit and puts an accepted edit in force.
func (rep *Replica) evaluate(offset int64, edit []*recordpb.Entry) Decision {
	d := Decision{EditID: edit[0].GetConfigRevision().EditId}
	for _, e := range edit {
		d.Sections = append(d.Sections, e.GetConfigRevision().Section)
	}
	refuse := func(v Verdict, err error) Decision {
		d.Verdict, d.Err = v, err
		return d
	}
	if rep.frozenAt != 0 {
		return refuse(Skipped, &UnsupportedFormatError{Format: rep.frozenAt, Supported: rep.supported})
	}
	for _, e := range edit {
		r := e.GetConfigRevision()
		cur := rep.sections[r.Section]
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
	next := maps.Clone(rep.parsed)
	doc, problems := rep.applyEdit(next, edit)
	if len(problems) > 0 {
		return refuse(Invalid, &InvalidError{Problems: problems})
	}
	doc.Revision = offset + 1
	for _, e := range edit {
		r := e.GetConfigRevision()
		rep.sections[r.Section] = &Section{Name: r.Section, Record: r, Revision: offset + 1, WrittenMs: e.AtMs}
	}
	rep.parsed, rep.headRevision = next, offset+1
	rep.setDocument(doc)
	return d
}

// setDocument puts a document in force and freezes the replica if the document's format
// is not supported.
func (rep *Replica) setDocument(doc *Document) {
	rep.doc = doc
	if f := doc.Fleet.Format; f > rep.supported {
		rep.frozenAt = f
	}
}

// applyEdit applies the edit to sections and validates the resulting document by the
// rules of the format in force before the edit.
func (rep *Replica) applyEdit(sections map[string]*parsedSection, edit []*recordpb.Entry) (*Document, []Problem) {
	var problems []Problem
	for _, e := range edit {
		r := e.GetConfigRevision()
		if r.Removed {
			if rep.parsed[r.Section] == nil {
				problems = append(problems, Problem{Section: r.Section, Reason: "there is no section to remove"})
			}
			delete(sections, r.Section)
			continue
		}
		p, ps := parseSection(r.Section, r.Content, rep.doc.Fleet.Format)
		problems = append(problems, ps...)
		if p != nil {
			sections[r.Section] = p
		}
	}
	if len(problems) > 0 {
		return nil, problems
	}
	doc := buildDocument(sections)
	if problems = checkTransition(rep.doc, doc, sections); len(problems) > 0 {
		return nil, problems
	}
	return doc, checkReferences(doc, sections)
}

// CheckEdit returns the error with which an edit would be refused if it were the next
// record, nil if it would be accepted or is a duplicate. Instances call it before they
// append an edit. It also refuses, with an *UnsupportedFormatError, to raise the format
// above the newest version that this binary supports.
func (rep *Replica) CheckEdit(edit []*recordpb.ConfigRevision) error {
	if !rep.hasDocument {
		return ErrNotReady
	}
	// A copy evaluates the edit, so that this replica stays as it is.
	trial := *rep
	trial.sections = maps.Clone(rep.sections)
	entries := make([]*recordpb.Entry, len(edit))
	for i, r := range edit {
		entries[i] = &recordpb.Entry{Kind: &recordpb.Entry_ConfigRevision{ConfigRevision: r}}
	}
	if err := trial.evaluate(rep.nextOffset, entries).Err; err != nil {
		return err
	}
	if trial.frozenAt != 0 {
		// Every reader would accept the edit, and instances of this version would freeze.
		return &UnsupportedFormatError{Format: trial.frozenAt, Supported: rep.supported}
	}
	return nil
}
