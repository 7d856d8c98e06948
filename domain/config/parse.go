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

// MaxSectionBytes limits the text of a section, so that it fits into one record of the
// log.
const MaxSectionBytes = 64 << 10

// Problem is one reason why a document is not valid.
type Problem struct {
	Section string
	// Line is the line number, from 1, within the section's text, or within the
	// document when a whole document was parsed. Zero when the problem concerns no line.
	Line   int
	Key    string
	Reason string
}

func (p Problem) String() string {
	return fmt.Sprintf("line %d: %s: %s: %s", p.Line, p.Section, p.Key, p.Reason)
}

// InvalidError reports a document that is not valid in its format version.
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
	// Line is the line number, from 1, of the text's first line in the document.
	Line int
}

// parsedSection is a decoded section with the line numbers of its keys and of its table
// header.
type parsedSection struct {
	section string
	// value is a pointer to the struct of the section's kind, such as *Service.
	value      any
	keyLines   map[string]int
	headerLine int
}

// line returns the line number of a key, or of the table header if the key is absent.
func (p *parsedSection) line(key string) int {
	if n, ok := p.keyLines[key]; ok {
		return n
	}
	return p.headerLine
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

func validSectionName(section string) bool {
	kind, name := splitSectionName(section)
	if kind == KindFleet {
		return section == string(KindFleet)
	}
	return newSection(kind) != nil && namePattern.MatchString(name)
}

// SplitSections splits a document into its sections in order of appearance. Comments
// directly above a table belong to its section.
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
				_, line := keyPath(&p, e)
				return nil, newInvalidError("", line, "", "a key stands outside of a section")
			}
			continue
		}
		path, line := keyPath(&p, e)
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

// commentStart returns the first line of the comment block directly above line, or line
// if there is none.
func commentStart(lines []string, line int) int {
	for line > 1 && strings.HasPrefix(strings.TrimSpace(lines[line-2]), "#") {
		line--
	}
	return line
}

// keyPath returns the dotted key of a table or a key-value expression and its line
// number.
func keyPath(p *unstable.Parser, e *unstable.Node) (path []string, line int) {
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

func newInvalidError(section string, line int, key, reason string) *InvalidError {
	return &InvalidError{Problems: []Problem{{Section: section, Line: line, Key: key, Reason: reason}}}
}

// syntaxError describes a syntax error. It takes the line from the decoder, because the
// parser's error has no position.
func syntaxError(section string, data []byte, err error) *InvalidError {
	var v map[string]any
	var de *toml.DecodeError
	if errors.As(toml.Unmarshal(data, &v), &de) {
		line, _ := de.Position()
		return newInvalidError(section, line, strings.Join(de.Key(), "."), strings.TrimPrefix(de.Error(), "toml: "))
	}
	return newInvalidError(section, 0, "", err.Error())
}

// parseSection decodes the text of a section by the rules of a format version. The text
// has to contain the section's table and no other.
func parseSection(section, content string, format int) (*parsedSection, []Problem) {
	fail := func(line int, key, reason string) (*parsedSection, []Problem) {
		return nil, []Problem{{Section: section, Line: line, Key: key, Reason: reason}}
	}
	if !validSectionName(section) {
		return fail(0, "", "is not the name of a section")
	}
	if len(content) > MaxSectionBytes {
		return fail(0, "", fmt.Sprintf("has %d bytes, allowed are %d", len(content), MaxSectionBytes))
	}
	out := &parsedSection{section: section, keyLines: map[string]int{}}
	p := unstable.Parser{}
	p.Reset([]byte(content))
	for p.NextExpression() {
		e := p.Expression()
		path, line := keyPath(&p, e)
		switch {
		case e.Kind == unstable.KeyValue && out.headerLine == 0:
			return fail(line, strings.Join(path, "."), "stands outside of the section's table")
		case e.Kind == unstable.KeyValue:
			out.keyLines[path[0]] = line
		case e.Kind == unstable.Table && out.headerLine == 0 && len(path) <= 2 && strings.Join(path, ".") == section:
			out.headerLine = line
		default:
			return fail(line, strings.Join(path, "."), "is not the section's table")
		}
	}
	if err := p.Error(); err != nil {
		return nil, syntaxError(section, p.Data(), err).Problems
	}
	if out.headerLine == 0 {
		return fail(0, "", "has no table of that name")
	}
	if problems := out.decode(content, format); len(problems) > 0 {
		return nil, problems
	}
	return out, nil
}

// decode decodes the value and checks each key separately.
func (p *parsedSection) decode(content string, format int) []Problem {
	kind, name := splitSectionName(p.section)
	p.value = newSection(kind)
	var problems []Problem
	add := func(line int, key, reason string) {
		problems = append(problems, Problem{Section: p.section, Line: line, Key: key, Reason: reason})
	}
	for key, line := range p.keyLines {
		if k := keysByKind[kind][key]; k == nil || k.Since > format {
			add(line, key, "is not a key of this section")
		}
	}
	if len(problems) > 0 {
		sort.Slice(problems, func(i, j int) bool { return problems[i].Line < problems[j].Line })
		return problems
	}
	dec := toml.NewDecoder(strings.NewReader(content)).DisallowUnknownFields()
	into, value := decodeTarget(kind, name, p.value)
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
			if k := keysByKind[kind][key]; k != nil {
				reason = "the value is not of type " + k.Type
			}
			add(line, key, reason)
		default:
			add(p.headerLine, "", err.Error())
		}
		return problems
	}
	p.value = value()
	applyDefaults(kind, p.value, p.keyLines)
	visitKeys(kind, p.value, func(k *Key, f reflect.Value) {
		if _, ok := p.keyLines[k.Name]; !ok {
			if k.Default == nil {
				add(p.headerLine, k.Name, "is required")
			}
			return
		}
		// checkTransition checks the format against the version in force.
		if kind == KindFleet && k.Name == "format" {
			return
		}
		if reason := k.check(f); reason != "" {
			add(p.keyLines[k.Name], k.Name, reason)
		}
	})
	return problems
}

// decodeTarget wraps the section struct v in a struct that mirrors the section's table,
// for the decoder to decode into. value returns the section struct after decoding.
func decodeTarget(kind Kind, name string, v any) (into any, value func() any) {
	inner := reflect.ValueOf(v)
	field := reflect.StructField{Name: "Section", Tag: reflect.StructTag(`toml:"` + string(kind) + `"`), Type: inner.Type()}
	if kind != KindFleet {
		field.Type = reflect.MapOf(reflect.TypeOf(""), inner.Type())
	}
	wrapper := reflect.New(reflect.StructOf([]reflect.StructField{field}))
	return wrapper.Interface(), func() any {
		f := wrapper.Elem().Field(0)
		if kind != KindFleet {
			f = f.MapIndex(reflect.ValueOf(name))
		}
		return f.Interface()
	}
}
