package rule

// This file parses attribute values: names, durations, numbers, and references to names
// that other lines define.

import (
	"strconv"
	"strings"
	"time"
)

// optional returns the attribute with the given key, or nil. It reports an error if the
// key is repeated.
func (p *parser) optional(key string) *attribute {
	var found *attribute
	for _, a := range p.attributes[1:] {
		if a.key != key {
			continue
		}
		a.known = true
		if found != nil {
			p.errorf(a.keyColumn, "%s is given twice", key)
			continue
		}
		found = a
	}
	return found
}

// required returns the attribute with the given key. It reports an error and returns nil
// if the attribute is missing or empty.
func (p *parser) required(key string) *attribute {
	a := p.optional(key)
	if a == nil {
		p.errorf(p.attributes[0].keyColumn, "%s: expected %s=", p.attributes[0].key, key)
		return nil
	}
	if a.value == "" {
		p.errorf(a.valueColumn, "%s has no value", key)
		return nil
	}
	return a
}

func (p *parser) requiredString(key string) string {
	if a := p.required(key); a != nil {
		return a.value
	}
	return ""
}

func (p *parser) optionalString(key string) string {
	if a := p.optional(key); a != nil {
		return a.value
	}
	return ""
}

func (p *parser) duration(key string, defaultValue time.Duration) time.Duration {
	a := p.optional(key)
	if a == nil {
		return defaultValue
	}
	d, err := time.ParseDuration(a.value)
	if err != nil || d <= 0 {
		p.errorf(a.valueColumn, "bad %s %q: expected a duration above zero, such as 750ms", key, a.value)
	}
	return d
}

func (p *parser) positive(key string, defaultValue float64) float64 {
	a := p.optional(key)
	if a == nil {
		return defaultValue
	}
	f, err := strconv.ParseFloat(a.value, 64)
	if err != nil || !(f > 0) || f > 1e12 {
		p.errorf(a.valueColumn, "bad %s %q: expected a number above zero, at most 1e12", key, a.value)
	}
	return f
}

// fraction parses a number from 0 to 1, written as 0.05 or as 5%.
func (p *parser) fraction(key string) float64 {
	a := p.optional(key)
	if a == nil {
		return 0
	}
	text, percent := strings.CutSuffix(a.value, "%")
	f, err := strconv.ParseFloat(text, 64)
	if percent {
		f /= 100
	}
	if err != nil || !(f >= 0 && f <= 1) {
		p.errorf(a.valueColumn, "bad %s %q: expected a fraction from 0%% to 100%%", key, a.value)
	}
	return f
}

func (p *parser) integer(key string, defaultValue, minimum int) int {
	a := p.optional(key)
	if a == nil {
		return defaultValue
	}
	n, err := strconv.Atoi(a.value)
	if err != nil || n < minimum {
		p.errorf(a.valueColumn, "bad %s %q: expected a whole number from %d", key, a.value, minimum)
	}
	return n
}

// optionalReference returns the value of an optional attribute and records it as a
// reference to a name that the file must define.
func (p *parser) optionalReference(key, kind string, isDefined func(string) bool) string {
	a := p.optional(key)
	if a == nil {
		return ""
	}
	p.references = append(p.references, reference{
		line: p.lineNumber, column: a.valueColumn, kind: kind, name: a.value,
		isDefined: func() bool { return isDefined(a.value) },
	})
	return a.value
}

// referenceList parses an optional, comma-separated list of names, each of which the
// file must define.
func referenceList[T ~string](p *parser, key, kind string, isDefined func(T) bool) []T {
	a := p.optional(key)
	if a == nil {
		return nil
	}
	var names []T
	column := a.valueColumn
	for _, n := range strings.Split(a.value, ",") {
		name := T(n)
		names = append(names, name)
		p.references = append(p.references, reference{
			line: p.lineNumber, column: column, kind: kind, name: n,
			isDefined: func() bool { return isDefined(name) },
		})
		column += len(n) + 1
	}
	return names
}
