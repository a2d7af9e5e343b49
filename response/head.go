// Package response decides which bytes are a response of HTTP/1 and where it is complete.
//
// The library's reader lets heads through on which readers differ, and takes the end of a connection for
// that of a response without a length, whatever ended it. Read is for those who have the connection;
// Transport for those who use the library's client.
package response

// This file defines the lines that the head and the trailer of a response may have.

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
)

// maxShownBytes limits what errors repeat of a line.
const maxShownBytes = 64

// Part is a part of a response.
type Part string

// The parts of a response. Head and Trailer consist of lines.
const (
	Head    Part = "head"
	Body    Part = "body"
	Trailer Part = "trailer"
)

// HeadError reports a line that no response of HTTP may have. Readers differ on what it means, so that
// nothing else in its response counts.
type HeadError struct {
	Part  Part
	Line  string // begins as the line does
	Fault string // what is wrong with it
}

func (e *HeadError) Error() string {
	return fmt.Sprintf("invalid response %s: %s in line %q", e.Part, e.Fault, e.Line)
}

func newHeadError(part Part, line []byte, format string, args ...any) *HeadError {
	return &HeadError{Part: part, Line: string(line[:min(len(line), maxShownBytes)]), Fault: fmt.Sprintf(format, args...)}
}

// trimLineEnd returns a line without the bytes that end it.
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

const (
	versionPrefix = "HTTP/1."
	versionBytes  = len(versionPrefix) + 1 // one digit follows
	statusDigits  = 3
	// minStatus and maxStatus bound the statuses that HTTP has.
	minStatus = 100
	maxStatus = 599
)

// checkStatusLine returns an error if a line, without its end, is not the first of a response.
func checkStatusLine(line []byte) error {
	version, rest, spaced := bytes.Cut(line, []byte(" "))
	if len(version) != versionBytes || !bytes.HasPrefix(version, []byte(versionPrefix)) || !isDigit(version[versionBytes-1]) {
		return newHeadError(Head, line, "no version %s0 to %s9", versionPrefix, versionPrefix)
	}
	status, reason, _ := bytes.Cut(rest, []byte(" "))
	code := 0
	for _, c := range status {
		if !isDigit(c) {
			return newHeadError(Head, line, "no status of %d digits", statusDigits)
		}
		code = min(code*10+int(c-'0'), maxStatus+1)
	}
	switch {
	case !spaced || len(status) != statusDigits:
		return newHeadError(Head, line, "no status of %d digits", statusDigits)
	case code < minStatus || code > maxStatus:
		return newHeadError(Head, line, "a status outside of %d to %d", minStatus, maxStatus)
	}
	return checkValue(Head, line, reason)
}

// checkField returns an error if a line, without its end, is not a field, and otherwise the field's name.
func checkField(part Part, line []byte) (name []byte, err error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found {
		return nil, newHeadError(part, line, "no colon")
	}
	if err := checkName(part, line, name); err != nil {
		return nil, err
	}
	return name, checkValue(part, line, value)
}

// checkName returns an error if the name of a field is no token.
func checkName(part Part, line, name []byte) error {
	if len(name) == 0 {
		return newHeadError(part, line, "no name")
	}
	for _, c := range name {
		if !isTokenByte(c) {
			return newHeadError(part, line, "byte %#02x in a name", c)
		}
	}
	return nil
}

// checkValue returns an error if a text has a control byte.
func checkValue(part Part, line, value []byte) error {
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return newHeadError(part, line, "byte %#02x in a value", c)
		}
	}
	return nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isTokenByte reports whether a token of HTTP may have a byte.
func isTokenByte(c byte) bool {
	return isDigit(c) || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || c != 0 && strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// CheckStatus returns an error if HTTP does not have a status.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return &HeadError{Part: Head, Line: fmt.Sprintf("%03d", status), Fault: fmt.Sprintf("a status outside of %d to %d", minStatus, maxStatus)}
	}
	return nil
}

// CheckFields returns an error if a field that the library has read has a name or a value that HTTP does
// not allow.
func CheckFields(part Part, h http.Header) error {
	for name, values := range h {
		if err := checkName(part, []byte(name), []byte(name)); err != nil {
			return err
		}
		for _, v := range values {
			if err := checkValue(part, []byte(name), []byte(v)); err != nil {
				return err
			}
		}
	}
	return nil
}
