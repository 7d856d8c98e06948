package follower

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
	"github.com/jacinthnotch/jacinthnotch/domain/record"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/operator"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

const (
	// defaultHistory is the number of edits that the history shows by default.
	defaultHistory   = 20
	historyReadBytes = 1 << 20
	// maxChanges limits the changes of an edit and the edits that the history shows.
	maxChanges = 1000
)

// Section is one section of the document in effect.
type Section struct {
	Section  string    `json:"section"`
	Revision int64     `json:"revision"`
	Actor    string    `json:"actor"`
	Note     string    `json:"note,omitempty"`
	At       time.Time `json:"at"`
	Content  string    `json:"content"`
}

// Document is the document in effect.
type Document struct {
	Revision int64     `json:"revision"`
	Format   int       `json:"format"`
	Frozen   int       `json:"frozen_at_format,omitempty"`
	Sections []Section `json:"sections"`
	// Removed holds the revisions of removed sections. An edit that creates such a section
	// again is based on its revision.
	Removed map[string]int64 `json:"removed,omitempty"`
}

// HistoryEntry is one edit in the history of the configuration.
type HistoryEntry struct {
	Offset   int64     `json:"offset"`
	Revision int64     `json:"revision,omitempty"`
	Verdict  string    `json:"verdict"`
	Sections []string  `json:"sections"`
	Actor    string    `json:"actor"`
	Note     string    `json:"note,omitempty"`
	EditID   string    `json:"edit_id,omitempty"`
	At       time.Time `json:"at"`
	Reason   string    `json:"reason,omitempty"`
}

// RevisionStatus reports which members have a revision.
type RevisionStatus struct {
	Revision int64            `json:"revision"`
	Everyone bool             `json:"everyone"`
	Members  []MemberRevision `json:"members"`
}

// Routes registers the admin handlers.
func (f *Follower) Routes(s *operator.Server) {
	s.HandleAdmin(http.MethodGet, "config", f.showDocument)
	s.HandleAdmin(http.MethodPost, "config/validate", f.validateEdit)
	s.HandleAdmin(http.MethodPost, "config/apply", f.applyEdit)
	s.HandleAdmin(http.MethodGet, "config/history", f.showHistory)
	s.HandleAdmin(http.MethodGet, "config/in-force", f.showInForce)
}

func (f *Follower) showDocument(ctx context.Context, r operator.Request) (any, error) {
	var out Document
	err := f.do(ctx, func(time.Time) {
		out = Document{Revision: f.replica.HeadRevision(), Frozen: f.replica.FrozenAtFormat(), Sections: []Section{}, Removed: map[string]int64{}}
		if doc, err := f.replica.Document(); err == nil && doc.Fleet != nil {
			out.Format = doc.Fleet.Format
		}
		for _, s := range f.replica.FetchResponse(0).Sections {
			rev := s.Revision
			switch {
			case r.Query["section"] != "" && r.Query["section"] != rev.Section:
			case rev.Removed:
				out.Removed[rev.Section] = s.Number
			default:
				out.Sections = append(out.Sections, Section{Section: rev.Section, Revision: s.Number, Actor: rev.Actor, Note: rev.Note,
					At: time.UnixMilli(rev.AtMs).UTC(), Content: rev.Content})
			}
		}
	})
	if err != nil {
		return nil, api.Unavailable(api.CodeOverloaded, time.Second, "the configuration duty is busy")
	}
	if name := r.Query["section"]; name != "" && len(out.Sections) == 0 && out.Removed[name] == 0 {
		return nil, api.NotFound("section", "no section %q in the configuration", name)
	}
	return out, nil
}

func decodeEdit(body []byte) (*Edit, error) {
	e := new(Edit)
	if err := json.Unmarshal(body, e); err != nil {
		return nil, api.Invalid("", "the body is not an edit: %v", err)
	}
	if len(e.Changes) == 0 || len(e.Changes) > maxChanges {
		return nil, api.Invalid("changes", "an edit has between 1 and %d changes", maxChanges)
	}
	if e.Actor == "" {
		return nil, api.Invalid("actor", "an edit names its actor")
	}
	return e, nil
}

func (f *Follower) validateEdit(ctx context.Context, r operator.Request) (any, error) {
	e, err := decodeEdit(r.Body)
	if err != nil {
		return nil, err
	}
	return f.Validate(ctx, e), nil
}

