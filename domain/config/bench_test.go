package config

import (
	"fmt"
	"testing"
)

func BenchmarkEditAmong560Workspaces(b *testing.B) {
	rep := NewReplica()
	rep.SetLogStartOffset(0)
	entries, err := ImportEntries(Sample, "setup", "import", 1)
	if err != nil {
		b.Fatal(err)
	}
	for i := range 557 {
		entries = append(entries, editEntry(fmt.Sprintf("workspaces.w%d", i), fmt.Sprintf(
			"[workspaces.w%d]\nowner = \"o\"\nteam = \"t\"\nkey_hashes = [\"%064d\"]\nservices = [\"letters\"]\n", i, i), "import", 0))
	}
	rep.Apply(0, "setup", entries)
	b.ResetTimer()
	for i := range b.N {
		s, _ := rep.Section("workspaces.w5")
		d := rep.Apply(int64(i+1), "editor", append(entries[:0:0], editEntry(s.Name, s.Record.Content, fmt.Sprint(i), s.Revision)))
		if d[0].Verdict != Accepted {
			b.Fatal(d[0].Err)
		}
	}
}
