package rule

// This file defines the reading of a rules file: its faults, and one function for
// each kind of rule. Lines are taken apart in line.go, values read in value.go.

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/tier"
)

// Error is a fault at one place of a rules file.
type Error struct {
	File   string
	Line   int // counted from 1
	Column int // counted from 1, in bytes
	Detail string
}

// Error returns file:line:column: detail.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Detail)
}

// Errors is every fault of a file, in the order of their positions.
type Errors []*Error

// Error returns one fault a line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Parse returns the set of rules in text. File names the text in errors, which
// are of type Errors and hold every fault of the file.
func Parse(file, text string) (*Set, error) {
	r := &reader{file: file, set: newSet()}
	r.set.Text = text
	for i, line := range strings.Split(text, "\n") {
		r.line(i+1, line)
	}
	r.checkReferences()
	if len(r.errs) > 0 {
		slices.SortStableFunc(r.errs, func(a, b *Error) int {
			if a.Line != b.Line {
				return a.Line - b.Line
			}
			return a.Column - b.Column
		})
		return nil, r.errs
	}
	return r.set, nil
}

// attribute is one key=value pair and where it stands.
type attribute struct {
	key, value  string
	keyColumn   int
	valueColumn int
	used        bool
}

// reference is a name that must be defined somewhere in the file.
type reference struct {
	line, column int
	what, name   string
	defined      func() bool
}

type reader struct {
	file string
	set  *Set
	errs Errors
	refs []reference

	// The line being read.
	number int
	attrs  []*attribute
}

func (r *reader) errorf(column int, format string, args ...any) {
	r.errs = append(r.errs, &Error{File: r.file, Line: r.number, Column: column, Detail: fmt.Sprintf(format, args...)})
}

// line reads one line into the set.
func (r *reader) line(number int, text string) {
	r.number = number
	body, comment, commentColumn := splitComment(strings.TrimRight(text, "\r"))
	if strings.TrimSpace(body) == "" {
		return
	}
	if !r.decode(body) {
		return
	}
	if comment == "" {
		r.errorf(commentColumn, "missing comment: expected \"# who asked for it\"")
	}
	kind := r.attrs[0]
	if kind.value != "" {
		r.errorf(kind.keyColumn, "expected a kind of rule, got %s=%s", kind.key, kind.value)
		return
	}
	kind.used = true
	meta := Meta{Line: number, Comment: comment}
	r.kind(kind, meta)
	r.rejectUnused()
}

// kind reads the attributes of one rule.
func (r *reader) kind(kind *attribute, m Meta) {
	switch kind.key {
	case "class":
		r.class(m)
	case "route":
		r.route(m)
	case "workspace":
		r.workspace(m)
	case "model":
		r.model(m)
	case "upstream":
		r.upstream(m)
	case "drain":
		r.drain(m)
	case "fleet":
		r.fleet(m)
	default:
		r.errorf(kind.keyColumn, "unknown kind %q: expected class, route, workspace, model, upstream, drain or fleet", kind.key)
		for _, a := range r.attrs {
			a.used = true
		}
	}
}

func (r *reader) class(m Meta) {
	c := &Class{Meta: m, Name: id.Class(r.name("name")), MaxWait: 30 * time.Second}
	if a := r.required("tier"); a != nil {
		t, err := tier.Parse(a.value)
		if err != nil {
			r.errorf(a.valueColumn, "%v: expected platinum, gold, silver or bronze", err)
		}
		c.Tier = t
	}
	c.TTFT = r.duration("ttft", 0)
	c.TokenGap = r.duration("gap", 0)
	c.Deadline = r.duration("deadline", 0)
	c.MaxWait = r.duration("wait", c.MaxWait)
	c.Floor = r.number01("floor")
	define(r, r.set.Classes, c.Name, c)
}

