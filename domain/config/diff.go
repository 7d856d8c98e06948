package config

import (
	"fmt"

	"github.com/pmezard/go-difflib/difflib"
)

// diffContext is the number of unchanged lines shown around a change.
const diffContext = 3

// Diff returns a unified diff of a section's text between two revisions, or an empty
// string when the texts are equal.
func Diff(section string, before, after string, beforeRevision, afterRevision int64) string {
	out, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(before),
		B:        difflib.SplitLines(after),
		FromFile: fmt.Sprintf("%s@%d", section, beforeRevision),
		ToFile:   fmt.Sprintf("%s@%d", section, afterRevision),
		Context:  diffContext,
	})
	if err != nil || before == after {
		// The diff is written to memory, which does not fail.
		return ""
	}
	return out
}
