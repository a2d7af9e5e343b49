package trace

// This file defines Story, which finds in the logs of processes what was decided about a
// request, and what the processes believed when they decided.

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/go-logfmt/logfmt"

	"github.com/ragwortpass/ragwortpass/id"
)

// LogLine is one line of a log.
type LogLine struct {
	At    string // as it was logged, in RFC 3339
	Node  id.Node
	Event string
	Text  string // the whole line
	// Context marks what a process had logged before about what a decision rests on: its
	// configuration, its topics, the upstreams, and whether it was about to end.
	Context bool
}

// LineError says which line of a log could not be read.
type LineError struct {
	Number int // from 1
	Err    error
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d of the log: %v", e.Number, e.Err) }

// Unwrap returns what was wrong with the line.
func (e *LineError) Unwrap() error { return e.Err }

// maxLine bounds a line, in bytes: the longest name a URL and an error.
const maxLine = 1 << 20

// beliefs are the events that say what a process believes, each with the fields that tell
// one belief from another. A later one replaces an earlier.
var beliefs = map[string]struct{ matter, field string }{
	"start": {"life", ""}, "leaving": {"life", ""}, "stop": {"life", ""},
	"config_in_force": {"config", ""}, "evacuation": {"evacuation", "data_centre"},
	"feed_lost": {"feed", "topic"}, "feed_regained": {"feed", "topic"}, "feed_adopted": {"feed", "topic"}, "feed_copy_taken": {"feed", "topic"},
	"upstream_listed": {"upstream", "upstream"}, "upstream_gone": {"upstream", "upstream"},
}

// Timeline returns the lines about a request in the order of their times, with the last
// belief of each kind that its nodes had logged before the first of them, and the next
// start of a node that logged no end of it. Logs of several processes may be mixed. Lines
// that cannot be read are left out and named.
func Timeline(logs io.Reader, rq id.Request) (story []LogLine, unreadable []*LineError, err error) {
	type matter struct {
		node id.Node
		what string
		of   string
	}
	last := make(map[matter]LogLine)
	upstreams := make(map[string]bool)
	open := make(map[id.Node]map[matter]LogLine) // nodes that took the request, with what they believed
	ended := make(map[id.Node]bool)
	lines := bufio.NewScanner(logs)
	lines.Buffer(nil, maxLine)
	for number := 1; lines.Scan(); number++ {
		text := lines.Text()
		fields, err := fieldsOf(text)
		if err != nil {
			unreadable = append(unreadable, &LineError{Number: number, Err: err})
			continue
		}
		l := LogLine{At: fields["ts"], Node: id.Node(fields["node"]), Event: fields["event"], Text: text}
		switch belief, is := beliefs[l.Event]; {
		case fields["request"] == string(rq) && rq != "":
			if open[l.Node] == nil {
				open[l.Node] = make(map[matter]LogLine)
				for m, b := range last {
					if m.node == l.Node {
						open[l.Node][m] = b
					}
				}
			}
			upstreams[fields["upstream"]] = true
			ended[l.Node] = l.Event == "answered" || l.Event == "refused" || l.Event == "cut"
			story = append(story, l)
		case is:
			l.Context = true
			last[matter{l.Node, belief.matter, fields[belief.field]}] = l
			if open[l.Node] != nil && !ended[l.Node] && l.Event == "start" {
				story = append(story, l)
				ended[l.Node] = true
			}
		}
	}
	if err := lines.Err(); err != nil {
		return nil, unreadable, err
	}
	for _, held := range open {
		for m, b := range held {
			if m.what != "upstream" || upstreams[m.of] {
				story = append(story, b)
			}
		}
	}
	slices.SortStableFunc(story, func(a, b LogLine) int { return cmp.Compare(a.At, b.At) })
	return story, unreadable, nil
}

// fieldsOf returns the fields of a line. Text before the first key is left out, such as
// a prefix that a collector of logs adds.
func fieldsOf(text string) (map[string]string, error) {
	if at := strings.Index(text, "ts="); at > 0 {
		text = text[at:]
	}
	fields := make(map[string]string)
	d := logfmt.NewDecoder(strings.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			fields[string(d.Key())] = string(d.Value())
		}
	}
	return fields, d.Err()
}
