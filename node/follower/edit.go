package follower

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/stream"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	// editWait bounds the whole of an edit, readBackWait the wait for an append
	// to be read back before it is repeated with the same edit id.
	editWait     = 20 * time.Second
	readBackWait = 3 * time.Second
	// catchUpWait bounds the wait for the revisions that an edit is based on, the
	// time in which a revision is in force everywhere.
	catchUpWait = 8 * time.Second
	catchUpStep = 20 * time.Millisecond
)

// EditState says what became of an edit.
type EditState string

// The ends of an edit.
const (
	// EditAccepted is in force.
	EditAccepted EditState = "accepted"
	// EditLost was based on a revision that is not the current one.
	EditLost EditState = "lost"
	// EditInvalid breaks the rules of the document.
	EditInvalid EditState = "invalid"
	// EditFrozen raises the format above what this instance supports, or the
	// instance itself is too old for the format in force.
	EditFrozen EditState = "frozen"
	// EditUnavailable was not written: the log refused it.
	EditUnavailable EditState = "unavailable"
	// EditUnknown may have been written and was not read back. Sending it again
	// with the same edit id is safe.
	EditUnknown EditState = "unknown"
)

// Change replaces or removes one section.
type Change struct {
	Section string `json:"section"`
	Content string `json:"content,omitempty"`
	// BaseRevision is the revision of the section that was edited; zero for a new one.
	BaseRevision int64 `json:"base_revision"`
	Removed      bool  `json:"removed,omitempty"`
}

// Edit is one edit, accepted or refused as a whole.
type Edit struct {
	Changes []Change `json:"changes"`
	Actor   string   `json:"actor"`
	Note    string   `json:"note,omitempty"`
	// ID distinguishes resends of one edit from another one; made up when empty.
	ID string `json:"edit_id,omitempty"`
}

// Problem is one reason why an edit is not valid.
type Problem struct {
	Section string `json:"section"`
	Line    int    `json:"line,omitempty"`
	Key     string `json:"key,omitempty"`
	Reason  string `json:"reason"`
}

// Winner is the revision that stands where an edit was lost.
type Winner struct {
	Section  string `json:"section"`
	Revision int64  `json:"revision"`
	Actor    string `json:"actor,omitempty"`
	Content  string `json:"content,omitempty"`
}

// EditResult is the end of an edit or of its validation.
type EditResult struct {
	State    EditState `json:"state"`
	ID       string    `json:"edit_id,omitempty"`
	Revision int64     `json:"revision,omitempty"`
	Message  string    `json:"message,omitempty"`
	Problems []Problem `json:"problems,omitempty"`
	Winner   *Winner   `json:"winner,omitempty"`
}

func (e *Edit) revisions(now time.Time) []*recordpb.ConfigRevision {
	out := make([]*recordpb.ConfigRevision, len(e.Changes))
	for i, c := range e.Changes {
		out[i] = &recordpb.ConfigRevision{Section: c.Section, Content: c.Content, BaseRevision: c.BaseRevision,
			Removed: c.Removed, Actor: e.Actor, Note: e.Note, EditId: e.ID, AtMs: now.UnixMilli()}
	}
	return out
}

// Check tells what would become of an edit now.
func (f *Follower) Check(ctx context.Context, e *Edit) EditResult {
	var err error
	if asked := f.ask(ctx, func(now time.Time) { err = f.history.CheckEdit(e.revisions(now)) }); asked != nil {
		return EditResult{State: EditUnavailable, ID: e.ID, Message: "the instance is busy; try again"}
	}
	r := refused(err)
	r.ID = e.ID
	return r
}

