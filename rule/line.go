package rule

// This file defines how a line is taken apart: comment, attributes, columns. The
// attributes are decoded by go-logfmt, which knows neither comments nor columns.

import (
	"errors"
	"strings"

	"github.com/go-logfmt/logfmt"
)

// splitComment cuts a line at the first # outside quotes. The column returned is
// that of the #, or of the end of the line.
func splitComment(text string) (body, comment string, column int) {
	quoted := false
	for i := 0; i < len(text); i++ {
		switch {
		case text[i] == '\\' && quoted:
			i++
		case text[i] == '"':
			quoted = !quoted
		case text[i] == '#' && !quoted:
			return text[:i], strings.TrimSpace(text[i+1:]), i + 1
		}
	}
	return text, "", len(text) + 1
}

// decode splits the body into attributes. It reports false on a syntax error.
func (r *reader) decode(body string) bool {
	r.attrs = r.attrs[:0]
	d := logfmt.NewDecoder(strings.NewReader(body))
	at := 0
	for d.ScanRecord() {
		for d.ScanKeyval() {
			key, value := string(d.Key()), string(d.Value())
			start := at + strings.Index(body[at:], key)
			a := &attribute{key: key, value: value, keyColumn: start + 1}
			at = start + len(key)
			if at < len(body) && body[at] == '=' {
				at++
			}
			a.valueColumn = at + 1
			at += rawLength(body[at:])
			r.attrs = append(r.attrs, a)
		}
	}
	var syntax *logfmt.SyntaxError
	switch err := d.Err(); {
	case errors.As(err, &syntax):
		r.errorf(syntax.Pos, "%s", syntax.Msg)
		return false
	case err != nil:
		r.errorf(1, "%v", err)
		return false
	}
	return len(r.attrs) > 0
}

// rawLength returns the length of the value at the start of s as written.
func rawLength(s string) int {
	if !strings.HasPrefix(s, `"`) {
		// As go-logfmt does, take a space and any control character for the end.
		if i := strings.IndexFunc(s, func(c rune) bool { return c <= ' ' }); i >= 0 {
			return i
		}
		return len(s)
	}
	for i := 1; i < len(s); i++ {
		switch s[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(s)
}
