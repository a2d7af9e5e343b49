package bench_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/bench"
	"github.com/ragwortpass/ragwortpass/examples"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/rule"
)

var start = time.Date(2026, 12, 4, 3, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// parseSpans parses a trace with a line for each request: class, arrival, and either
// "ran", start, end, upstream and perhaps "preempted", or "shed", time and reason.
// Times are in milliseconds.
func parseSpans(t *testing.T, set *rule.Set, text string) []bench.RequestSpan {
	var list []bench.RequestSpan
	for i, line := range strings.Split(strings.TrimSpace(text), "\n") {
		f := strings.Fields(line)
		c := set.Classes[id.Class(f[0])]
		require.NotNil(t, c, line)
		s := bench.RequestSpan{Request: id.Request(strconv.Itoa(i)), Class: c.Name, Tier: c.Tier, Arrived: at(parseInt(t, f[1]))}
		s.LatestBegin = s.Arrived.Add(c.MaxWait)
		switch f[2] {
		case "ran":
			s.Began, s.Ended, s.Upstream = at(parseInt(t, f[3])), at(parseInt(t, f[4])), id.Upstream(f[5])
			s.Preempted = len(f) > 6
		case "shed":
			s.ShedAt, s.Reason = at(parseInt(t, f[3])), problem.Reason(f[4])
		}
		list = append(list, s)
	}
	return list
}

func parseInt(t *testing.T, text string) int {
	n, err := strconv.Atoi(text)
	require.NoError(t, err)
	return n
}

// TestCheckPriorities guards against a check that misses a request which was shed or
// preempted in favour of one of a lower tier, or that reports one which was not.
func TestCheckPriorities(t *testing.T) {
	set, err := rule.Parse("hingeworks", examples.Hingeworks)
	require.NoError(t, err)
	cases := []struct {
		name, trace string           // the trace has the format of parseSpans
		inversions  int              // expected number
		overtakes   map[id.Class]int // expected; nil: none
	}{
		{"in order", "counter 0 ran 10 500 a\nclerk 0 ran 20 500 a", 0, nil},
		{"lower shed", "counter 0 ran 10 500 a\nclerk 0 shed 3000 deadline_exceeded", 0, nil},
		{"higher shed while a lower one started", "counter 0 shed 3000 deadline_exceeded\nclerk 0 ran 1000 1500 a", 1, map[id.Class]int{"clerk": 1}},
		{"lower started within the transit time", "counter 1000 shed 4000 deadline_exceeded\nclerk 0 ran 1050 1500 a", 0, nil},
		{"shed while one of the same tier started", "counter 0 shed 3000 deadline_exceeded\ncounter 0 ran 1000 1500 a", 0, nil},
		{"deadline_hopeless although a lower one started in time", "counter 0 shed 1 deadline_hopeless\nclerk 0 ran 2000 2500 a", 1, nil},
		{"deadline_hopeless and a lower one started too late for it", "counter 0 shed 1 deadline_hopeless\nclerk 0 ran 3500 4000 a", 0, nil},
		{"queue full while a lower one waits", "counter 500 shed 501 queue_full\nclerk 0 ran 1000 2500 a", 1, nil},
		{"refused by its workspace limit", "counter 0 shed 1 workspace_limit\nclerk 0 ran 1000 2500 a", 0, nil},
		{"preempted while a lower one goes on", "foreman 0 ran 10 1000 a preempted\nclerk 0 ran 10 2000 a", 1, nil},
		{"preempted while its own tier goes on", "foreman 0 ran 10 1000 a preempted\nforeman 0 ran 10 2000 a", 0, nil},
		{"preempted at another engine", "foreman 0 ran 10 1000 a preempted\nclerk 0 ran 10 2000 b", 0, nil},
		{"started after a lower one that overtook it", "counter 0 ran 2000 2500 a\nclerk 0 ran 1000 1500 a", 0, map[id.Class]int{"clerk": 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			spans := parseSpans(t, set, c.trace)
			for i := range spans {
				if spans[i].Reason == problem.WorkspaceLimit {
					spans[i].ShedAt = time.Time{} // RequestSpans does not count it as shed
				}
			}
			p := bench.CheckPriorities(spans)
			require.Len(t, p.Inversions, c.inversions)
			if c.overtakes == nil {
				c.overtakes = map[id.Class]int{}
			}
			require.Equal(t, c.overtakes, p.Overtakes)
		})
	}
}

// TestBeyondFloor guards against overtakes that count as excess although the floor of
// their class allows them.
func TestBeyondFloor(t *testing.T) {
	set, err := rule.Parse("hingeworks", examples.Hingeworks)
	require.NoError(t, err)
	p := &bench.PriorityReport{
		ContendedStarts: map[id.Class]int{"counter": 80, "foreman": 15, "clerk": 5},
		Overtakes:       map[id.Class]int{"foreman": 10, "clerk": 5},
	}
	require.InDelta(t, 0.02, p.BeyondFloor(set), 1e-9) // the clerks' floor allows 3 of 100
}
