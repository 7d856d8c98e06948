package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
	"github.com/jacinthnotch/jacinthnotch/node/follower"
)

// inForcePollInterval is the interval between two checks whether an edit is in force.
const inForcePollInterval = 100 * time.Millisecond

type configCmd struct {
	Show     configShowCmd     `cmd:"" help:"Show the document in force or one section. Example: jnctl config show services.letters"`
	Edit     configEditCmd     `cmd:"" help:"Replace one section. Example: jnctl config edit letters.toml --note 'longer deadline'"`
	Apply    configApplyCmd    `cmd:"" help:"Apply a whole document as one edit. Example: jnctl config apply fleet.toml"`
	History  configHistoryCmd  `cmd:"" help:"Show past edits, newest first. Example: jnctl config history services.letters"`
	Validate configValidateCmd `cmd:"" help:"Validate a document or one section without applying it. Example: jnctl config validate letters.toml"`
}

type configShowCmd struct {
	operatorFlags
	Section string `arg:"" optional:"" help:"Section, such as services.letters."`
}

// Run shows the configuration, or one section of it.
func (c *configShowCmd) Run(e *env) error {
	doc, err := fetchDocument(e.ctx, c.client(), c.Section)
	if err != nil {
		return err
	}
	return e.print(doc, func(w io.Writer) {
		fmt.Fprintf(e.out, "# revision %d\n", doc.Revision)
		for _, s := range doc.Sections {
			fmt.Fprintf(e.out, "\n# %s: revision %d by %s at %s\n%s", s.Section, s.Revision, s.Actor, s.At.Format(time.RFC3339),
				ensureNewline(s.Content))
		}
	})
}

func ensureNewline(text string) string {
	if strings.HasSuffix(text, "\n") {
		return text
	}
	return text + "\n"
}

func fetchDocument(ctx context.Context, c *client, section string) (*follower.Document, error) {
	query := url.Values{}
	if section != "" {
		query.Set("section", section)
	}
	doc := new(follower.Document)
	return doc, c.call(ctx, http.MethodGet, "/admin/config", query, nil, doc)
}

// sectionInForce returns the revision and the text of a section that are in force. For a
// removed section the text is empty.
func sectionInForce(doc *follower.Document, section string) (revision int64, content string) {
	for _, s := range doc.Sections {
		if s.Section == section {
			return s.Revision, s.Content
		}
	}
	return doc.Removed[section], ""
}

// editFlags are the flags of all commands that change the configuration.
type editFlags struct {
	operatorFlags
	Actor  string        `help:"Actor recorded for the edit; the current user by default." env:"JNCTL_ACTOR"`
	Note   string        `help:"Reason for the edit, recorded in the history and the audit trail."`
	EditID string        `help:"Id of an earlier edit, to repeat it safely when its outcome was unknown." placeholder:"ID"`
	Wait   time.Duration `help:"Maximum time to wait until the edit is in force on all members; 0 disables waiting." default:"30s"`
}

func (f *editFlags) actor() string {
	if f.Actor != "" {
		return f.Actor
	}
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return "unknown"
}

type configEditCmd struct {
	editFlags
	File   string `arg:"" help:"File with one section; - for standard input."`
	Base   int64  `help:"Section revision that the file is based on; the current one by default." default:"-1"`
	Remove bool   `help:"Remove the section that the file contains."`
	DryRun bool   `help:"Show the difference and validate, without applying."`
}

// Run replaces the section.
func (c *configEditCmd) Run(e *env) error {
	texts, err := e.readSections(c.File)
	if err != nil {
		return err
	}
	if len(texts) != 1 {
		return usageError("%s contains %d sections, but an edit replaces exactly one. Use: jnctl config apply", c.File, len(texts))
	}
	doc, err := fetchDocument(e.ctx, c.client(), "")
	if err != nil {
		return err
	}
	change := newChange(doc, texts[0])
	if c.Base >= 0 {
		change.BaseRevision = c.Base
	}
	if change.Removed = c.Remove; c.Remove {
		change.Content = ""
	}
	return c.run(e, doc, []follower.Change{change}, c.DryRun)
}

func newChange(doc *follower.Document, text config.SectionText) follower.Change {
	revision, _ := sectionInForce(doc, text.Section)
	return follower.Change{Section: text.Section, Content: text.Content, BaseRevision: revision}
}

// readSections reads a file, or standard input for -, and splits it into sections.
func (e *env) readSections(file string) ([]config.SectionText, error) {
	var text []byte
	var err error
	if file == "-" {
		text, err = io.ReadAll(e.in)
	} else {
		text, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, usageError("%v", err)
	}
	texts, err := config.SplitSections(string(text))
	if err != nil {
		return nil, &failure{code: exitRefused, message: fmt.Sprintf("%s: %v", file, err), hint: "Correct the file and try again."}
	}
	return texts, nil
}

