package config

import (
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// MaxSectionBytes bounds one section's text, so that a section always fits
// into one record of the log.
const MaxSectionBytes = 64 << 10

// Problem is one reason why a document is not valid.
type Problem struct {
	Section string
	// Line counts from 1 within the section's text, or within the document
	// when a whole document was parsed. Zero when no line is at fault.
	Line   int
	Key    string
	Reason string
}

func (p Problem) String() string {
	return fmt.Sprintf("line %d: %s: %s: %s", p.Line, p.Section, p.Key, p.Reason)
}

// InvalidError reports a document that breaks the rules of its format.
type InvalidError struct{ Problems []Problem }

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return "config: invalid: " + strings.Join(lines, "; ")
}

// SectionText is the TOML text of one section.
type SectionText struct {
	Section string
	Content string
	// Line is the place of the text's first line in its document, from 1.
	Line int
}

// parsed is one decoded section with the lines of its keys.
type parsed struct {
	section string
	value   any
	lines   map[string]int
	header  int
}

func (p *parsed) line(key string) int {
	if n, ok := p.lines[key]; ok {
		return n
	}
	return p.header
}

func newSection(kind Kind) any {
	switch kind {
	case KindFleet:
		return &Fleet{}
	case KindService:
		return &Service{}
	case KindModel:
		return &Model{}
	case KindAdapter:
		return &Adapter{}
	case KindCapacity:
		return &Capacity{}
	case KindWorkspace:
		return &Workspace{}
	}
	return nil
}

func validName(section string) bool {
	kind, name := splitName(section)
	if kind == KindFleet {
		return section == string(KindFleet)
	}
	return newSection(kind) != nil && namePattern.MatchString(name)
}

// SplitSections divides a whole document into its sections in order of appearance.
// Comments above a table belong to its section.
func SplitSections(document string) ([]SectionText, error) {
	var texts []SectionText
	p := unstable.Parser{}
	data := []byte(document)
	p.Reset(data)
	lines := strings.SplitAfter(document, "\n")
	var starts []int
	for p.NextExpression() {
		e := p.Expression()
		if e.Kind != unstable.Table {
			if len(texts) == 0 {
				_, line := keyOf(&p, e)
				return nil, invalid("", line, "", "a key stands outside of a section")
			}
			continue
		}
		path, line := keyOf(&p, e)
		starts = append(starts, commentStart(lines, line))
		texts = append(texts, SectionText{Section: strings.Join(path, "."), Line: commentStart(lines, line)})
	}
	if err := p.Error(); err != nil {
		return nil, syntaxError("", data, err)
	}
	for i := range texts {
		end := len(lines)
		if i+1 < len(starts) {
			end = starts[i+1] - 1
		}
		texts[i].Content = strings.TrimRight(strings.Join(lines[starts[i]-1:end], ""), "\n") + "\n"
	}
	return texts, nil
}

// commentStart returns the first line of the comment block above line.
func commentStart(lines []string, line int) int {
	for line > 1 && strings.HasPrefix(strings.TrimSpace(lines[line-2]), "#") {
		line--
	}
	return line
}

func keyOf(p *unstable.Parser, e *unstable.Node) (path []string, line int) {
	if e.Kind != unstable.Table && e.Kind != unstable.ArrayTable && e.Kind != unstable.KeyValue {
		return nil, 0
	}
	for it := e.Key(); it.Next(); {
		path = append(path, string(it.Node().Data))
		if line == 0 {
			line = p.Shape(it.Node().Raw).Start.Line
		}
	}
	return path, line
}

func invalid(section string, line int, key, reason string) *InvalidError {
	return &InvalidError{Problems: []Problem{{Section: section, Line: line, Key: key, Reason: reason}}}
}

// syntaxError describes a syntax error with the decoder's position, because the
// parser alone gives none.
func syntaxError(section string, data []byte, err error) *InvalidError {
	var v map[string]any
	var de *toml.DecodeError
	if errors.As(toml.Unmarshal(data, &v), &de) {
		line, _ := de.Position()
		return invalid(section, line, strings.Join(de.Key(), "."), strings.TrimPrefix(de.Error(), "toml: "))
	}
	return invalid(section, 0, "", err.Error())
}

