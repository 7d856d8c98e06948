package main

import (
	"os"
	"testing"
)

// Guards against committed reference pages that no longer match the key tables in the
// code.
func TestPagesAreCurrent(t *testing.T) {
	for name, page := range pages {
		text, err := os.ReadFile("../../docs/operations/" + name + ".md")
		if err != nil {
			t.Fatal(err)
		}
		if string(text) != page() {
			t.Errorf("docs/operations/%s.md is not current: go run ./cmd/reference %s > docs/operations/%s.md", name, name, name)
		}
	}
}