// run shows the difference, validates and applies the edit, and waits until it is in
// force. A dry run stops after the validation.
func (f *editFlags) run(e *env, doc *follower.Document, changes []follower.Change, dryRun bool) error {
	different := f.showDiff(e, doc, changes)
	edit := &follower.Edit{Changes: changes, Actor: f.actor(), Note: f.Note, ID: f.EditID}
	if !different && f.EditID == "" {
		return e.print(follower.EditResult{State: "unchanged", Revision: doc.Revision}, func(w io.Writer) {
			fmt.Fprintln(w, "nothing to change: the text is in force already")
		})
	}
	result := new(follower.EditResult)
	if err := f.client().call(e.ctx, http.MethodPost, "/admin/config/validate", nil, edit, result); err != nil {
		return err
	}
	if err := editError(result); err != nil {
		return err
	}
	if dryRun {
		return e.print(result, func(w io.Writer) { fmt.Fprintln(w, "valid; nothing was applied") })
	}
	if edit.ID == "" {
		edit.ID = rand.Text()
	}
	if err := f.client().call(e.ctx, http.MethodPost, "/admin/config/apply", nil, edit, result); err != nil {
		return withEditID(err, edit.ID)
	}
	if err := editError(result); err != nil {
		return err
	}
	return f.awaitInForce(e, result)
}

// showDiff prints the differences from the sections in force and reports whether there
// are any.
func (f *editFlags) showDiff(e *env, doc *follower.Document, changes []follower.Change) (different bool) {
	for _, c := range changes {
		revision, before := sectionInForce(doc, c.Section)
		diff := config.Diff(c.Section, before, c.Content, revision, revision+1)
		different = different || diff != "" || c.Removed
		// With JSON output the difference goes to standard error, so that standard
		// output stays valid JSON.
		if out := e.out; diff != "" {
			if e.asJSON {
				out = e.err
			}
			fmt.Fprint(out, ensureNewline(diff))
		}
	}
	return different
}

// withEditID adds a hint on how to repeat the edit safely to an error with an unknown outcome.
func withEditID(err error, id string) error {
	var f *failure
	if errors.As(err, &f) && f.code == exitUnknownOutcome {
		f.hint = "Repeat the same command with --edit-id " + id + "; the edit is applied at most once."
	}
	return err
}

// editError converts the result of an edit to a failure. It returns nil for an accepted edit.
func editError(r *follower.EditResult) error {
	switch r.State {
	case follower.EditAccepted:
		return nil
	case follower.EditStale:
		hint := "Fetch the section with: jnctl config show SECTION, merge your change and try again."
		if w := r.Current; w != nil && w.Revision > 0 {
			hint = fmt.Sprintf("%s is at revision %d by %s. Fetch it with: jnctl config show %s, merge your change and try again.",
				w.Section, w.Revision, w.Actor, w.Section)
		}
		return &failure{code: exitRefused, message: "the edit is not based on the current revision: " + r.Message, hint: hint}
	case follower.EditUnavailable:
		return &failure{code: exitUnavailable, message: r.Message, hint: "Nothing was changed. Try again, or use another instance with --address."}
	case follower.EditUnknown:
		return &failure{code: exitUnknownOutcome, message: r.Message, hint: "Repeat the same command with --edit-id " + r.ID + "; the edit is applied at most once."}
	}
	f := &failure{code: exitRefused, message: r.Message, hint: "Nothing was changed. Correct the text and try again."}
	for _, p := range r.Problems {
		location := p.Section
		if p.Line > 0 {
			location += " line " + strconv.Itoa(p.Line)
		}
		if p.Key != "" {
			location += " " + p.Key
		}
		f.message += "\n  " + location + ": " + p.Reason
	}
	return f
}

// awaitInForce waits until the revision is in force on all members, for at most f.Wait,
// and prints the result.
func (f *editFlags) awaitInForce(e *env, r *follower.EditResult) error {
	began := time.Now()
	var state follower.RevisionStatus
	for f.Wait > 0 {
		query := url.Values{"revision": {strconv.FormatInt(r.Revision, 10)}}
		if err := f.client().call(e.ctx, http.MethodGet, "/admin/config/in-force", query, nil, &state); err != nil {
			return err
		}
		if state.Everyone {
			break
		}
		if time.Since(began) >= f.Wait {
			return notInForceError(r, state)
		}
		if err := e.sleep(inForcePollInterval); err != nil {
			return err
		}
	}
	out := struct {
		*follower.EditResult
		InForce *follower.RevisionStatus `json:"in_force,omitempty"`
	}{EditResult: r}
	if f.Wait > 0 {
		out.InForce = &state
	}
	return e.print(out, func(w io.Writer) {
		fmt.Fprintf(w, "accepted as revision %d\n", r.Revision)
		if f.Wait > 0 {
			fmt.Fprintf(w, "in force on all %d members after %d ms\n", len(state.Members), time.Since(began).Milliseconds())
		}
	})
}

