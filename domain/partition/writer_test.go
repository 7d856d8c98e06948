package partition

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/jacinthnotch/jacinthnotch/domain/record"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// Guards against the withdrawal of an entry that may be on the stream: it is allowed
// only if all appends of its batch failed, and the other entries of the batch go into
// the next one. testdata/writer is a script of an owner's requests to the log and the
// responses.
func TestWithdraw(t *testing.T) {
	o := newSingleOwner(t)
	var last []byte
	var tickets = map[string]Ticket{}
	datadriven.RunTest(t, "testdata/writer", func(t *testing.T, d *datadriven.TestData) string {
		var key string
		if d.HasArg("key") {
			d.ScanArgs(t, "key", &key)
		}
		switch d.Cmd {
		case "add":
			ticket, err := o.writer.Add(&recordpb.Entry{Kind: &recordpb.Entry_CallStarted{
				CallStarted: &recordpb.CallStarted{Key: key}}})
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			tickets[key] = ticket
			return ""
		case "snapshot":
			o.writer.BeginSnapshot()
			return ""
		case "append":
			p, err := o.writer.Next(o.state, 1)
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			if last = p; p == nil {
				return "nothing\n"
			}
			b, err := record.Decode(p)
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			var out strings.Builder
			fmt.Fprintf(&out, "seq %d", b.Seq)
			for _, e := range b.Entries {
				if c := e.GetCallStarted(); c != nil {
					fmt.Fprintf(&out, " %s", c.Key)
				} else {
					fmt.Fprintf(&out, " %s", strings.TrimPrefix(fmt.Sprintf("%T", e.Kind), "*recordpb.Entry_"))
				}
			}
			return out.String() + "\n"
		case "no-effect":
			o.writer.NotAppended(last)
		case "other-no-effect":
			o.writer.NotAppended([]byte("another batch"))
		case "withdraw":
			return fmt.Sprintln(o.writer.Withdraw(tickets[key]))
		case "read-back":
			o.log = append(o.log, last)
			a := o.state.Apply(int64(len(o.log)-1), last)
			p := o.writer.Observe(&a)
			return fmt.Sprintf("%v, committed %d, in flight %v\n", a.Void, p.Committed, o.writer.InFlight())
		}
		return fmt.Sprintf("may stand %v\n", o.writer.InDoubt())
	})
}
