package config

import "github.com/jacinthnotch/jacinthnotch/wire/recordpb"

// VerdictOf returns the verdict on an edit of one section that was appended at offset,
// derived from the current sections. It is for an instance that merged the document from
// a peer and so did not evaluate the record itself. ok is false while the document does
// not reflect the record. err is set for a refused edit.
func (rep *Replica) VerdictOf(offset int64, edit *recordpb.ConfigRevision) (v Verdict, ok bool, err error) {
	if !rep.hasDocument || offset >= rep.nextOffset {
		return 0, false, nil
	}
	cur := rep.sections[edit.Section]
	if cur == nil {
		cur = &Section{Name: edit.Section}
	}
	switch same := edit.EditId != "" && edit.EditId == cur.Record.GetEditId(); {
	case same && cur.Revision == offset+1:
		return Accepted, true, nil
	case same:
		return Duplicate, true, nil
	case cur.Revision > offset:
		return Superseded, true, nil
	case edit.BaseRevision != cur.Revision:
		return Stale, true, &StaleError{Section: edit.Section, Base: edit.BaseRevision, Current: *cur}
	}
	// The section is unchanged since the record, so the edit was invalid at its offset.
	// CheckEdit finds the reason unless an edit of another section has removed it since.
	if err = rep.CheckEdit([]*recordpb.ConfigRevision{edit}); err == nil {
		err = newInvalidError(edit.Section, 0, "", "the edit was invalid when it was recorded")
	}
	return Invalid, true, err
}
