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

// Guards against keys that are decoded but neither checked nor documented.
func TestKeysMatchTheSections(t *testing.T) {
	for _, kind := range []Kind{KindFleet, KindService, KindModel, KindAdapter, KindCapacity, KindWorkspace} {
		n := 0
		fields(kind, newSection(kind), func(k *Key, f reflect.Value) {
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
		if n != len(keysOf[kind]) {
			t.Errorf("%s has %d fields and %d keys", kind, n, len(keysOf[kind]))
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
		base := strings.Count(Sample, "\n") + 1
		_, _, err := Parse(doc)
		var inv *InvalidError
		switch {
		case errors.As(err, &inv):
			var b strings.Builder
			for _, p := range inv.Problems {
				if d.HasArg("in-sample") && p.Line > base {
					p.Line -= base
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

// fleetLog is a config stream with a limited retention.
type fleetLog struct {
	records []record
	first   int64
}

func (l *fleetLog) append(writer string, entries ...*recordpb.Entry) {
	l.records = append(l.records, record{offset: int64(len(l.records)), writer: writer, entries: entries})
}

func (l *fleetLog) readTo(h *Replica) (last []Decision) {
	if h.NextOffset() < l.first || !h.complete && !h.joining || h.NextOffset() == 0 {
		h.SetLogStartOffset(l.first)
	}
	for _, r := range l.records[max(l.first, h.NextOffset()):] {
		if d := h.Apply(r.offset, r.writer, r.entries); len(d) > 0 {
			last = d
		}
	}
	return last
}

func revision(section, content, id string, base int64) *recordpb.Entry {
	return &recordpb.Entry{AtMs: 1, Kind: &recordpb.Entry_ConfigRevision{ConfigRevision: &recordpb.ConfigRevision{
		Section: section, Content: content, EditId: id, BaseRevision: base, Actor: id, Removed: content == "",
	}}}
}

// Guards against a history that accepts stale or invalid edits, loses a
// section, or brings an older revision back by a restatement or a peer.
func TestHistory(t *testing.T) {
	datadriven.Walk(t, "testdata/history", func(t *testing.T, path string) {
		log := &fleetLog{}
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
				readers[name] = newHistory(NewestFormat)
			}
			h := readers[name]
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
				log.append("editor", revision(arg("section"), content, arg("id"), base))
			case "restate":
				for _, e := range h.Restatement(1000, 512<<10) {
					log.append(name, e...)
				}
				return fmt.Sprintf("end=%d\n", len(log.records))
			case "expire":
				d.ScanArgs(t, "to", &log.first)
				return ""
			case "merge":
				from := readers[arg("from")]
				changed, err := h.Merge(from.FetchResponse(h.HeadRevision()))
				return fmt.Sprintf("changed=%v err=%v head=%d\n", changed, err, h.HeadRevision())
			case "due":
				return fmt.Sprintf("%d due\n", len(h.DueForRestatement(base, 1000)))
			case "read":
			default:
				t.Fatalf("unknown command %s", d.Cmd)
			}
			var b strings.Builder
			for _, dec := range log.readTo(h) {
				fmt.Fprintf(&b, "%d %s: %s", dec.Offset, dec.EditID, dec.Verdict)
				if dec.Err != nil {
					fmt.Fprintf(&b, ": %v", dec.Err)
				}
				fmt.Fprintln(&b)
			}
			_, err := h.Document()
			fmt.Fprintf(&b, "head=%d next=%d frozen=%d err=%v\n", h.HeadRevision(), h.NextOffset(), h.FrozenAtFormat(), err)
			return b.String()
		})
	})
}

// Guards against readers that come to different documents: ones that read from
// the start, ones that joined after records expired, ones that took sections
// from peers, and ones of an older binary during a rolling upgrade.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := &fleetLog{}
		entries, err := ImportEntries(Sample, "setup", "import", 1)
		if err != nil {
			t.Fatal(err)
		}
		log.append("setup", entries...)
		full := newHistory(2)
		old := newHistory(1)
		log.readTo(full)
		log.readTo(old)
		states := map[int64]string{0: "", full.HeadRevision(): dump(full)}
		others := []*Replica{}
		sections := []string{"fleet", "models.letters-7b", "adapters.audit-hu", "workspaces.audit", "services.booking", "workspaces.new"}
		var sent []*recordpb.Entry
		var judged []Decision
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3:
				s := rapid.SampledFrom(sections).Draw(t, "section")
				cur, _ := full.Section(s)
				base := max(0, cur.Revision-int64(rapid.IntRange(0, 2).Draw(t, "lag")/2))
				e := revision(s, randomContent(t, s, cur.Record.GetContent()), fmt.Sprint("e", len(sent)), base)
				sent = append(sent, e)
				log.append("editor", e)
			case 4:
				if len(sent) > 0 {
					log.append("editor", rapid.SampledFrom(sent).Draw(t, "resend"))
				}
			case 5:
				w := full
				if len(others) > 0 && rapid.Bool().Draw(t, "other") {
					w = rapid.SampledFrom(others).Draw(t, "writer")
				}
				for i, r := range w.Restatement(5, rapid.SampledFrom([]int{1000, 512 << 10}).Draw(t, "bytes")) {
					if i == 1 {
						log.append("editor", revision("workspaces.new", "", "between", 0))
					}
					log.append(fmt.Sprintf("w%p", w), r...)
				}
			case 6:
				log.first = min(int64(len(log.records)), log.first+int64(rapid.IntRange(1, 8).Draw(t, "expire")))
				log.readTo(full)
			case 7:
				others = append(others, newHistory(2))
			default:
				if len(others) > 0 {
					h := rapid.SampledFrom(others).Draw(t, "reader")
					if rapid.Bool().Draw(t, "merge") {
						if _, err := h.Merge(full.FetchResponse(h.HeadRevision())); err != nil {
							t.Fatal(err)
						}
					} else {
						log.readTo(h)
					}
				}
			}
			before := full.HeadRevision()
			judged = append(judged, log.readTo(full)...)
			checkVerdicts(t, full, log, judged)
			log.readTo(old)
			if full.HeadRevision() < before {
				t.Fatalf("the head went from %d to %d", before, full.HeadRevision())
			}
			states[full.HeadRevision()] = dump(full)
			if old.FrozenAtFormat() == 0 && dump(old) != dump(full) {
				t.Fatalf("the older binary disagrees:\n%s\n%s", dump(old), dump(full))
			}
			if want, ok := states[old.HeadRevision()]; !ok || dump(old) != want {
				t.Fatalf("the older binary's document at %d never was the fleet's", old.HeadRevision())
			}
		}
		for i, h := range append(others, newHistory(2)) {
			log.readTo(h)
			if h.joining {
				// It has to wait for a restatement that it can reach.
				for _, r := range full.Restatement(9, 512<<10) {
					log.append("last", r...)
				}
				log.readTo(h)
				log.readTo(full)
			}
			if dump(h) != dump(full) {
				t.Fatalf("reader %d:\n%s\nwant:\n%s", i, dump(h), dump(full))
			}
		}
	})
}