// Apply carries out an edit. It returns after the edit was read back or editWait
// is over.
func (f *Follower) Apply(ctx context.Context, e *Edit) EditResult {
	if e.ID == "" {
		e.ID = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(ctx, editWait)
	defer cancel()
	if !f.catchUp(ctx, e) {
		return EditResult{State: EditUnavailable, ID: e.ID,
			Message: "this instance has not read the revision that the edit is based on; try again"}
	}
	// A resend of an edit that made the current revision passes the check.
	if r := f.Check(ctx, e); r.State != EditAccepted {
		return r
	}
	before := f.contents(ctx, e)
	verdicts := make(chan config.Decision, 1)
	if err := f.ask(ctx, func(time.Time) { f.wanted[e.ID] = verdicts }); err != nil {
		return EditResult{State: EditUnavailable, ID: e.ID, Message: "the instance is busy; try again"}
	}
	defer func() {
		_ = f.ask(context.WithoutCancel(ctx), func(time.Time) { delete(f.wanted, e.ID) })
	}()
	r := f.write(ctx, e, verdicts)
	r.ID = e.ID
	editsPublished.Add(1)
	switch r.State {
	case EditAccepted:
		f.audit(e, before, r.Revision)
	case EditUnknown:
		editsUnknown.Add(1)
	}
	return r
}

// catchUp waits until the revisions that the edit is based on were read. An
// editor may have read them from another instance that was ahead of this one,
// which would take the edit for one on an old base.
func (f *Follower) catchUp(ctx context.Context, e *Edit) bool {
	var base int64
	for _, c := range e.Changes {
		base = max(base, c.BaseRevision)
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpWait)
	defer cancel()
	for {
		var head int64
		if f.ask(ctx, func(time.Time) { head = f.history.HeadRevision() }) == nil && head >= base {
			return true
		}
		if (stream.WallClock{}).Sleep(ctx, catchUpStep) != nil {
			return false
		}
	}
}

// write appends the edit until it is read back. Copies of one edit are the same
// edit, so that a lost answer is repaired by another append.
func (f *Follower) write(ctx context.Context, e *Edit, verdicts <-chan config.Decision) EditResult {
	now := time.Now()
	entries := make([]*recordpb.Entry, 0, len(e.Changes))
	for _, r := range e.revisions(now) {
		entries = append(entries, &recordpb.Entry{AtMs: now.UnixMilli(), Kind: &recordpb.Entry_ConfigRevision{ConfigRevision: r}})
	}
	written := false
	for failures := 0; ctx.Err() == nil; {
		err := f.append(ctx, entries)
		if err != nil && !errors.Is(err, port.ErrUnavailable) && !errors.Is(err, port.ErrOutcomeUnknown) {
			return EditResult{State: EditInvalid, Message: err.Error()}
		}
		if err == nil || errors.Is(err, port.ErrOutcomeUnknown) {
			written = true
			if r, ok := f.verdict(ctx, e, verdicts, readBackWait); ok {
				return r
			}
		}
		if err != nil {
			failures++
			klog.InfoS("Configuration edit not appended, retrying", "instance", f.opts.Instance, "err", err)
			if (stream.WallClock{}).Sleep(ctx, stream.Backoff(failures)) != nil {
				break
			}
		}
	}
	if !written {
		return EditResult{State: EditUnavailable, Message: "the log does not take the edit; nothing was changed"}
	}
	return EditResult{State: EditUnknown, Message: "the edit was sent to the log and not read back; sending it again with the same edit id is safe"}
}

// verdict waits for the edit to be read back, from the log or from a peer.
func (f *Follower) verdict(ctx context.Context, e *Edit, verdicts <-chan config.Decision, wait time.Duration) (EditResult, bool) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	select {
	case d := <-verdicts:
		if d.Verdict == config.Accepted {
			return EditResult{State: EditAccepted, Revision: d.Offset + 1}, true
		}
		if d.Verdict == config.Duplicate {
			return f.standing(context.WithoutCancel(ctx), e)
		}
		return refused(d.Err), true
	case <-ctx.Done():
		return f.standing(context.WithoutCancel(ctx), e)
	}
}

// standing reports an edit that made the current revision of its sections.
func (f *Follower) standing(ctx context.Context, e *Edit) (r EditResult, ok bool) {
	_ = f.ask(ctx, func(time.Time) {
		s, known := f.history.Section(e.Changes[0].Section)
		if ok = known && s.Record.GetEditId() == e.ID; ok {
			r = EditResult{State: EditAccepted, Revision: s.Revision}
		}
	})
	return r, ok
}

// contents returns the sections that an edit replaces, for the audit trail.
func (f *Follower) contents(ctx context.Context, e *Edit) map[string]string {
	out := map[string]string{}
	_ = f.ask(ctx, func(time.Time) {
		for _, c := range e.Changes {
			if s, ok := f.history.Section(c.Section); ok {
				out[c.Section] = s.Record.GetContent()
			}
		}
	})
	return out
}

func (f *Follower) audit(e *Edit, before map[string]string, revision int64) {
	if f.opts.Audit == nil {
		return
	}
	for _, c := range e.Changes {
		after := c.Content
		if c.Removed {
			after = ""
		}
		f.opts.Audit.Record(&recordpb.Audit{Kind: "config", Cause: cause(e, c, revision), Actor: e.Actor,
			Service: serviceOf(c.Section), Before: before[c.Section], After: after})
	}
}

// refused translates an error of the domain; nil stands for an accepted edit.
func refused(err error) EditResult {
	var stale *config.StaleError
	var invalid *config.InvalidError
	var frozen *config.UnsupportedFormatError
	switch {
	case err == nil:
		return EditResult{State: EditAccepted}
	case errors.As(err, &stale):
		return EditResult{State: EditLost, Message: stale.Error(), Winner: &Winner{Section: stale.Section,
			Revision: stale.Current.Revision, Actor: stale.Current.Record.GetActor(), Content: stale.Current.Record.GetContent()}}
	case errors.As(err, &invalid):
		r := EditResult{State: EditInvalid, Message: "the edit breaks the rules of the document"}
		for _, p := range invalid.Problems {
			r.Problems = append(r.Problems, Problem{Section: p.Section, Line: p.Line, Key: p.Key, Reason: p.Reason})
		}
		return r
	case errors.As(err, &frozen):
		return EditResult{State: EditFrozen, Message: frozen.Error() + "; upgrade every instance before raising the format"}
	case errors.Is(err, config.ErrNotReady):
		return EditResult{State: EditUnavailable, Message: "this instance has no configuration yet; try again or ask another one"}
	}
	return EditResult{State: EditInvalid, Message: err.Error()}
}
