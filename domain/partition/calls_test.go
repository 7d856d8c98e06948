package partition

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

var decisionNames = []string{"none", "run", "done", "unknown", "conflict", "wait", "not-run"}

// Guards the decisions on keyed calls. testdata/calls is a script of requests of
// entry instances to an owner at given times, with the owner's answers.
func TestCalls(t *testing.T) {
	o, c := newSingleOwner(t), NewCallTracker()
	datadriven.RunTest(t, "testdata/calls", func(t *testing.T, d *datadriven.TestData) string {
		req := BeginRequest{Ref: Ref{Workspace: "w"}, Fingerprint: "f", DeadlineMs: 100}
		var now int64
		scan := func(name string, to ...any) {
			if d.HasArg(name) {
				d.ScanArgs(t, name, to...)
			}
		}
		scan("key", &req.Ref.Key)
		scan("attempt", &req.Attempt)
		scan("from", &req.Instance)
		scan("content", &req.Fingerprint)
		scan("now", &now)
		req.NonIdempotent = d.HasArg("once")
		var entries []*recordpb.Entry
		var out strings.Builder
		switch d.Cmd {
		case "begin":
			a := c.Begin(o.state, req, now)
			entries = a.Entries
			fmt.Fprintln(&out, decisionNames[a.Decision])
		case "lookup":
			fmt.Fprintln(&out, decisionNames[c.Lookup(o.state, req.Ref).Decision])
		case "finish":
			e := c.Finish(o.state, &recordpb.CallFinished{Workspace: "w", Key: req.Ref.Key, Fingerprint: []byte(req.Fingerprint),
				Outcome: recordpb.Outcome_OUTCOME_DONE}, now)
			if e != nil {
				entries = append(entries, e)
			}
		case "lost", "overdue":
			var forgotten []Ref
			if d.Cmd == "lost" {
				forgotten, entries = c.EndByInstance(o.state, req.Instance, now)
			} else {
				forgotten, entries = c.EndOverdue(o.state, now, 10)
			}
			fmt.Fprintln(&out, "forgotten", forgotten)
		case "read-back":
			a, _ := o.step()
			c.Observe(&a)
		case "new-owner":
			c = NewCallTracker()
		}
		if len(entries) > 0 {
			o.add(entries...)
			fmt.Fprintf(&out, "append %s\n", strings.TrimPrefix(fmt.Sprintf("%T", entries[0].Kind), "*recordpb.Entry_"))
		}
		return out.String()
	})
}

// Guards against a second job or file for the same submission, jobs without a file,
// and the removal of a file that a job still uses.
func TestJobDecisions(t *testing.T) {
	o := newSingleOwner(t)
	job := &recordpb.JobCreated{JobId: "j", FileId: "f"}
	if _, err := CreateJob(o.state, job, 1); !errors.Is(err, ErrNoFile) {
		t.Fatal(err)
	}
	lines := [][]byte{make([]byte, MaxChunkBytes), []byte("x"), []byte("y")}
	chunks, err := SplitChunks("f", lines)
	if err != nil || len(chunks) != 2 || chunks[1].FirstLine != 1 || len(chunks[1].Lines) != 2 {
		t.Fatal(chunks, err)
	}
	if _, err := SplitChunks("f", [][]byte{make([]byte, MaxLineBytes+1)}); !errors.Is(err, ErrLineTooLarge) {
		t.Fatal(err)
	}
	seal := &recordpb.FileSealed{FileId: "f", Chunks: 2, Lines: 3}
	o.add(StoreFile(o.state, seal, chunks, 1)[0]) // interrupted upload
	o.step()
	rest := StoreFile(o.state, seal, chunks, 1)
	if len(rest) != 2 {
		t.Fatalf("the resumed upload has %d entries, want 2", len(rest))
	}
	o.add(rest...)
	o.step()
	if again := StoreFile(o.state, seal, chunks, 1); len(again) != 0 {
		t.Fatalf("a sealed file is stored again: %v", again)
	}
	e, err := CreateJob(o.state, job, 1)
	if err != nil || e.GetJobCreated().Items != 3 {
		t.Fatal(e, err)
	}
	_, key, _ := BindKey(o.state, &recordpb.KeyBound{Key: "k", Content: []byte("a"), JobId: "j"}, 1)
	o.add(e, key)
	o.step()
	if e, err := CreateJob(o.state, job, 1); e != nil || err != nil {
		t.Fatalf("a repeated request creates %v, %v", e, err)
	}
	if id, e, err := BindKey(o.state, &recordpb.KeyBound{Key: "k", Content: []byte("a"), JobId: "other"}, 1); id != "j" || e != nil || err != nil {
		t.Fatal(id, e, err)
	}
	if _, _, err := BindKey(o.state, &recordpb.KeyBound{Key: "k", Content: []byte("b")}, 1); !errors.Is(err, ErrKeyConflict) {
		t.Fatal(err)
	}
	keep := Retention{CallMs: 10, KeyMs: 1000, JobMs: 100, FileMs: 10}
	if e := Expire(o.state, o.writer, keep, 500); e != nil {
		t.Fatalf("Expire removes %v while the job runs", e)
	}
	e, _ = CancelJob(o.state, "j", "caller", 450)
	o.add(e)
	o.step()
	if e, err := CancelJob(o.state, "j", "caller", 451); e != nil || err != nil {
		t.Fatal(e, err)
	}
	if e := Expire(o.state, o.writer, keep, 549); e != nil {
		t.Fatalf("Expire removes %v before the retention of the job is over", e)
	}
	o.add(key)
	if e := Expire(o.state, o.writer, keep, 550).GetExpired(); len(e.JobIds) != 1 || len(e.FileIds) != 0 {
		t.Fatalf("Expire removes %v while entries are queued, want only the job", e)
	}
	o.step()
	o.add(Expire(o.state, o.writer, keep, 550))
	o.step()
	o.add(&recordpb.Entry{Kind: &recordpb.Entry_JobCreated{JobCreated: job}})
	o.step()
	if _, ok := o.state.File("f"); ok || len(o.state.jobs) > 0 || len(o.state.keys) != 1 {
		t.Fatal("want the job and its file removed and the key kept")
	}
}
