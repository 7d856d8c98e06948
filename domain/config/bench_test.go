package config

import (
	"fmt"
	"testing"
)

func BenchmarkEditAmong560Workspaces(b *testing.B) {
	h := NewReplica()
	h.SetLogStartOffset(0)
	entries, err := ImportEntries(Sample, "setup", "import", 1)
	if err != nil {
		b.Fatal(err)
	}
	for i := range 557 {
		entries = append(entries, revision(fmt.Sprintf("workspaces.w%d", i), fmt.Sprintf(
			"[workspaces.w%d]\nowner = \"o\"\nteam = \"t\"\nkey_hashes = [\"%064d\"]\nservices = [\"letters\"]\n", i, i), "import", 0))
	}
	h.Apply(0, "setup", entries)
	b.ResetTimer()
	for i := range b.N {
		s, _ := h.Section("workspaces.w5")
		d := h.Apply(int64(i+1), "editor", append(entries[:0:0], revision(s.Name, s.Record.Content, fmt.Sprint(i), s.Revision)))
		if d[0].Verdict != Accepted {
			b.Fatal(d[0].Err)
		}
	}
}
