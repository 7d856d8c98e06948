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
	// editTimeout limits a whole edit. readBackTimeout limits the wait for an append to
	// be read back before it is repeated with the same edit id.
	editTimeout     = 20 * time.Second
	readBackTimeout = 3 * time.Second
	// catchUpTimeout limits the wait for the revisions on which an edit is based. Within
	// this time a revision is in effect on all instances.
	catchUpTimeout  = 8 * time.Second
	catchUpInterval = 20 * time.Millisecond
)

// EditState is the result of an edit.
type EditState string

// The results of an edit.
const (
	// EditAccepted is an edit that is in effect.
	EditAccepted EditState = "accepted"
	// EditStale is an edit that is not based on the section's current revision.
	EditStale EditState = "lost"
	// EditInvalid is an edit that would make the document invalid.
	EditInvalid EditState = "invalid"
	// EditUnsupportedFormat is an edit that raises the format version above those that
	// this instance supports, or an edit through an instance that does not support the
	// version in force.
	EditUnsupportedFormat EditState = "frozen"
	// EditUnavailable is an edit that was not written, because the log or this instance
	// could not take it.
	EditUnavailable EditState = "unavailable"
	// EditUnknown is an edit that may have been written but was not read back. It can
	// safely be sent again with the same edit id.
	EditUnknown EditState = "unknown"
)

// Change replaces or removes one section.
type Change struct {
	Section string `json:"section"`
	Content string `json:"content,omitempty"`
	// BaseRevision is the revision of the section on which the change is based; zero for
	// a new section.
	BaseRevision int64 `json:"base_revision"`
	Removed      bool  `json:"removed,omitempty"`
}

// Edit is a set of changes that is accepted or refused as a whole.
type Edit struct {
	Changes []Change `json:"changes"`
	Actor   string   `json:"actor"`
	Note    string   `json:"note,omitempty"`
	// ID identifies the edit, so that a copy of it that is sent again is recognised. If
	// it is empty, Apply generates one.
	ID string `json:"edit_id,omitempty"`
}

// Problem is one reason why an edit is invalid.
type Problem struct {
	Section string `json:"section"`
	Line    int    `json:"line,omitempty"`
	Key     string `json:"key,omitempty"`
	Reason  string `json:"reason"`
}

// CurrentSection is the current revision of a section with which a stale edit conflicts.
type CurrentSection struct {
	Section  string `json:"section"`
	Revision int64  `json:"revision"`
	Actor    string `json:"actor,omitempty"`
	Content  string `json:"content,omitempty"`
}

// EditResult is the result of an edit or of its validation.
type EditResult struct {
	State    EditState       `json:"state"`
	ID       string          `json:"edit_id,omitempty"`
	Revision int64           `json:"revision,omitempty"`
	Message  string          `json:"message,omitempty"`
	Problems []Problem       `json:"problems,omitempty"`
	Current  *CurrentSection `json:"winner,omitempty"`
}

// revisions returns the changes as the revisions to be written at the given time.
func (e *Edit) revisions(now time.Time) []*recordpb.ConfigRevision {
	out := make([]*recordpb.ConfigRevision, len(e.Changes))
	for i, c := range e.Changes {
		out[i] = &recordpb.ConfigRevision{Section: c.Section, Content: c.Content, BaseRevision: c.BaseRevision,
			Removed: c.Removed, Actor: e.Actor, Note: e.Note, EditId: e.ID, AtMs: now.UnixMilli()}
	}
	return out
}

// Validate checks an edit against the current document without applying it.
func (f *Follower) Validate(ctx context.Context, e *Edit) EditResult {
	var err error
	if doErr := f.do(ctx, func(now time.Time) { err = f.replica.CheckEdit(e.revisions(now)) }); doErr != nil {
		return EditResult{State: EditUnavailable, ID: e.ID, Message: "the instance is busy; try again"}
	}
	r := resultOf(err)
	r.ID = e.ID
	return r
}

