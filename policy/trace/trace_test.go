package trace

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"
)

// Guards against a field that is lost when a trace is written and read, and
// against a generator that depends on anything but the name and the seed.
func TestGenerateWriteRead(t *testing.T) {
	for _, name := range Names() {
		a, err := Generate(name, DefaultSeed)
		if err != nil {
			t.Fatal(err)
		}
		b, _ := Generate(name, DefaultSeed)
		var buf bytes.Buffer
		if err := a.Write(&buf); err != nil {
			t.Fatal(err)
		}
		c, err := Read(&buf)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(a, b) || !reflect.DeepEqual(a, c) {
			t.Fatalf("%s: two generated traces differ, or the trace read differs from the trace written", name)
		}
	}
}

// Guards against Read accepting an empty file, another format or version, or
// events that are not in order of time.
func TestReadRefuses(t *testing.T) {
	for _, in := range []string{
		"", "{}", `{"format":"jacinthnotch-trace","version":2}`,
		`{"format":"jacinthnotch-trace","version":1}` + "\n" + `{"at_ns":5}` + "\n" + `{"at_ns":4}`,
	} {
		if _, err := Read(strings.NewReader(in)); err == nil {
			t.Fatalf("Read accepted %q", in)
		}
	}
	if _, err := Read(strings.NewReader(`{"format":"x"}`)); !errors.Is(err, ErrFormat) {
		t.Fatalf("got error %v, want ErrFormat", err)
	}
}
