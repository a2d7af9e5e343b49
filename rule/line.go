package rule

// This file splits a line into attributes and a comment and determines their columns.
// go-logfmt decodes the attributes, but supports neither comments nor columns.

import (
	"errors"
	"strings"

	"github.com/go-logfmt/logfmt"
)

// splitComment splits a line at the first # outside quotes. It returns the column of
// the #, or the column after the last byte if the line has no comment.
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

// decodeAttributes splits the body into attributes. It returns false on a syntax error
// or if there are no attributes.
func (p *parser) decodeAttributes(body string) bool {
	p.attributes = p.attributes[:0]
	decoder := logfmt.NewDecoder(strings.NewReader(body))
	offset := 0
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key, value := string(decoder.Key()), string(decoder.Value())
			start := offset + strings.Index(body[offset:], key)
			a := &attribute{key: key, value: value, keyColumn: start + 1}
			offset = start + len(key)
			if offset < len(body) && body[offset] == '=' {
				offset++
			}
			a.valueColumn = offset + 1
			offset += rawValueLength(body[offset:])
			p.attributes = append(p.attributes, a)
		}
	}
	var syntax *logfmt.SyntaxError
	switch err := decoder.Err(); {
	case errors.As(err, &syntax):
		p.errorf(syntax.Pos, "%s", syntax.Msg)
		return false
	case err != nil:
		p.errorf(1, "%v", err)
		return false
	}
	return len(p.attributes) > 0
}

// rawValueLength returns the length of the value at the start of s in its source form,
// quotes and escapes included.
func rawValueLength(s string) int {
	if !strings.HasPrefix(s, `"`) {
		// Like go-logfmt, end the value at a space or any control character.
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
