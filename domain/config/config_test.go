package config

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// Guards against struct fields without an entry in Keys, which would be decoded but
// neither checked nor documented.
func TestKeysMatchTheSections(t *testing.T) {
	for _, kind := range []Kind{KindFleet, KindService, KindModel, KindAdapter, KindCapacity, KindWorkspace} {
		n := 0
		visitKeys(kind, newSection(kind), func(k *Key, f reflect.Value) {
			n++
			if k == nil {
				t.Fatalf("a field of %s has no key", kind)
			}
			if k.Doc == "" || (k.Default != nil && reflect.TypeOf(k.Default) != f.Type()) {
				t.Errorf("%s.%s: doc %q, default %T for a field of type %s", kind, k.Name, k.Doc, k.Default, f.Type())
			}
			if k.Default != nil {
				if r := k.check(reflect.ValueOf(k.Default)); r != "" {
					t.Errorf("%s.%s: default %s", kind, k.Name, r)
				}
			}
		})
		if n != len(keysByKind[kind]) {
			t.Errorf("%s has %d fields and %d keys", kind, n, len(keysByKind[kind]))
		}
	}
	if _, _, err := Parse(Sample); err != nil {
		t.Errorf("the sample document: %v", err)
	}
}

// Guards against problems that are missed, or reported with the wrong line or key.
func TestValidation(t *testing.T) {
	datadriven.RunTest(t, "testdata/validate", func(t *testing.T, d *datadriven.TestData) string {
		doc := d.Input
		if d.HasArg("in-sample") {
			doc = Sample + "\n" + d.Input
		}
		sampleLines := strings.Count(Sample, "\n") + 1
		_, _, err := Parse(doc)
		var inv *InvalidError
		switch {
		case errors.As(err, &inv):
			var b strings.Builder
			for _, p := range inv.Problems {
				if d.HasArg("in-sample") && p.Line > sampleLines {
					p.Line -= sampleLines
				}
				fmt.Fprintln(&b, p)
			}
			return b.String()
		case err != nil:
			return err.Error()
		}
		return "ok\n"
	})
}

// configLog is a config stream of which the records before first have expired.
type configLog struct {
	records []streamRecord
	first   int64
}

func (l *configLog) append(writer string, entries ...*recordpb.Entry) {
	l.records = append(l.records, streamRecord{offset: int64(len(l.records)), writer: writer, entries: entries})
}

// applyTo applies the records that rep has not read and returns the last decisions.
func (l *configLog) applyTo(rep *Replica) (last []Decision) {
	if rep.NextOffset() < l.first || !rep.hasDocument && !rep.awaitsRestatement || rep.NextOffset() == 0 {
		rep.SetLogStartOffset(l.first)
	}
	for _, r := range l.records[max(l.first, rep.NextOffset()):] {
		if d := rep.Apply(r.offset, r.writer, r.entries); len(d) > 0 {
			last = d
		}
	}
	return last
}

func editEntry(section, content, id string, base int64) *recordpb.Entry {
	return &recordpb.Entry{AtMs: 1, Kind: &recordpb.Entry_ConfigRevision{ConfigRevision: &recordpb.ConfigRevision{
		Section: section, Content: content, EditId: id, BaseRevision: base, Actor: id, Removed: content == "",
	}}}
}

// Guards against a replica that accepts stale or invalid edits, loses a section, or
// restores an older revision from a restatement or a peer.
func TestReplica(t *testing.T) {
	datadriven.Walk(t, "testdata/history", func(t *testing.T, path string) {
		log := &configLog{}
		readers := map[string]*Replica{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			arg := func(key string) (v string) {
				d.MaybeScanArgs(t, key, &v)
				return v
			}
			var base int64
			d.MaybeScanArgs(t, "base", &base)
			name := arg("reader")
			if readers[name] == nil {
				readers[name] = newReplica(NewestFormat)
			}
			rep := readers[name]
			switch d.Cmd {
			case "import":
				entries, err := ImportEntries(Sample, "setup", "import", 1)
				if err != nil {
					t.Fatal(err)
				}
				log.append("setup", entries...)
			case "edit":
				content := d.Input
				if content == "" && !d.HasArg("remove") {
					t.Fatal("an edit needs a text or remove")
				}
				log.append("editor", editEntry(arg("section"), content, arg("id"), base))
			case "restate":
				for _, e := range rep.Restatement(1000, 512<<10) {
					log.append(name, e...)
				}
				return fmt.Sprintf("end=%d\n", len(log.records))
			case "expire":
				d.ScanArgs(t, "to", &log.first)
				return ""
			case "merge":
				from := readers[arg("from")]
				changed, err := rep.Merge(from.FetchResponse(rep.HeadRevision()))
				return fmt.Sprintf("changed=%v err=%v head=%d\n", changed, err, rep.HeadRevision())
			case "due":
				// In this command, base is the time in milliseconds.
				return fmt.Sprintf("%d due\n", len(rep.DueForRestatement(base, 1000)))
			case "read":
			default:
				t.Fatalf("unknown command %s", d.Cmd)
			}
			var b strings.Builder
			for _, dec := range log.applyTo(rep) {
				fmt.Fprintf(&b, "%d %s: %s", dec.Offset, dec.EditID, dec.Verdict)
				if dec.Err != nil {
					fmt.Fprintf(&b, ": %v", dec.Err)
				}
				fmt.Fprintln(&b)
			}
			_, err := rep.Document()
			fmt.Fprintf(&b, "head=%d next=%d frozen=%d err=%v\n", rep.HeadRevision(), rep.NextOffset(), rep.FrozenAtFormat(), err)
			return b.String()
		})
	})
}