// notInForceError returns the failure that lists the members on which the revision is not
// yet in force.
func notInForceError(r *follower.EditResult, state follower.RevisionStatus) error {
	var names []string
	for _, m := range state.Members {
		if !m.Reached || m.Revision < r.Revision {
			names = append(names, fmt.Sprintf("%s (revision %d, reached %v)", m.Instance, m.Revision, m.Reached))
		}
	}
	return &failure{code: exitUnavailable, message: fmt.Sprintf("accepted as revision %d, but not yet in force on %s", r.Revision, strings.Join(names, ", ")),
		hint: "The edit is recorded and need not be repeated. Check these instances with: jnctl members --address THEIR-OPERATOR-ADDRESS"}
}

type configApplyCmd struct {
	editFlags
	File   string `arg:"" help:"File with a whole document; - for standard input."`
	Prune  bool   `help:"Remove the sections that the file does not contain."`
	DryRun bool   `help:"Show the difference and validate, without applying."`
}

// Run applies the sections of the file that differ from those in force.
func (c *configApplyCmd) Run(e *env) error {
	texts, err := e.readSections(c.File)
	if err != nil {
		return err
	}
	doc, err := fetchDocument(e.ctx, c.client(), "")
	if err != nil {
		return err
	}
	var changes []follower.Change
	seen := map[string]bool{}
	for _, t := range texts {
		seen[t.Section] = true
		if _, before := sectionInForce(doc, t.Section); before != t.Content {
			changes = append(changes, newChange(doc, t))
		}
	}
	for _, s := range doc.Sections {
		if c.Prune && !seen[s.Section] {
			changes = append(changes, follower.Change{Section: s.Section, BaseRevision: s.Revision, Removed: true})
		}
	}
	if len(changes) == 0 {
		return e.print(follower.EditResult{State: "unchanged", Revision: doc.Revision}, func(w io.Writer) {
			fmt.Fprintln(w, "nothing to change: the document is in force already")
		})
	}
	return c.run(e, doc, changes, c.DryRun)
}

type configValidateCmd struct {
	operatorFlags
	File    string `arg:"" help:"File with a whole document or some of its sections; - for standard input."`
	Offline bool   `help:"Validate a whole document without contacting an instance."`
}

// Run validates the file, by itself or on top of the configuration in force.
func (c *configValidateCmd) Run(e *env) error {
	texts, err := e.readSections(c.File)
	if err != nil {
		return err
	}
	if c.Offline {
		var all strings.Builder
		for _, t := range texts {
			all.WriteString(ensureNewline(t.Content))
		}
		if _, _, err := config.Parse(all.String()); err != nil {
			return &failure{code: exitRefused, message: err.Error(), hint: "Correct the file and try again."}
		}
		return e.print(follower.EditResult{State: follower.EditAccepted}, func(w io.Writer) { fmt.Fprintf(w, "valid: %d sections\n", len(texts)) })
	}
	doc, err := fetchDocument(e.ctx, c.client(), "")
	if err != nil {
		return err
	}
	edit := &follower.Edit{Actor: "validate"}
	for _, t := range texts {
		edit.Changes = append(edit.Changes, newChange(doc, t))
	}
	result := new(follower.EditResult)
	if err := c.client().call(e.ctx, http.MethodPost, "/admin/config/validate", nil, edit, result); err != nil {
		return err
	}
	if err := editError(result); err != nil {
		return err
	}
	return e.print(result, func(w io.Writer) {
		fmt.Fprintf(w, "valid: %d sections on top of revision %d\n", len(texts), doc.Revision)
	})
}

type configHistoryCmd struct {
	operatorFlags
	Section string `arg:"" optional:"" help:"Section, such as services.letters."`
	Limit   int    `help:"Maximum number of edits to show." default:"20"`
}

// Run shows past edits.
func (c *configHistoryCmd) Run(e *env) error {
	query := url.Values{"limit": {strconv.Itoa(c.Limit)}}
	if c.Section != "" {
		query.Set("section", c.Section)
	}
	var out struct {
		Edits []follower.HistoryEntry `json:"edits"`
	}
	if err := c.client().call(e.ctx, http.MethodGet, "/admin/config/history", query, nil, &out); err != nil {
		return err
	}
	return e.print(out, func(w io.Writer) {
		writeRow(w, "REVISION", "VERDICT", "AT", "ACTOR", "SECTIONS", "NOTE")
		for _, edit := range out.Edits {
			revision, note := "-", edit.Note
			if edit.Revision > 0 {
				revision = strconv.FormatInt(edit.Revision, 10)
			}
			if edit.Reason != "" {
				note = edit.Reason
			}
			writeRow(w, revision, edit.Verdict, edit.At.Format(time.RFC3339), edit.Actor, strings.Join(edit.Sections, " "), note)
		}
	})
}
