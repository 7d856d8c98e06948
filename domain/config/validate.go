package config

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
)

// Parse parses a whole document, validates it, and returns it with the texts of its
// sections. If the document is not valid, it returns an *InvalidError with the problems
// that were found.
func Parse(document string) (*Document, []SectionText, error) {
	texts, err := SplitSections(document)
	if err != nil {
		return nil, nil, err
	}
	sections := map[string]*parsedSection{}
	var problems []Problem
	for _, t := range texts {
		p, ps := parseSection(t.Section, t.Content, NewestFormat)
		if sections[t.Section] != nil {
			ps = append(ps, Problem{Section: t.Section, Line: 1, Reason: "the section stands twice"})
		}
		if p != nil {
			p.shiftLines(t.Line - 1)
			sections[t.Section] = p
		}
		for _, x := range ps {
			if x.Line > 0 {
				x.Line += t.Line - 1
			}
			problems = append(problems, x)
		}
	}
	if len(problems) > 0 {
		return nil, nil, &InvalidError{Problems: problems}
	}
	doc := buildDocument(sections)
	if f := doc.Fleet.Format; f < 1 || f > NewestFormat {
		return nil, nil, newInvalidError("fleet", sections["fleet"].line("format"), "format", fmt.Sprintf("version %d is not known here", f))
	}
	if problems = checkReferences(doc, sections); len(problems) > 0 {
		return nil, nil, &InvalidError{Problems: problems}
	}
	return doc, texts, nil
}

// shiftLines adds an offset to the line numbers, so that those within the section's text
// become those within the document.
func (p *parsedSection) shiftLines(by int) {
	p.headerLine += by
	for k := range p.keyLines {
		p.keyLines[k] += by
	}
}

func buildDocument(sections map[string]*parsedSection) *Document {
	d := newDocument()
	for _, p := range sections {
		d.addSection(p)
	}
	return d
}

// referenceChecker collects problems that concern more than one key or section.
type referenceChecker struct {
	doc      *Document
	problems []Problem
}

func (c *referenceChecker) add(p *parsedSection, key, format string, args ...any) {
	c.problems = append(c.problems, Problem{Section: p.section, Line: p.line(key), Key: key, Reason: fmt.Sprintf(format, args...)})
}

// checkReferences returns the problems that concern more than one key or section, in a
// deterministic order.
func checkReferences(doc *Document, sections map[string]*parsedSection) []Problem {
	c := &referenceChecker{doc: doc}
	names := make([]string, 0, len(sections))
	for n := range sections {
		names = append(names, n)
	}
	sort.Strings(names)
	sectionByKeyHash := map[string]string{}
	capacityByService := map[string]string{}
	for _, n := range names {
		p := sections[n]
		switch v := p.value.(type) {
		case *Service:
			c.checkService(p, v)
		case *Model:
			c.checkModel(p, v)
		case *Adapter:
			if doc.Models[v.Model] == nil {
				c.add(p, "model", "there is no section models.%s", v.Model)
			}
		case *Capacity:
			c.checkCapacity(p, v, capacityByService)
		case *Workspace:
			c.checkWorkspace(p, v, sectionByKeyHash)
		}
	}
	return c.problems
}

func (c *referenceChecker) checkService(p *parsedSection, s *Service) {
	if s.DefaultDeadlineMs > s.MaxDeadlineMs {
		c.add(p, "default_deadline_ms", "%d is above max_deadline_ms %d", s.DefaultDeadlineMs, s.MaxDeadlineMs)
	}
	if s.HeaderTimeoutMs > s.TotalTimeoutMs {
		c.add(p, "header_timeout_ms", "%d is above total_timeout_ms %d", s.HeaderTimeoutMs, s.TotalTimeoutMs)
	}
}

// checkModelService adds a problem unless name is the name of a model service.
func (c *referenceChecker) checkModelService(p *parsedSection, name string) {
	s := c.doc.Services[name]
	switch {
	case s == nil:
		c.add(p, "service", "there is no section services.%s", name)
	case s.Kind != ServiceKindModel:
		c.add(p, "service", "services.%s is of kind %q", name, s.Kind)
	}
}