func (f *Follower) applyEdit(ctx context.Context, r operator.Request) (any, error) {
	e, err := decodeEdit(r.Body)
	if err != nil {
		return nil, err
	}
	return f.Apply(ctx, e), nil
}

// showInForce compares the members' revisions with the requested one, by default the
// revision of this instance.
func (f *Follower) showInForce(ctx context.Context, r operator.Request) (any, error) {
	out := RevisionStatus{Everyone: true}
	if doc := f.Document(); doc != nil {
		out.Revision = doc.Revision
	}
	if text := r.Query["revision"]; text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 1 {
			return nil, api.Invalid("revision", "%q is not a revision", text)
		}
		out.Revision = n
	}
	out.Members = f.MemberRevisions(ctx)
	for _, m := range out.Members {
		out.Everyone = out.Everyone && m.Reached && m.Revision >= out.Revision
	}
	return out, nil
}

// showHistory evaluates the retained records of the stream again and returns the newest
// edits.
func (f *Follower) showHistory(ctx context.Context, r operator.Request) (any, error) {
	limit := defaultHistory
	if text := r.Query["limit"]; text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxChanges {
			return nil, api.Invalid("limit", "%q is not between 1 and %d", text, maxChanges)
		}
		limit = n
	}
	replica, out := config.NewReplica(), []HistoryEntry{}
	nextOffset, hasLogStart := int64(0), false
	for {
		page, err := f.opts.Log.Read(ctx, Stream, nextOffset, historyReadBytes, 0)
		var expired *port.ExpiredError
		if errors.As(err, &expired) {
			nextOffset, hasLogStart = expired.First, true
			replica.SetLogStartOffset(expired.First)
			continue
		}
		if err != nil {
			return nil, api.Unavailable(api.CodeLogUnavailable, time.Second, "the log does not answer: %v", err)
		}
		if !hasLogStart {
			hasLogStart = true
			replica.SetLogStartOffset(nextOffset)
		}
		for _, rec := range page.Records {
			nextOffset = rec.Offset + 1
			out = append(out, historyEntries(replica, rec, r.Query["section"])...)
			if len(out) > 2*limit {
				out = slices.Clone(out[len(out)-limit:])
			}
		}
		if nextOffset >= page.End || len(page.Records) == 0 {
			break
		}
	}
	slices.Reverse(out)
	return map[string]any{"edits": out[:min(len(out), limit)]}, nil
}

// historyEntries applies one record to the replica and returns the record's edits.
func historyEntries(replica *config.Replica, rec port.Record, section string) (out []HistoryEntry) {
	batch, err := record.Decode(rec.Payload)
	if err != nil {
		return nil
	}
	for _, d := range replica.Apply(rec.Offset, batch.Instance, batch.Entries) {
		if section != "" && !slices.Contains(d.Sections, section) {
			continue
		}
		entry := HistoryEntry{Offset: d.Offset, Verdict: d.Verdict.String(), Sections: d.Sections, EditID: d.EditID}
		if d.Verdict == config.Accepted {
			entry.Revision = d.Offset + 1
		}
		if d.Err != nil {
			entry.Reason = d.Err.Error()
		}
		for _, e := range batch.Entries {
			if rev := e.GetConfigRevision(); rev != nil && rev.EditId == d.EditID && slices.Contains(d.Sections, rev.Section) {
				entry.Actor, entry.Note, entry.At = rev.Actor, rev.Note, time.UnixMilli(rev.AtMs).UTC()
			}
		}
		out = append(out, entry)
	}
	return out
}

// auditCause returns the description of a change for the audit trail.
func auditCause(e *Edit, c Change, revision int64) string {
	verb := "edit of"
	if c.Removed {
		verb = "removal of"
	}
	text := fmt.Sprintf("%s %s, revision %d on %d", verb, c.Section, revision, c.BaseRevision)
	if e.Note != "" {
		text += ": " + e.Note
	}
	return text
}

// serviceOf returns the service to which a section's name refers, or an empty string.
func serviceOf(section string) string {
	kind, name, _ := strings.Cut(section, ".")
	if k := config.Kind(kind); k == config.KindService || k == config.KindCapacity {
		return name
	}
	return ""
}