// checkVerdicts compares VerdictOf on a copy that took the document from a peer
// with the verdicts of the reader that judged the records.
func checkVerdicts(t *rapid.T, full *Replica, log *fleetLog, judged []Decision) {
	copied := newHistory(2)
	if _, err := copied.Merge(full.FetchResponse(0)); err != nil {
		t.Fatal(err)
	}
	for _, d := range judged {
		for _, e := range log.records[d.Offset].entries {
			edit := e.GetConfigRevision()
			if edit == nil || edit.EditId != d.EditID || d.EditID == "import" {
				continue
			}
			v, ok, err := copied.VerdictOf(d.Offset, edit)
			if ok && v != Superseded && v != d.Verdict {
				t.Fatalf("edit %s at %d is %v, a copy of the document says %v: %v", d.EditID, d.Offset, d.Verdict, v, err)
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

func dump(h *Replica) string {
	var b strings.Builder
	for _, n := range h.names() {
		s := h.sections[n]
		fmt.Fprintf(&b, "%s@%d %q %v\n", n, s.Revision, s.Record.Content, s.Record.Removed)
	}
	return b.String()
}

// Guards against a peer's malformed answer that replaces the document.
func TestMergeRefusesMalformedAnswers(t *testing.T) {
	h := NewReplica()
	h.SetLogStartOffset(0)
	bad := &peerpb.FetchConfigResponse{Revision: 4, Sections: []*peerpb.ConfigSection{
		{Number: 3, Revision: revision("models.x", "[models.x]\nowner = \"a\"\nservice = \"none\"\nversion = \"1\"\n", "e", 0).GetConfigRevision()},
	}}
	var inv *InvalidError
	if changed, err := h.Merge(bad); changed || !errors.As(err, &inv) || h.HeadRevision() != 0 {
		t.Fatalf("Merge = %v, %v, head %d", changed, err, h.HeadRevision())
	}
	bad.Sections[0].Number = 9
	if changed, err := h.Merge(bad); changed || err == nil {
		t.Fatalf("a section above the peer's head: %v, %v", changed, err)
	}
}

// Guards against a call that is forgotten while its caller may still send it
// again, and against results of keyed calls that are kept as long as those of jobs.
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
			t.Errorf("%+v: calls are kept for %v", c, got)
		}
	}
}