func (c *referenceChecker) checkModel(p *parsedSection, m *Model) {
	c.checkModelService(p, m.Service)
	for _, a := range m.Adapters {
		ad := c.doc.Adapters[a]
		switch {
		case ad == nil:
			c.add(p, "adapters", "there is no section adapters.%s", a)
		case "models."+ad.Model != p.section:
			c.add(p, "adapters", "adapters.%s extends models.%s", a, ad.Model)
		}
	}
	if m.Replicas > 0 && m.PrefillReplicas+m.DecodeReplicas > m.Replicas {
		c.add(p, "prefill_replicas", "with decode_replicas this is above replicas %d", m.Replicas)
	}
}

func (c *referenceChecker) checkCapacity(p *parsedSection, v *Capacity, capacityByService map[string]string) {
	c.checkModelService(p, v.Service)
	if other, ok := capacityByService[v.Service]; ok {
		c.add(p, "service", "%s is about the same service", other)
	}
	capacityByService[v.Service] = p.section
	models := make([]string, 0, len(v.ServerShares))
	for m := range v.ServerShares {
		models = append(models, m)
	}
	sort.Strings(models)
	// The shares are added in a fixed order, because the sum of floats depends on it and
	// every instance has to reach the same verdict.
	sum := 0.0
	for _, m := range models {
		sum += v.ServerShares[m]
		if mod := c.doc.Models[m]; mod == nil || mod.Service != v.Service {
			c.add(p, "server_shares", "services.%s has no model %s", v.Service, m)
		}
	}
	if sum > 1+1e-9 {
		c.add(p, "server_shares", "the shares add up to %v", math.Round(sum*1e4)/1e4)
	}
}

func (c *referenceChecker) checkWorkspace(p *parsedSection, w *Workspace, sectionByKeyHash map[string]string) {
	for _, s := range w.Services {
		if c.doc.Services[s] == nil {
			c.add(p, "services", "there is no section services.%s", s)
		}
	}
	for _, h := range w.KeyHashes {
		if other, ok := sectionByKeyHash[h]; ok {
			c.add(p, "key_hashes", "%s has the key %s as well", other, h[:8])
		}
		sectionByKeyHash[h] = p.section
	}
}

// checkTransition returns the reasons why after may not follow before, although each may
// be valid on its own.
func checkTransition(before, after *Document, sections map[string]*parsedSection) []Problem {
	var problems []Problem
	add := func(key, format string, args ...any) {
		line := 0
		if p := sections["fleet"]; p != nil {
			line = p.line(key)
		}
		problems = append(problems, Problem{Section: "fleet", Line: line, Key: key, Reason: fmt.Sprintf(format, args...)})
	}
	if before.hasFleet && !after.hasFleet {
		add("", "the section cannot be removed")
		return problems
	}
	if f := before.Fleet.Format; after.Fleet.Format != f && after.Fleet.Format != f+1 {
		add("format", "can only go from %d to %d", f, f+1)
	}
	inUse := before.hasFleet || len(before.Workspaces) > 0
	if inUse && before.Fleet.Partitions != after.Fleet.Partitions {
		add("partitions", "is fixed at %d since the fleet was set up", before.Fleet.Partitions)
	}
	return problems
}

// ModelsOf returns the names of a service's models, sorted.
func (d *Document) ModelsOf(service string) []string {
	var names []string
	for n, m := range d.Models {
		if m.Service == service {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names
}

// SectionHeader returns the TOML table line of a section.
func SectionHeader(section string) string {
	kind, name := splitSectionName(section)
	switch {
	case name == "":
		return "[" + string(kind) + "]"
	case strings.Contains(name, "."):
		return fmt.Sprintf("[%s.%q]", kind, name)
	}
	return "[" + section + "]"
}
