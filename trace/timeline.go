package trace

// This file defines Timeline, which extracts from the logs of processes the lines about a
// request and the state of the processes at that time.

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

// LogLine is a parsed line of a process log.
type LogLine struct {
	At    string // timestamp in RFC 3339, as logged
	Node  id.Node
	Event string
	Text  string // the whole line
	// Context marks a line that is not about the request but about state that decisions
	// depend on: the configuration, topics and upstreams of the process, and whether it
	// was starting or shutting down.
	Context bool
}

// LineError reports a line of a log that could not be parsed.
type LineError struct {
	Number int // from 1
	Err    error
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d of the log: %v", e.Number, e.Err) }

// Unwrap returns the parse error.
func (e *LineError) Unwrap() error { return e.Err }

// maxLineBytes bounds the length of a line. The longest lines hold a URL and an error.
const maxLineBytes = 1 << 20

// contextEvents are the events that log the state of a process, each with the kind of
// its subject and, if there can be several subjects of the kind, the log field that
// names the subject. A later event replaces an earlier one about the same subject.
var contextEvents = map[string]struct{ subject, field string }{
	"start": {"life", ""}, "leaving": {"life", ""}, "stop": {"life", ""},
	"config_in_force": {"config", ""}, "evacuation": {"evacuation", "data_centre"},
	"feed_lost": {"feed", "topic"}, "feed_regained": {"feed", "topic"}, "feed_adopted": {"feed", "topic"}, "feed_copy_taken": {"feed", "topic"},
	"upstream_listed": {"upstream", "upstream"}, "upstream_gone": {"upstream", "upstream"},
}

// Timeline returns the lines about a request, sorted by time. For each node that logged
// the request, they include the last context line about each subject before the node's
// first line about the request, and the next start of the node if it logged no end of the
// request. Context lines about other upstreams than those of the request are left out.
// The logs of several processes may be mixed. Lines that cannot be parsed are skipped and
// returned as errors. The error err means that logs could not be read to the end, for
// example because of a line longer than maxLineBytes.
func Timeline(logs io.Reader, rq id.Request) (timeline []LogLine, unreadable []*LineError, err error) {
	type subject struct {
		node id.Node
		kind string
		name string
	}
	latest := make(map[subject]LogLine)
	upstreams := make(map[string]bool)
	requestContext := make(map[id.Node]map[subject]LogLine) // context lines of each node that logged the request
	ended := make(map[id.Node]bool)
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		text := scanner.Text()
		fields, err := parseFields(text)
		if err != nil {
			unreadable = append(unreadable, &LineError{Number: number, Err: err})
			continue
		}
		l := LogLine{At: fields["ts"], Node: id.Node(fields["node"]), Event: fields["event"], Text: text}
		switch event, isContext := contextEvents[l.Event]; {
		case fields["request"] == string(rq) && rq != "":
			if requestContext[l.Node] == nil {
				requestContext[l.Node] = make(map[subject]LogLine)
				for key, line := range latest {
					if key.node == l.Node {
						requestContext[l.Node][key] = line
					}
				}
			}
			upstreams[fields["upstream"]] = true
			ended[l.Node] = l.Event == "answered" || l.Event == "refused" || l.Event == "cut"
			timeline = append(timeline, l)
		case isContext:
			l.Context = true
			latest[subject{l.Node, event.subject, fields[event.field]}] = l
			if requestContext[l.Node] != nil && !ended[l.Node] && l.Event == "start" {
				timeline = append(timeline, l)
				ended[l.Node] = true
			}
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, unreadable, err
	}
	for _, lines := range requestContext {
		for key, line := range lines {
			if key.kind != "upstream" || upstreams[key.name] {
				timeline = append(timeline, line)
			}
		}
	}
	slices.SortStableFunc(timeline, func(a, b LogLine) int { return cmp.Compare(a.At, b.At) })
	return timeline, unreadable, nil
}

// parseFields returns the fields of a line. It skips text before the ts key, such as a
// prefix that a log collector added.
func parseFields(text string) (map[string]string, error) {
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
