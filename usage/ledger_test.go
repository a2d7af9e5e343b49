package usage_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ragwortpass/ragwortpass/id"
	_ "github.com/ragwortpass/ragwortpass/ragworttest/fixedseed"
	"github.com/ragwortpass/ragwortpass/usage"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// count is a counted record, and whether a close has billed it.
type count struct {
	window usage.Window
	lines  usage.Lines
	billed bool
}

// referenceLedger is the reference implementation of Ledger. It keeps every count.
type referenceLedger struct {
	counts      []*count
	lastClosed  usage.Window
	closedCount int
}

func (ref *referenceLedger) unbilled(w usage.Window) usage.Lines {
	sum := make(usage.Lines)
	for _, c := range ref.counts {
		if !c.billed && c.window <= w {
			sum.AddAll(c.lines)
		}
	}
	return sum
}

func (ref *referenceLedger) close(w usage.Window, lines usage.Lines, current bool) bool {
	unbilled := ref.unbilled(w)
	if !current || (ref.closedCount > 0 && w <= ref.lastClosed) || len(unbilled) == 0 || len(unbilled) != len(lines) {
		return false
	}
	for key, counts := range unbilled {
		if lines[key] != counts {
			return false
		}
	}
	for _, c := range ref.counts {
		c.billed = c.billed || c.window <= w
	}
	ref.lastClosed, ref.closedCount = w, ref.closedCount+1
	return true
}

// drawLines returns one to three random lines.
func drawLines(rt *rapid.T) usage.Lines {
	lines := make(usage.Lines)
	for range rapid.IntRange(1, 3).Draw(rt, "lines") {
		lines.Add(usage.LineKey{
			Workspace: id.Workspace(rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "workspace")),
			Class:     id.Class(rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "class")), Model: "m",
		}, usage.Counts{Requests: 1, PromptTokens: 3, OutputTokens: id.Tokens(rapid.IntRange(0, 9).Draw(rt, "tokens"))})
	}
	return lines
}

// TestLedgerMatchesReference applies random records, with a snapshot and restore after
// each, and compares the ledger with the reference. It checks that every counted token is
// billed exactly once or still unbilled.
func TestLedgerMatchesReference(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ledger, reference := usage.NewLedger(), &referenceLedger{}
		window := rapid.Int64Range(1, 8)
		total, billed := usage.Counts{}, usage.Counts{}
		stale := make(usage.Lines) // unbilled lines as of an earlier step
		for offset := id.Offset(1); offset <= 40; offset++ {
			w := usage.Window(window.Draw(rt, "window"))
			switch rapid.IntRange(0, 3).Draw(rt, "kind") {
			case 0, 1:
				lines := drawLines(rt)
				require.True(rt, ledger.ApplyCounted(usage.CountedRecord(w, lines)))
				reference.counts = append(reference.counts, &count{window: w, lines: lines})
				total = total.Add(lines.Total())
			case 2:
				lines := ledger.Unbilled(w)
				if rapid.IntRange(0, 3).Draw(rt, "stale") == 0 {
					lines = stale
				}
				current := rapid.IntRange(0, 4).Draw(rt, "current") > 0
				want := reference.close(w, lines, current)
				record := &ragwortv1.WindowClosed{
					WindowUnixS: int64(w), UpToOffset: uint64(offset) - 1, Lines: lines.ToWire(), Report: id.New("report", time.Now()),
				}
				require.Equal(rt, want, ledger.ApplyClosed(offset, record, current))
				if want {
					billed = billed.Add(lines.Total())
				}
			default:
				for _, c := range ledger.Closed() {
					if !c.Reported {
						require.True(rt, ledger.ApplyReported(&ragwortv1.WindowReported{WindowUnixS: c.Record.GetWindowUnixS(), Report: c.Record.GetReport()}))
						break
					}
				}
			}
			stale = ledger.Unbilled(w)
			var s ragwortv1.State
			ledger.Snapshot(&s)
			ledger = usage.NewLedger()
			ledger.Restore(&s)
			require.Equal(rt, reference.unbilled(100), ledger.Unbilled(100))
			require.Equal(rt, total, billed.Add(ledger.Unbilled(100).Total()), "every counted token must be billed once or still be unbilled")
		}
	})
}

// TestSecondCloseIsRejected checks that a window is closed and reported under the first
// report id only, so that it is not billed twice.
func TestSecondCloseIsRejected(t *testing.T) {
	l := usage.NewLedger()
	key := usage.LineKey{Workspace: "a", Class: "x", Model: "m"}
	l.ApplyCounted(usage.CountedRecord(60, usage.Lines{key: {Requests: 1, OutputTokens: 5}}))
	first := &ragwortv1.WindowClosed{WindowUnixS: 60, UpToOffset: 1, Lines: l.Unbilled(60).ToWire(), Report: "r1"}
	require.True(t, l.ApplyClosed(2, first, true))
	require.False(t, l.ApplyClosed(3, &ragwortv1.WindowClosed{WindowUnixS: 60, UpToOffset: 2, Lines: first.GetLines(), Report: "r2"}, true))
	require.Equal(t, "r1", l.Closed()[0].Record.GetReport())
	require.False(t, l.ApplyReported(&ragwortv1.WindowReported{WindowUnixS: 60, Report: "r2"}))
}

// TestNextAction checks when a window is closed and reported, and that usage counted after
// the close is billed with a later window instead of being lost.
func TestNextAction(t *testing.T) {
	s := usage.Schedule{WindowLength: time.Minute, GracePeriod: 10 * time.Second}
	key := usage.LineKey{Workspace: "a", Class: "x", Model: "m"}
	l := usage.NewLedger()
	require.IsType(t, &usage.Wait{}, usage.NextAction(time.Unix(1000, 0), l, s))

	l.ApplyCounted(usage.CountedRecord(60, usage.Lines{key: {OutputTokens: 5}}))
	require.IsType(t, &usage.Wait{}, usage.NextAction(time.Unix(129, 0), l, s), "a window must not be closed within the grace period")
	closing := usage.NextAction(time.Unix(130, 0), l, s).(*usage.CloseWindow)
	require.Equal(t, usage.Window(60), closing.Window)

	record := &ragwortv1.WindowClosed{WindowUnixS: 60, UpToOffset: 1, Lines: closing.Lines.ToWire(), Report: "r1"}
	require.True(t, l.ApplyClosed(2, record, true))
	require.Equal(t, &usage.SendReport{Closed: record}, usage.NextAction(time.Unix(130, 0), l, s))
	require.True(t, l.ApplyReported(&ragwortv1.WindowReported{WindowUnixS: 60, Report: "r1"}))

	l.ApplyCounted(usage.CountedRecord(60, usage.Lines{key: {OutputTokens: 2}}))
	require.IsType(t, &usage.Wait{}, usage.NextAction(time.Unix(189, 0), l, s))
	late := usage.NextAction(time.Unix(190, 0), l, s).(*usage.CloseWindow)
	require.Equal(t, usage.Window(120), late.Window, "usage counted late must be billed with a later window")
	require.Equal(t, id.Tokens(2), late.Lines[key].OutputTokens)
}