// Guards against replicas that diverge: ones that read from offset zero, ones that started
// after records had expired, ones that merged sections from peers, and ones of an older
// binary during a rolling upgrade.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := &configLog{}
		entries, err := ImportEntries(Sample, "setup", "import", 1)
		if err != nil {
			t.Fatal(err)
		}
		log.append("setup", entries...)
		newer := newReplica(2)
		older := newReplica(1)
		log.applyTo(newer)
		log.applyTo(older)
		dumpsByRevision := map[int64]string{0: "", newer.HeadRevision(): dumpSections(newer)}
		others := []*Replica{}
		sections := []string{"fleet", "models.letters-7b", "adapters.audit-hu", "workspaces.audit", "services.booking", "workspaces.new"}
		var sent []*recordpb.Entry
		var decisions []Decision
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3:
				s := rapid.SampledFrom(sections).Draw(t, "section")
				cur, _ := newer.Section(s)
				base := max(0, cur.Revision-int64(rapid.IntRange(0, 2).Draw(t, "lag")/2))
				e := editEntry(s, randomContent(t, s, cur.Record.GetContent()), fmt.Sprint("e", len(sent)), base)
				sent = append(sent, e)
				log.append("editor", e)
			case 4:
				if len(sent) > 0 {
					log.append("editor", rapid.SampledFrom(sent).Draw(t, "resend"))
				}
			case 5:
				writer := newer
				if len(others) > 0 && rapid.Bool().Draw(t, "other") {
					writer = rapid.SampledFrom(others).Draw(t, "writer")
				}
				for i, r := range writer.Restatement(5, rapid.SampledFrom([]int{1000, 512 << 10}).Draw(t, "bytes")) {
					if i == 1 {
						log.append("editor", editEntry("workspaces.new", "", "between", 0))
					}
					log.append(fmt.Sprintf("w%p", writer), r...)
				}
			case 6:
				log.first = min(int64(len(log.records)), log.first+int64(rapid.IntRange(1, 8).Draw(t, "expire")))
				log.applyTo(newer)
			case 7:
				others = append(others, newReplica(2))
			default:
				if len(others) > 0 {
					rep := rapid.SampledFrom(others).Draw(t, "reader")
					if rapid.Bool().Draw(t, "merge") {
						if _, err := rep.Merge(newer.FetchResponse(rep.HeadRevision())); err != nil {
							t.Fatal(err)
						}
					} else {
						log.applyTo(rep)
					}
				}
			}
			before := newer.HeadRevision()
			decisions = append(decisions, log.applyTo(newer)...)
			checkVerdicts(t, newer, log, decisions)
			log.applyTo(older)
			if newer.HeadRevision() < before {
				t.Fatalf("HeadRevision went back from %d to %d", before, newer.HeadRevision())
			}
			dumpsByRevision[newer.HeadRevision()] = dumpSections(newer)
			if older.FrozenAtFormat() == 0 && dumpSections(older) != dumpSections(newer) {
				t.Fatalf("document of the older binary:\n%s\nwant that of the newer one:\n%s", dumpSections(older), dumpSections(newer))
			}
			if want, ok := dumpsByRevision[older.HeadRevision()]; !ok || dumpSections(older) != want {
				t.Fatalf("the older binary's document at revision %d is not the fleet's document at that revision", older.HeadRevision())
			}
		}
		for i, rep := range append(others, newReplica(2)) {
			log.applyTo(rep)
			if rep.awaitsRestatement {
				// The replica needs a restatement whose base it can reach.
				for _, r := range newer.Restatement(9, 512<<10) {
					log.append("last", r...)
				}
				log.applyTo(rep)
				log.applyTo(newer)
			}
			if dumpSections(rep) != dumpSections(newer) {
				t.Fatalf("reader %d:\n%s\nwant:\n%s", i, dumpSections(rep), dumpSections(newer))
			}
		}
	})
}