// Apply appends an edit to the stream. It returns after the edit was read back or
// editTimeout has passed.
func (f *Follower) Apply(ctx context.Context, e *Edit) EditResult {
	if e.ID == "" {
		e.ID = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	if !f.catchUp(ctx, e) {
		return EditResult{State: EditUnavailable, ID: e.ID,
			Message: "this instance has not read the revision that the edit is based on; try again"}
	}
	// A copy of the edit that created the current revision passes the check.
	if r := f.Validate(ctx, e); r.State != EditAccepted {
		return r
	}
	before := f.currentContents(ctx, e)
	verdicts := make(chan config.Decision, 1)
	if err := f.do(ctx, func(time.Time) { f.waiters[e.ID] = verdicts }); err != nil {
		return EditResult{State: EditUnavailable, ID: e.ID, Message: "the instance is busy; try again"}
	}
	defer func() {
		_ = f.do(context.WithoutCancel(ctx), func(time.Time) { delete(f.waiters, e.ID) })
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

// catchUp waits until this instance has read the revisions on which the edit is based.
// The editor may have read them from an instance that was ahead of this one. Without
// the wait, this instance would refuse the edit as stale.
func (f *Follower) catchUp(ctx context.Context, e *Edit) bool {
	var base int64
	for _, c := range e.Changes {
		base = max(base, c.BaseRevision)
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for {
		var head int64
		if f.do(ctx, func(time.Time) { head = f.replica.HeadRevision() }) == nil && head >= base {
			return true
		}
		if (stream.WallClock{}).Sleep(ctx, catchUpInterval) != nil {
			return false
		}
	}
}

// write appends the edit, repeatedly if necessary, until it is read back. Readers apply
// only one of the copies of an edit, so the append can be repeated after a lost response.
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
			if r, ok := f.awaitVerdict(ctx, e, verdicts, readBackTimeout); ok {
				return r
			}
		}
		if err != nil {
			failures++
			klog.InfoS("appending configuration edit failed, retrying", "instance", f.opts.Instance, "err", err)
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

// awaitVerdict waits until the edit is read back from the log or from a peer.
func (f *Follower) awaitVerdict(ctx context.Context, e *Edit, verdicts <-chan config.Decision, wait time.Duration) (EditResult, bool) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	select {
	case d := <-verdicts:
		if d.Verdict == config.Accepted {
			return EditResult{State: EditAccepted, Revision: d.Offset + 1}, true
		}
		if d.Verdict == config.Duplicate {
			return f.resultIfCurrent(context.WithoutCancel(ctx), e)
		}
		return resultOf(d.Err), true
	case <-ctx.Done():
		return f.resultIfCurrent(context.WithoutCancel(ctx), e)
	}
}

// resultIfCurrent returns the result of an edit that created the current revision of its
// sections. It returns false for any other edit.
func (f *Follower) resultIfCurrent(ctx context.Context, e *Edit) (r EditResult, ok bool) {
	_ = f.do(ctx, func(time.Time) {
		s, known := f.replica.Section(e.Changes[0].Section)
		if ok = known && s.Record.GetEditId() == e.ID; ok {
			r = EditResult{State: EditAccepted, Revision: s.Revision}
		}
	})
	return r, ok
}

// currentContents returns the contents of the sections that an edit replaces, for the audit
// trail.
func (f *Follower) currentContents(ctx context.Context, e *Edit) map[string]string {
	out := map[string]string{}
	_ = f.do(ctx, func(time.Time) {
		for _, c := range e.Changes {
			if s, ok := f.replica.Section(c.Section); ok {
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
		f.opts.Audit.Record(&recordpb.Audit{Kind: "config", Cause: auditCause(e, c, revision), Actor: e.Actor,
			Service: serviceOf(c.Section), Before: before[c.Section], After: after})
	}
}

// resultOf converts an error of config.Replica to a result; nil means accepted.
func resultOf(err error) EditResult {
	var stale *config.StaleError
	var invalid *config.InvalidError
	var unsupported *config.UnsupportedFormatError
	switch {
	case err == nil:
		return EditResult{State: EditAccepted}
	case errors.As(err, &stale):
		return EditResult{State: EditStale, Message: stale.Error(), Current: &CurrentSection{Section: stale.Section,
			Revision: stale.Current.Revision, Actor: stale.Current.Record.GetActor(), Content: stale.Current.Record.GetContent()}}
	case errors.As(err, &invalid):
		r := EditResult{State: EditInvalid, Message: "the edit breaks the rules of the document"}
		for _, p := range invalid.Problems {
			r.Problems = append(r.Problems, Problem{Section: p.Section, Line: p.Line, Key: p.Key, Reason: p.Reason})
		}
		return r
	case errors.As(err, &unsupported):
		return EditResult{State: EditUnsupportedFormat, Message: unsupported.Error() + "; upgrade every instance before raising the format"}
	case errors.Is(err, config.ErrNotReady):
		return EditResult{State: EditUnavailable, Message: "this instance has no configuration yet; try again or ask another one"}
	}
	return EditResult{State: EditInvalid, Message: err.Error()}
}