func (r *reader) route(m Meta) {
	t := &Route{Meta: m, Name: id.Route(r.name("name")), Repeat: RepeatIdempotent}
	t.Service = id.Service(r.text("service"))
	t.Method = strings.ToUpper(r.text("method"))
	t.Path = r.text("path")
	t.Classes = list[id.Class](r, "classes", "class", func(c id.Class) bool { return r.set.Classes[c] != nil })
	if len(t.Classes) == 0 {
		r.errorf(r.attrs[0].keyColumn, "route %q: expected classes=", t.Name)
	}
	t.Workspaces = list[id.Workspace](r, "workspaces", "workspace", func(w id.Workspace) bool { return r.set.Workspaces[w] != nil })
	if a := r.optional("repeat"); a != nil {
		t.Repeat = RepeatPolicy(a.value)
		if t.Repeat != RepeatIdempotent && t.Repeat != RepeatNever {
			r.errorf(a.valueColumn, "unknown repeat %q: expected idempotent or never", a.value)
		}
	}
	if define(r, r.set.Routes, t.Name, t) {
		r.set.routeOrder = append(r.set.routeOrder, t)
	}
}

func (r *reader) workspace(m Meta) {
	w := &Workspace{Meta: m, Name: id.Workspace(r.name("name")), Burst: 5 * time.Second}
	w.Weight = r.positive("share", 1)
	w.RequestsPerSecond = r.positive("requests", 0)
	w.TokensPerSecond = r.positive("tokens", 0)
	w.Burst = r.duration("burst", w.Burst)
	define(r, r.set.Workspaces, w.Name, w)
}

func (r *reader) model(m Meta) {
	d := &Model{Meta: m, Name: id.Model(r.name("name"))}
	d.Context = id.Tokens(r.integer("context", 8192, 1))
	define(r, r.set.Models, d.Name, d)
}

func (r *reader) upstream(m Meta) {
	u := &Upstream{Meta: m, Fencing: FencingIgnores}
	u.Name = id.Upstream(r.text("name"))
	u.Service = id.Service(r.text("service"))
	u.Model = id.Model(r.reference("model", "model", func(n string) bool { return r.set.Models[id.Model(n)] != nil }))
	if u.Name == "" && u.Service == "" && u.Model == "" {
		r.errorf(r.attrs[0].keyColumn, "upstream: expected name=, model= or service=")
	}
	u.MaxConcurrency = r.integer("concurrency", 0, 1)
	u.InitialLimit = r.integer("initial", 0, 1)
	if a := r.optional("fencing"); a != nil {
		u.Fencing = Fencing(a.value)
		if u.Fencing != FencingChecks && u.Fencing != FencingIgnores {
			r.errorf(a.valueColumn, "unknown fencing %q: expected checks or ignores", a.value)
		}
	}
	r.set.Upstreams = append(r.set.Upstreams, u)
}

func (r *reader) drain(m Meta) {
	d := &Drain{Meta: m, DataCentre: id.DataCentre(r.name("data_centre"))}
	define(r, r.set.Drains, d.DataCentre, d)
}

func (r *reader) fleet(m Meta) {
	f := &Fleet{Meta: m, DataCentre: id.DataCentre(r.name("data_centre"))}
	f.Model = id.Model(r.reference("model", "model", func(n string) bool { return r.set.Models[id.Model(n)] != nil }))
	f.Min = r.integer("min", 0, 0)
	f.Max = r.integer("max", f.Min, 0)
	if f.Max < f.Min {
		r.errorf(r.attrs[0].keyColumn, "fleet: max %d is below min %d", f.Max, f.Min)
	}
	r.set.Fleets = append(r.set.Fleets, f)
}

// define adds a rule under its name; a name may be defined once.
func define[K ~string, V Rule](r *reader, m map[K]V, name K, v V) bool {
	if name == "" {
		return false
	}
	if old, ok := m[name]; ok {
		r.errorf(r.attrs[0].keyColumn, "%s %q is already defined on line %d", r.attrs[0].key, name, old.meta().Line)
		return false
	}
	m[name] = v
	return true
}

func (r *reader) rejectUnused() {
	for _, a := range r.attrs {
		if !a.used {
			r.errorf(a.keyColumn, "%s: unknown attribute %q", r.attrs[0].key, a.key)
		}
	}
}

func (r *reader) checkReferences() {
	for _, ref := range r.refs {
		if ref.defined() {
			continue
		}
		r.number = ref.line
		r.errorf(ref.column, "unknown %s %q", ref.what, ref.name)
	}
}
