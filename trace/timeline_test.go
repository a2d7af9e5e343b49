package trace_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/trace"
)

const logs = `
collected 1.0 ts=2026-01-11T10:52:01Z program=entry node=a event=start err=null
ts=2026-01-11T10:52:02Z program=entry node=a event=config_in_force config=3
ts=2026-01-11T10:52:03Z program=entry node=a event=config_in_force config=4
ts=2026-01-11T10:52:03Z program=entry node=b event=config_in_force config=3
ts=2026-01-11T10:52:04Z program=entry node=a event=upstream_listed upstream=i-1 draining=false
ts=2026-01-11T10:52:04Z program=entry node=a event=upstream_listed upstream=i-2 draining=false
ts=2026-01-11T10:52:05Z program=entry node=a topic=operators event=feed_lost err="store answered 503"
ts=2026-01-11T10:52:06Z program=entry node=a request=rq-1 event=attempt_failed upstream=i-1 detail="read \"x\": reset"
ts=2026-01-11T10:52:06Z program=entry node=a request=rq-2 event=answered upstream=i-2
ts=2026-01-11T10:52:07Z program=entry node=a event=upstream_gone upstream=i-1 why=removed
ts=2026-01-11T10:52:08Z program=entry node=a request=rq-1 event=refused reason=upstream_cut status=502
ts=2026-01-11T10:52:09Z program=entry node=b request=rq-3 event=attempt_failed upstream=i-2
ts=2026-01-11T10:52:10Z program=entry node=b event=start err=null
ts=2026-01-11T10:52:11Z program=entry node=b event=start err=null
`

// TestTimeline checks which lines the timeline of each request holds, and that an empty
// request id matches no line.
func TestTimeline(t *testing.T) {
	for _, tc := range []struct {
		request string
		want    []string // events, with those of context lines in brackets
	}{
		{"rq-1", []string{"[start]", "[config_in_force]", "[upstream_listed]", "[feed_lost]", "attempt_failed", "refused"}},
		{"rq-2", []string{"[start]", "[config_in_force]", "[upstream_listed]", "[feed_lost]", "answered"}},
		{"rq-3", []string{"[config_in_force]", "attempt_failed", "[start]"}},
		{"rq-4", nil},
		{"", nil},
	} {
		t.Run(tc.request, func(t *testing.T) {
			timeline, unreadable, err := trace.Timeline(strings.NewReader(logs), "")
			require.NoError(t, err)
			require.Empty(t, unreadable)
			require.Empty(t, timeline)
			var got []string
			timeline, _, err = trace.Timeline(strings.NewReader(logs), id.Request(tc.request))
			require.NoError(t, err)
			for _, l := range timeline {
				if l.Context {
					got = append(got, "["+l.Event+"]")
				} else {
					got = append(got, l.Event)
				}
			}
			require.Equal(t, tc.want, got)
			if tc.request == "rq-1" {
				require.Contains(t, timeline[1].Text, "config=4")
				require.Contains(t, timeline[2].Text, "upstream=i-1")
			}
		})
	}
}

// TestTimelineSkipsUnreadableLines checks that a line that cannot be parsed is reported
// with its number and does not hide the others.
func TestTimelineSkipsUnreadableLines(t *testing.T) {
	timeline, unreadable, err := trace.Timeline(strings.NewReader("ts=1 request=rq event=refused\nts=2 request=rq x=\"torn\n"), "rq")
	require.NoError(t, err)
	require.Len(t, timeline, 1)
	require.Len(t, unreadable, 1)
	require.Equal(t, 2, unreadable[0].Number)
}

// FuzzTimeline extracts timelines from any text. Every line about the request must be part
// of the text.
func FuzzTimeline(f *testing.F) {
	f.Add(logs, "rq-1")
	f.Fuzz(func(t *testing.T, text, rq string) {
		timeline, _, err := trace.Timeline(strings.NewReader(text), id.Request(rq))
		if err != nil {
			return
		}
		for _, l := range timeline {
			require.True(t, l.Context || strings.Contains(text, l.Text))
		}
	})
}