// parseSection decodes the text of one section by the rules of format. The
// text contains the section's table and no other.
func parseSection(section, content string, format int) (*parsed, []Problem) {
	fail := func(line int, key, reason string) (*parsed, []Problem) {
		return nil, []Problem{{Section: section, Line: line, Key: key, Reason: reason}}
	}
	if !validName(section) {
		return fail(0, "", "is not the name of a section")
	}
	if len(content) > MaxSectionBytes {
		return fail(0, "", fmt.Sprintf("has %d bytes, allowed are %d", len(content), MaxSectionBytes))
	}
	out := &parsed{section: section, lines: map[string]int{}}
	p := unstable.Parser{}
	p.Reset([]byte(content))
	for p.NextExpression() {
		e := p.Expression()
		path, line := keyOf(&p, e)
		switch {
		case e.Kind == unstable.KeyValue && out.header == 0:
			return fail(line, strings.Join(path, "."), "stands outside of the section's table")
		case e.Kind == unstable.KeyValue:
			out.lines[path[0]] = line
		case e.Kind == unstable.Table && out.header == 0 && len(path) <= 2 && strings.Join(path, ".") == section:
			out.header = line
		default:
			return fail(line, strings.Join(path, "."), "is not the section's table")
		}
	}
	if err := p.Error(); err != nil {
		return nil, syntaxError(section, p.Data(), err).Problems
	}
	if out.header == 0 {
		return fail(0, "", "has no table of that name")
	}
	if problems := out.decode(content, format); len(problems) > 0 {
		return nil, problems
	}
	return out, nil
}

// decode fills in the value and checks each key on its own.
func (p *parsed) decode(content string, format int) []Problem {
	kind, name := splitName(p.section)
	p.value = newSection(kind)
	var problems []Problem
	add := func(line int, key, reason string) {
		problems = append(problems, Problem{Section: p.section, Line: line, Key: key, Reason: reason})
	}
	for key, line := range p.lines {
		if k := keysOf[kind][key]; k == nil || k.Since > format {
			add(line, key, "is not a key of this section")
		}
	}
	if len(problems) > 0 {
		sort.Slice(problems, func(i, j int) bool { return problems[i].Line < problems[j].Line })
		return problems
	}
	dec := toml.NewDecoder(strings.NewReader(content)).DisallowUnknownFields()
	into, value := target(kind, name, p.value)
	if err := dec.Decode(into); err != nil {
		var de *toml.DecodeError
		var missing *toml.StrictMissingError
		switch {
		case errors.As(err, &missing):
			for _, e := range missing.Errors {
				line, _ := e.Position()
				add(line, strings.Join(e.Key(), "."), "is not a key of this section")
			}
		case errors.As(err, &de):
			line, _ := de.Position()
			key := strings.TrimPrefix(strings.Join(de.Key(), "."), p.section+".")
			reason := strings.TrimPrefix(de.Error(), "toml: ")
			if k := keysOf[kind][key]; k != nil {
				reason = "the value is not of type " + k.Type
			}
			add(line, key, reason)
		default:
			add(p.header, "", err.Error())
		}
		return problems
	}
	p.value = value()
	applyDefaults(kind, p.value, p.lines)
	fields(kind, p.value, func(k *Key, f reflect.Value) {
		if _, ok := p.lines[k.Name]; !ok {
			if k.Default == nil {
				add(p.header, k.Name, "is required")
			}
			return
		}
		// The history judges the format against the version in force.
		if kind == KindFleet && k.Name == "format" {
			return
		}
		if reason := k.check(f); reason != "" {
			add(p.lines[k.Name], k.Name, reason)
		}
	})
	return problems
}

// target wraps a section struct so that the decoder finds it under the
// section's table; value returns the struct after decoding.
func target(kind Kind, name string, v any) (into any, value func() any) {
	inner := reflect.ValueOf(v)
	field := reflect.StructField{Name: "Section", Tag: reflect.StructTag(`toml:"` + string(kind) + `"`), Type: inner.Type()}
	if kind != KindFleet {
		field.Type = reflect.MapOf(reflect.TypeOf(""), inner.Type())
	}
	w := reflect.New(reflect.StructOf([]reflect.StructField{field}))
	return w.Interface(), func() any {
		f := w.Elem().Field(0)
		if kind != KindFleet {
			f = f.MapIndex(reflect.ValueOf(name))
		}
		return f.Interface()
	}
}
