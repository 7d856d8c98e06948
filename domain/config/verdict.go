package config

import "github.com/jacinthnotch/jacinthnotch/wire/recordpb"

// VerdictOf tells what became of an edit of one section that was appended at
// offset, from the document alone. It serves an editor whose instance took the
// document from a peer and so never judged the record itself. ok is false while
// the record is not reflected in the document. err is set for a refused edit.
func (h *Replica) VerdictOf(offset int64, edit *recordpb.ConfigRevision) (v Verdict, ok bool, err error) {
	if !h.complete || offset >= h.next {
		return 0, false, nil
	}
	cur := h.sections[edit.Section]
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
	// The section is as it was at the record, so the edit was invalid there. The
	// reason is found again unless another section has removed it meanwhile.
	if err = h.CheckEdit([]*recordpb.ConfigRevision{edit}); err == nil {
		err = invalid(edit.Section, 0, "", "the edit was invalid when it was recorded")
	}
	return Invalid, true, err
}
