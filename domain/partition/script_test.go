package partition

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/encoding/prototext"

	"github.com/jacinthnotch/jacinthnotch/domain/record"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// Guards against a change of the rules of replay. Each script in testdata/rules has the
// records of a stream, as protobuf text, and the effect of each record.
func TestRules(t *testing.T) {
	datadriven.Walk(t, "testdata/rules", func(t *testing.T, path string) {
		s, log := New(), [][]byte(nil)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "batch":
				b := new(recordpb.Batch)
				if err := prototext.Unmarshal([]byte(d.Input), b); err != nil {
					d.Fatalf(t, "%v", err)
				}
				p, err := record.Encode(b)
				if err != nil {
					d.Fatalf(t, "%v", err)
				}
				log = append(log, p)
			case "raw":
				log = append(log, []byte(d.Input))
			case "again": // a duplicate of the record at an offset
				var at int
				d.ScanArgs(t, "at", &at)
				log = append(log, log[at])
			case "read": // a reader from a base
				var base int64
				d.ScanArgs(t, "base", &base)
				missing := int64(-1)
				if d.HasArg("without") {
					d.ScanArgs(t, "without", &missing)
				}
				r := NewFromSnapshot(base)
				for off := r.NextOffset(); off < int64(len(log)); off++ {
					if off != missing {
						r.Apply(off, log[off])
					}
				}
				return fmt.Sprintf("ready %v, as from the start %v\n", r.Ready(), canonical(r) == canonical(s))
			case "job":
				return describeJob(t, s, d)
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			off := int64(len(log)) - 1
			before := s.Counters()
			a := s.Apply(off, log[off])
			return describeRecord(s, &a, before)
		})
	})
}

func describeRecord(s *State, a *Applied, before Counters) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d: %v, epoch %d seq %d", a.Offset, a.Void, s.Epoch(), s.Seq())
	c := s.Counters()
	if n := c.IgnoredEntries - before.IgnoredEntries; n > 0 {
		fmt.Fprintf(&b, ", %d ignored", n)
	}
	if n := c.UnknownEntries - before.UnknownEntries; n > 0 {
		fmt.Fprintf(&b, ", %d unknown", n)
	}
	b.WriteByte('\n')
	for _, e := range a.Events {
		if r, ok := e.(*Removed); ok { // the text of protobuf messages differs between builds
			fmt.Fprintf(&b, "Removed %v %v\n", r.Entry.JobIds, r.Entry.FileIds)
			continue
		}
		fmt.Fprintf(&b, "%s\n", strings.TrimPrefix(fmt.Sprintf("%T%+v", e, e), "*partition."))
	}
	return b.String()
}

func describeJob(t *testing.T, s *State, d *datadriven.TestData) string {
	var id string
	d.ScanArgs(t, "id", &id)
	j, ok := s.Job(id)
	if !ok {
		return "none\n"
	}
	done, failed, unknown := j.OutcomeCounts()
	return fmt.Sprintf("done %d failed %d unknown %d of %d, cancelled %v completed %v, results %v\n",
		done, failed, unknown, j.ItemCount(), j.Cancelled, j.CompletedMs != 0, j.Results)
}
