package rule

// This file defines the reading of an attribute's value: names, durations, numbers,
// and names that other lines must define.

import (
	"strconv"
	"strings"
	"time"
)

// optional returns the attribute with the given key, or nil.
func (r *reader) optional(key string) *attribute {
	var found *attribute
	for _, a := range r.attrs[1:] {
		if a.key != key {
			continue
		}
		a.used = true
		if found != nil {
			r.errorf(a.keyColumn, "%s is given twice", key)
			continue
		}
		found = a
	}
	return found
}

func (r *reader) required(key string) *attribute {
	a := r.optional(key)
	if a == nil {
		r.errorf(r.attrs[0].keyColumn, "%s: expected %s=", r.attrs[0].key, key)
		return nil
	}
	if a.value == "" {
		r.errorf(a.valueColumn, "%s has no value", key)
		return nil
	}
	return a
}

func (r *reader) name(key string) string {
	if a := r.required(key); a != nil {
		return a.value
	}
	return ""
}

func (r *reader) text(key string) string {
	if a := r.optional(key); a != nil {
		return a.value
	}
	return ""
}

func (r *reader) duration(key string, otherwise time.Duration) time.Duration {
	a := r.optional(key)
	if a == nil {
		return otherwise
	}
	d, err := time.ParseDuration(a.value)
	if err != nil || d <= 0 {
		r.errorf(a.valueColumn, "bad %s %q: expected a duration above zero, such as 750ms", key, a.value)
	}
	return d
}

func (r *reader) positive(key string, otherwise float64) float64 {
	a := r.optional(key)
	if a == nil {
		return otherwise
	}
	f, err := strconv.ParseFloat(a.value, 64)
	if err != nil || !(f > 0) || f > 1e12 {
		r.errorf(a.valueColumn, "bad %s %q: expected a number above zero", key, a.value)
	}
	return f
}

// number01 reads a fraction, as 0.05 or as 5%.
func (r *reader) number01(key string) float64 {
	a := r.optional(key)
	if a == nil {
		return 0
	}
	text, percent := strings.CutSuffix(a.value, "%")
	f, err := strconv.ParseFloat(text, 64)
	if percent {
		f /= 100
	}
	if err != nil || !(f >= 0 && f <= 1) {
		r.errorf(a.valueColumn, "bad %s %q: expected a share from 0%% to 100%%", key, a.value)
	}
	return f
}

func (r *reader) integer(key string, otherwise, least int) int {
	a := r.optional(key)
	if a == nil {
		return otherwise
	}
	n, err := strconv.Atoi(a.value)
	if err != nil || n < least {
		r.errorf(a.valueColumn, "bad %s %q: expected a whole number from %d", key, a.value, least)
	}
	return n
}

// reference reads a name that the file must define.
func (r *reader) reference(key, what string, defined func(string) bool) string {
	a := r.optional(key)
	if a == nil {
		return ""
	}
	r.refs = append(r.refs, reference{
		line: r.number, column: a.valueColumn, what: what, name: a.value,
		defined: func() bool { return defined(a.value) },
	})
	return a.value
}

// list reads names separated by commas, each of which the file must define.
func list[T ~string](r *reader, key, what string, defined func(T) bool) []T {
	a := r.optional(key)
	if a == nil {
		return nil
	}
	var names []T
	column := a.valueColumn
	for _, n := range strings.Split(a.value, ",") {
		name := T(n)
		names = append(names, name)
		r.refs = append(r.refs, reference{
			line: r.number, column: column, what: what, name: n,
			defined: func() bool { return defined(name) },
		})
		column += len(n) + 1
	}
	return names
}
