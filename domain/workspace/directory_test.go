package workspace

import (
	"fmt"
	"strings"
	"testing"
)

func limited(name string, keys ...string) Definition {
	return Definition{Workspace{Name: name, Quota: Quota{Rate: 5, Burst: 2}}, keys}
}

// Guards against a caller that is taken for one of another workspace, against keys that let
// nobody in or everybody, and against a definition that makes others unusable.
func TestDirectoryOfOddDefinitions(t *testing.T) {
	d, problems := NewDirectory([]Definition{
		limited("first", "shared", "one", " padded\t"),
		limited("second", "shared", "two", "", "  "),
		limited("without keys"),
		limited("", "nameless"),
		limited("two\nlines", "split"),
		limited("first", "three"),
		limited("odd", "k\x00\xff", "ключ", strings.Repeat("k", 1<<16)),
	})
	for key, want := range map[string]string{
		"shared": "first", "one": "first", "two": "second", "three": "first", "padded": "first", "k\x00\xff": "odd", "ключ": "odd",
		strings.Repeat("k", 1<<16): "odd", "": "", " ": "", "nameless": "", "split": "", "ONE": "", "one ": "", "unknown": "",
	} {
		caller := d.Identify(key)
		if caller.Name() != want || caller.Unknown() != (want == "") {
			t.Errorf("key %.20q: caller of %q, unknown %v, want %q", key, caller.Name(), caller.Unknown(), want)
		}
	}
	if w := d.Workspace("without keys"); w == nil || w.Quota.Rate != 5 || len(d.All()) != 4 {
		t.Errorf("workspaces %v", d.All())
	}
	if len(problems) != 6 {
		t.Errorf("%d problems: %q", len(problems), problems)
	}
	for _, p := range problems {
		if strings.Contains(p, "shared") || strings.Contains(p, "nameless") || strings.Contains(p, "split") {
			t.Errorf("a key stands in %q", p)
		}
	}
}

// Guards against a configuration without workspaces that asks for keys, and against one with an
// empty list that lets everybody in.
func TestAbsentAndEmptyDirectories(t *testing.T) {
	var absent *Directory
	if c := absent.Identify("any"); c.Unknown() || c.Name() != "" || c.PriorityOr(3) != 3 {
		t.Errorf("caller without workspaces %+v", c)
	}
	if absent.Workspace("any") != nil || absent.Keys() != 0 || len(absent.All()) != 0 {
		t.Error("an absent directory has contents")
	}
	empty, _ := NewDirectory(nil)
	if !empty.Identify("any").Unknown() {
		t.Error("an empty directory knows a key")
	}
}

// Guards against a priority of a workspace that is overridden by that of the route, and a zero
// that counts as none.
func TestPriorityOfWorkspaceComesFirst(t *testing.T) {
	highest := 0
	d, _ := NewDirectory([]Definition{{Workspace{Name: "a", Priority: &highest}, []string{"ka"}}, {Workspace{Name: "b"}, []string{"kb"}}})
	if p := d.Identify("ka").PriorityOr(2); p != 0 {
		t.Errorf("priority %d", p)
	}
	if p := d.Identify("kb").PriorityOr(2); p != 2 {
		t.Errorf("priority %d of the route", p)
	}
}

// BenchmarkIdentify measures one look-up among 560 workspaces with 18 keys each.
func BenchmarkIdentify(b *testing.B) {
	var definitions []Definition
	for i := range 560 {
		definition := limited(fmt.Sprint("w", i))
		for k := range 18 {
			definition.Keys = append(definition.Keys, fmt.Sprintf("key-%d-%d", i, k))
		}
		definitions = append(definitions, definition)
	}
	d, _ := NewDirectory(definitions)
	b.ReportAllocs()
	for b.Loop() {
		if d.Identify("key-280-9").Unknown() {
			b.Fatal("unknown")
		}
	}
}