// checkVerdicts compares VerdictOf on a replica that merged the document from a peer with
// the verdicts of the replica that evaluated the records.
func checkVerdicts(t *rapid.T, evaluator *Replica, log *configLog, decisions []Decision) {
	copied := newReplica(2)
	if _, err := copied.Merge(evaluator.FetchResponse(0)); err != nil {
		t.Fatal(err)
	}
	for _, d := range decisions {
		for _, e := range log.records[d.Offset].entries {
			edit := e.GetConfigRevision()
			if edit == nil || edit.EditId != d.EditID || d.EditID == "import" {
				continue
			}
			v, ok, err := copied.VerdictOf(d.Offset, edit)
			if ok && v != Superseded && v != d.Verdict {
				t.Fatalf("edit %s at offset %d: verdict %v, but VerdictOf on a merged replica = %v, %v", d.EditID, d.Offset, d.Verdict, v, err)
			}
		}
	}
}

func randomContent(t *rapid.T, section, current string) string {
	n := rapid.IntRange(1, 3).Draw(t, "value")
	switch {
	case section == "fleet":
		return fmt.Sprintf("[fleet]\nowner = \"p%d\"\nformat = %d\n", n, rapid.IntRange(1, 2).Draw(t, "format"))
	case rapid.IntRange(0, 4).Draw(t, "remove") == 0:
		return ""
	case section == "workspaces.new":
		return fmt.Sprintf("[workspaces.new]\nowner = \"x\"\nteam = \"x\"\nkey_hashes = [\"%064d\"]\nservices = [\"booking\"]\n", n)
	case current == "":
		return SectionHeader(section) + "\nowner = \"nobody\"\n"
	}
	return current + fmt.Sprintf("# revision %d\n", n)
}

func dumpSections(rep *Replica) string {
	var b strings.Builder
	for _, n := range rep.sectionNames() {
		s := rep.sections[n]
		fmt.Fprintf(&b, "%s@%d %q %v\n", n, s.Revision, s.Record.Content, s.Record.Removed)
	}
	return b.String()
}

// Guards against a malformed response of a peer that replaces the document.
func TestMergeRefusesMalformedAnswers(t *testing.T) {
	rep := NewReplica()
	rep.SetLogStartOffset(0)
	bad := &peerpb.FetchConfigResponse{Revision: 4, Sections: []*peerpb.ConfigSection{
		{Number: 3, Revision: editEntry("models.x", "[models.x]\nowner = \"a\"\nservice = \"none\"\nversion = \"1\"\n", "e", 0).GetConfigRevision()},
	}}
	var inv *InvalidError
	if changed, err := rep.Merge(bad); changed || !errors.As(err, &inv) || rep.HeadRevision() != 0 {
		t.Fatalf("Merge = %v, %v, head %d", changed, err, rep.HeadRevision())
	}
	bad.Sections[0].Number = 9
	if changed, err := rep.Merge(bad); changed || err == nil {
		t.Fatalf("a section above the peer's head: %v, %v", changed, err)
	}
}

// Guards against a call that is dropped while its caller may still resend it, and against
// results of keyed calls that are kept as long as the results of jobs.
func TestCallRetention(t *testing.T) {
	for _, c := range []struct {
		fleet   string
		longest time.Duration
		want    time.Duration
	}{
		{"", time.Hour, 2 * time.Hour},
		{"call_retention_minutes = 15", 10 * time.Minute, 15 * time.Minute},
		{"call_retention_minutes = 15", time.Hour, time.Hour},
		{"", 24 * time.Hour, 24 * time.Hour},
	} {
		doc, _, err := Parse(strings.Replace(Sample, "result_retention_hours = 168", c.fleet, 1))
		if err != nil {
			t.Fatal(err)
		}
		if got := doc.Fleet.CallRetention(c.longest); got != c.want {
			t.Errorf("%+v: CallRetention = %v", c, got)
		}
	}
}
