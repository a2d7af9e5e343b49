package rule

// This file defines the parser of a rules file, its errors, and one parse function for
// each kind of rule. line.go splits lines, value.go parses values.

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/tier"
)

// Error describes an error at one position of a rules file.
type Error struct {
	File   string
	Line   int // starts at 1
	Column int // in bytes, starts at 1
	Detail string
}

// Error implements error. The message has the form file:line:column: detail.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Detail)
}

// Errors holds all errors of a file, ordered by position.
type Errors []*Error

// Error implements error. The message has one line per error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Parse parses the text of a rules file. Error messages refer to it by the given file
// name. A non-nil error is of type Errors and holds all errors of the file.
func Parse(file, text string) (*Set, error) {
	p := &parser{file: file, set: newSet()}
	p.set.Text = text
	for i, line := range strings.Split(text, "\n") {
		p.parseLine(i+1, line)
	}
	p.checkReferences()
	if len(p.errors) > 0 {
		slices.SortStableFunc(p.errors, func(a, b *Error) int {
			if a.Line != b.Line {
				return a.Line - b.Line
			}
			return a.Column - b.Column
		})
		return nil, p.errors
	}
	return p.set, nil
}

// attribute is a key=value pair with its position in the line.
type attribute struct {
	key, value  string
	keyColumn   int
	valueColumn int
	known       bool // the kind of the rule has an attribute with this key
}

// reference is the use of a name that a rule anywhere in the file must define.
type reference struct {
	line, column int
	kind, name   string
	isDefined    func() bool
}

// parser parses a rules file into a set and collects the errors.
type parser struct {
	file       string
	set        *Set
	errors     Errors
	references []reference

	// The line being parsed.
	lineNumber int
	attributes []*attribute
}

func (p *parser) errorf(column int, format string, args ...any) {
	p.errors = append(p.errors, &Error{File: p.file, Line: p.lineNumber, Column: column, Detail: fmt.Sprintf(format, args...)})
}

// parseLine parses one line and adds its rule to the set.
func (p *parser) parseLine(number int, text string) {
	p.lineNumber = number
	body, comment, commentColumn := splitComment(strings.TrimRight(text, "\r"))
	if strings.TrimSpace(body) == "" {
		return
	}
	if !p.decodeAttributes(body) {
		return
	}
	if comment == "" {
		p.errorf(commentColumn, "missing comment: expected \"# who asked for it\"")
	}
	kind := p.attributes[0]
	if kind.value != "" {
		p.errorf(kind.keyColumn, "expected a kind of rule, got %s=%s", kind.key, kind.value)
		return
	}
	kind.known = true
	meta := Meta{Line: number, Comment: comment}
	p.parseRule(kind, meta)
	p.rejectUnknownAttributes()
}

// parseRule parses the attributes of a rule of the given kind.
func (p *parser) parseRule(kind *attribute, m Meta) {
	switch kind.key {
	case "class":
		p.parseClass(m)
	case "route":
		p.parseRoute(m)
	case "workspace":
		p.parseWorkspace(m)
	case "model":
		p.parseModel(m)
	case "upstream":
		p.parseUpstream(m)
	case "drain":
		p.parseDrain(m)
	case "fleet":
		p.parseFleet(m)
	default:
		p.errorf(kind.keyColumn, "unknown kind %q: expected class, route, workspace, model, upstream, drain or fleet", kind.key)
		for _, a := range p.attributes {
			a.known = true
		}
	}
}

func (p *parser) parseClass(m Meta) {
	c := &Class{Meta: m, Name: id.Class(p.requiredString("name")), MaxWait: 30 * time.Second}
	if a := p.required("tier"); a != nil {
		t, err := tier.Parse(a.value)
		if err != nil {
			p.errorf(a.valueColumn, "%v: expected platinum, gold, silver or bronze", err)
		}
		c.Tier = t
	}
	c.TTFT = p.duration("ttft", 0)
	c.TokenGap = p.duration("gap", 0)
	c.Deadline = p.duration("deadline", 0)
	c.MaxWait = p.duration("wait", c.MaxWait)
	c.Floor = p.fraction("floor")
	define(p, p.set.Classes, c.Name, c)
}

