package settings

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

const minimalFile = `instance = "i-1"
data_centre = "dc-1"
[listen]
callers = "10.0.0.1:8080"
operator = "127.0.0.1:8081"
peer = "10.0.0.1:8082"
[platform]
log = "http://10.1.0.1:9000"
list = "http://10.1.0.1:9001"
weights = "http://10.1.0.1:9002"
`

// Guards against default values that fail validation.
func TestMinimalFile(t *testing.T) {
	s, err := Parse([]byte(minimalFile))
	if err != nil {
		t.Fatal(err)
	}
	if s.Partitions != 64 || s.DrainLag.Std().String() != "3s" {
		t.Errorf("defaults: %+v", s)
	}
}

// Guards against validation stopping at the first problem, and against messages that lack
// the line or the key.
func TestEveryProblemIsListed(t *testing.T) {
	text := strings.Replace(minimalFile, "10.0.0.1:8080", "localhost:8080", 1) +
		"[limits]\nbody_bytes = 1\nread_timeout = \"0s\"\nbody_byte = 4\n[tls]\ncert_file = \"x\"\n"
	_, err := Parse([]byte(text))
	var e *Error
	if !errors.As(err, &e) {
		t.Fatalf("error %v", err)
	}
	got := err.Error()
	for _, want := range []string{"line 14: limits.body_byte: unknown key", "line 4: listen.callers: ",
		"line 12: limits.body_bytes: ", "line 13: limits.read_timeout: ", "line 16: tls.cert_file: "} {
		if !strings.Contains(got, want) {
			t.Errorf("%q lacks %q", got, want)
		}
	}
}

// Guards against a value of the wrong type being reported without its line.
func TestWrongType(t *testing.T) {
	_, err := Parse([]byte("weight = \"big\"\n"))
	if err == nil || !strings.Contains(err.Error(), "line 1: weight") {
		t.Errorf("error %v", err)
	}
	_, err = Parse([]byte("instance = \"i\"\ndrain_lag = \"3 apples\"\n"))
	if err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Errorf("error %v", err)
	}
}

// Guards against a field of Settings that is missing from the documented table of keys.
func TestTableIsComplete(t *testing.T) {
	table := make(map[string]bool)
	for _, k := range Keys() {
		table[k.Name] = true
	}
	var countFields func(prefix string, t reflect.Type) int
	countFields = func(prefix string, typ reflect.Type) int {
		n := 0
		for i := range typ.NumField() {
			name := prefix + typ.Field(i).Tag.Get("toml")
			if typ.Field(i).Type.Kind() == reflect.Struct {
				n += countFields(name+".", typ.Field(i).Type)
				continue
			}
			n++
			if !table[name] {
				t.Errorf("key %s is missing from the table", name)
			}
		}
		return n
	}
	if n := countFields("", reflect.TypeFor[Settings]()); n != len(table) {
		t.Errorf("Settings has %d keys, the table %d", n, len(table))
	}
}

// FuzzParse guards against input on which the parser panics or accepts values out of
// range.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalFile))
	f.Add([]byte("[limits]\nbody_bytes = -1\n"))
	f.Add([]byte("[[limits]]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err == nil && len(s.validate()) > 0 {
			t.Errorf("accepted invalid settings: %v", s.validate())
		}
	})
}