func (p *parser) parseRoute(m Meta) {
	route := &Route{Meta: m, Name: id.Route(p.requiredString("name")), Repeat: RepeatIdempotent}
	route.Service = id.Service(p.optionalString("service"))
	route.Method = strings.ToUpper(p.optionalString("method"))
	route.Path = p.optionalString("path")
	route.Classes = referenceList[id.Class](p, "classes", "class", func(c id.Class) bool { return p.set.Classes[c] != nil })
	if len(route.Classes) == 0 {
		p.errorf(p.attributes[0].keyColumn, "route %q: expected classes=", route.Name)
	}
	route.Workspaces = referenceList[id.Workspace](p, "workspaces", "workspace", func(w id.Workspace) bool { return p.set.Workspaces[w] != nil })
	if a := p.optional("repeat"); a != nil {
		route.Repeat = RepeatPolicy(a.value)
		if route.Repeat != RepeatIdempotent && route.Repeat != RepeatNever {
			p.errorf(a.valueColumn, "unknown repeat %q: expected idempotent or never", a.value)
		}
	}
	if define(p, p.set.Routes, route.Name, route) {
		p.set.routes = append(p.set.routes, route)
	}
}

func (p *parser) parseWorkspace(m Meta) {
	w := &Workspace{Meta: m, Name: id.Workspace(p.requiredString("name")), Burst: 5 * time.Second}
	w.Weight = p.positive("share", 1)
	w.RequestsPerSecond = p.positive("requests", 0)
	w.TokensPerSecond = p.positive("tokens", 0)
	w.Burst = p.duration("burst", w.Burst)
	define(p, p.set.Workspaces, w.Name, w)
}

func (p *parser) parseModel(m Meta) {
	model := &Model{Meta: m, Name: id.Model(p.requiredString("name"))}
	model.Context = id.Tokens(p.integer("context", 8192, 1))
	define(p, p.set.Models, model.Name, model)
}

func (p *parser) parseUpstream(m Meta) {
	u := &Upstream{Meta: m, Fencing: FencingIgnores}
	u.Name = id.Upstream(p.optionalString("name"))
	u.Service = id.Service(p.optionalString("service"))
	u.Model = id.Model(p.optionalReference("model", "model", func(n string) bool { return p.set.Models[id.Model(n)] != nil }))
	if u.Name == "" && u.Service == "" && u.Model == "" {
		p.errorf(p.attributes[0].keyColumn, "upstream: expected name=, model= or service=")
	}
	u.MaxConcurrency = p.integer("concurrency", 0, 1)
	u.InitialLimit = p.integer("initial", 0, 1)
	if a := p.optional("fencing"); a != nil {
		u.Fencing = Fencing(a.value)
		if u.Fencing != FencingChecks && u.Fencing != FencingIgnores {
			p.errorf(a.valueColumn, "unknown fencing %q: expected checks or ignores", a.value)
		}
	}
	p.set.Upstreams = append(p.set.Upstreams, u)
}

func (p *parser) parseDrain(m Meta) {
	d := &Drain{Meta: m, DataCentre: id.DataCentre(p.requiredString("data_centre"))}
	define(p, p.set.Drains, d.DataCentre, d)
}

func (p *parser) parseFleet(m Meta) {
	f := &Fleet{Meta: m, DataCentre: id.DataCentre(p.requiredString("data_centre"))}
	f.Model = id.Model(p.optionalReference("model", "model", func(n string) bool { return p.set.Models[id.Model(n)] != nil }))
	f.Min = p.integer("min", 0, 0)
	f.Max = p.integer("max", f.Min, 0)
	if f.Max < f.Min {
		p.errorf(p.attributes[0].keyColumn, "fleet: max %d is below min %d", f.Max, f.Min)
	}
	p.set.Fleets = append(p.set.Fleets, f)
}

// define adds a rule under its name, which must be unique among rules of its kind. It
// returns false if the name is empty or already defined.
func define[K ~string, V Rule](p *parser, defined map[K]V, name K, rule V) bool {
	if name == "" {
		return false
	}
	if old, ok := defined[name]; ok {
		p.errorf(p.attributes[0].keyColumn, "%s %q is already defined on line %d", p.attributes[0].key, name, old.meta().Line)
		return false
	}
	defined[name] = rule
	return true
}

func (p *parser) rejectUnknownAttributes() {
	for _, a := range p.attributes {
		if !a.known {
			p.errorf(a.keyColumn, "%s: unknown attribute %q", p.attributes[0].key, a.key)
		}
	}
}

func (p *parser) checkReferences() {
	for _, ref := range p.references {
		if ref.isDefined() {
			continue
		}
		p.lineNumber = ref.line
		p.errorf(ref.column, "unknown %s %q", ref.kind, ref.name)
	}
}
