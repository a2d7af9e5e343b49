package ragworttest_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/operator"
	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
	"github.com/ragwortpass/ragwortpass/usage"
)

// billed is a fleet of three entries with short leases and windows, whose callers
// belong to two workspaces.
type billed struct {
	*ragworttest.Fleet
	t         *testing.T
	entries   []*ragworttest.Process
	keys      map[id.Workspace]string
	delivered map[id.Workspace]usage.Counts
}

func newBilled(t *testing.T) *billed {
	f := ragworttest.NewFleet(t)
	f.PublishRules(ragworttest.ExampleRules(t, "hingeworks.rules"))
	b := &billed{Fleet: f, t: t, keys: make(map[id.Workspace]string), delivered: make(map[id.Workspace]usage.Counts)}
	for _, ws := range []id.Workspace{"bangkok-forge", "nan-forge"} {
		b.keys[ws], _ = f.GiveKey(ws)
	}
	cfg := standin.DefaultEngineConfig()
	cfg.TokenGap = time.Millisecond
	g, url := f.StartEngine(cfg)
	g.MakeWarm()
	f.StartSidecar("s1", "th-a", url, "--models=temper-70b").WaitReady(t)
	for range 3 {
		b.start()
	}
	for _, e := range b.entries {
		e.WaitReady(t)
	}
	return b
}

// start adds an entry.
func (b *billed) start() *ragworttest.Process {
	b.t.Helper()
	e := b.StartEntry(fmt.Sprintf("e%d", len(b.entries)), "th-a", "--lease-ttl=1s", "--usage-window=1s", "--usage-flush=100ms",
		"--usage-grace=500ms", "--checkpoint-every=10", "--checkpoint-delay=10ms")
	b.entries = append(b.entries, e)
	return e
}

// call sends n calls of each workspace through an entry and notes what came back.
func (b *billed) call(e *ragworttest.Process, n int) {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(b.t.Context(), ragworttest.WaitTimeout)
	defer cancel()
	for ws, key := range b.keys {
		c := client(e, key)
		for range n {
			answer, err := c.Chat.Completions.New(ctx, chat("a hinge for "+string(ws)))
			require.NoError(b.t, err)
			b.delivered[ws] = b.delivered[ws].Add(usage.Counts{
				Requests: 1, PromptTokens: id.Tokens(answer.Usage.PromptTokens), OutputTokens: id.Tokens(answer.Usage.CompletionTokens),
			})
		}
	}
}

// holder waits until an entry holds the usage lease under a term above the given
// one, and returns it.
func (b *billed) holder(above id.Term) (*ragworttest.Process, id.Term) {
	b.t.Helper()
	var held *ragworttest.Process
	var term id.Term
	ragworttest.Eventually(b.t, func() bool {
		g := b.LastGrant(id.DutyUsage)
		if g.Term <= above || g.Released {
			return false
		}
		for _, e := range b.entries {
			if len(g.Holder) > len(e.Node) && g.Holder[:len(e.Node)+1] == e.Node+"_" {
				held, term = e, g.Term
				return true
			}
		}
		return false
	}, "an entry holds the lease")
	return held, term
}

func (b *billed) others(e *ragworttest.Process) []*ragworttest.Process {
	var rest []*ragworttest.Process
	for _, o := range b.entries {
		if o != e {
			rest = append(rest, o)
		}
	}
	return rest
}

// reconcile requires that exactly what was delivered is reported, once.
func (b *billed) reconcile() {
	b.t.Helper()
	ragworttest.Eventually(b.t, func() bool {
		return fmt.Sprint(ragworttest.ReportedCounts(b.Platform.ReceivedReports())) == fmt.Sprint(b.delivered)
	}, "reports equal deliveries: %v, delivered %v", ragworttest.ReportedCounts(b.Platform.ReceivedReports()), b.delivered)
	require.Empty(b.t, ragworttest.ReportViolations(b.Platform.ReceivedReports()))
	require.Empty(b.t, ragworttest.OrderViolations(b.Platform.ReceivedOrders()))
}

func TestDeliveredIsReported(t *testing.T) {
	faults := []struct {
		name  string
		fault func(b *billed)
	}{
		{"answers and acknowledgements lost", func(b *billed) {
			b.Platform.SetFaults(standin.PlatformFaults{DropAppendResponses: 8, DropSubmitResponses: 3})
			for _, e := range b.entries {
				b.call(e, 3)
			}
		}},
		{"log outage while windows close", func(b *billed) {
			b.holder(0)
			b.call(b.entries[0], 2)
			b.Platform.SetFaults(standin.PlatformFaults{Outage: true})
			for _, e := range b.entries {
				b.call(e, 2)
			}
			time.Sleep(2 * time.Second) // past the lease and the close of the window
			b.Platform.SetFaults(standin.PlatformFaults{DropAppendResponses: 2})
			b.call(b.entries[1], 1)
		}},
		{"holder paused past its lease", func(b *billed) {
			held, term := b.holder(0)
			b.call(held, 2)
			held.Signal(b.t, syscall.SIGSTOP)
			b.call(b.others(held)[0], 2)
			b.holder(term)
			held.Signal(b.t, syscall.SIGCONT)
			b.call(held, 2)
		}},
		{"holder paused and acknowledgements lost", func(b *billed) {
			held, term := b.holder(0)
			b.call(held, 1)
			b.Platform.SetFaults(standin.PlatformFaults{DropSubmitResponses: 2})
			held.Signal(b.t, syscall.SIGSTOP)
			b.holder(term)
			b.call(b.others(held)[0], 2)
			held.Signal(b.t, syscall.SIGCONT)
		}},
		{"holder leaves", func(b *billed) {
			held, term := b.holder(0)
			b.call(held, 2)
			held.Signal(b.t, syscall.SIGTERM)
			held.WaitExit(b.t)
			b.holder(term)
		}},
		{"entries replaced in a log outage", func(b *billed) {
			b.Platform.SetFaults(standin.PlatformFaults{Outage: true})
			for i := range 2 {
				b.call(b.entries[i], 2)
				b.entries[i].Signal(b.t, syscall.SIGTERM)
				b.entries[i].WaitExit(b.t) // the second one holds the records of the first
			}
			b.Platform.SetFaults(standin.PlatformFaults{DropAppendResponses: 2})
		}},
		{"every entry replaced while the log is trimmed", func(b *billed) {
			b.Platform.SetFaults(standin.PlatformFaults{KeepRecords: 60, DropAppendResponses: 2})
			for i := range 3 {
				b.call(b.entries[i], 2)
				b.start().WaitReady(b.t)
				b.entries[i].Signal(b.t, syscall.SIGTERM)
				b.entries[i].WaitExit(b.t)
				b.Platform.RemoveVM(time.Now(), b.entries[i].Node)
			}
			b.call(b.entries[3], 1)
		}},
		{"holder killed after its last flush", func(b *billed) {
			held, term := b.holder(0)
			b.call(held, 2)
			ragworttest.Eventually(b.t, func() bool { return b.counted() == b.sum() }, "all is counted on the log")
			held.Kill(b.t)
			b.call(b.others(held)[0], 1)
			b.holder(term)
		}},
	}
	for _, c := range faults {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newBilled(t)
			c.fault(b)
			b.reconcile()
		})
	}
}

// TestCrashLosesAtMostAFlush kills an entry right after its last answer: what was
// on the log is reported, and nothing that was not delivered.
func TestCrashLosesAtMostAFlush(t *testing.T) {
	b := newBilled(t)
	b.call(b.entries[0], 2)
	ragworttest.Eventually(t, func() bool { return b.counted() == b.sum() }, "all is counted on the log")
	before := b.sum()
	b.call(b.entries[0], 1)
	b.entries[0].Kill(t)
	var reported usage.Counts
	ragworttest.Eventually(t, func() bool {
		reported = usage.Counts{}
		for _, f := range ragworttest.ReportedCounts(b.Platform.ReceivedReports()) {
			reported = reported.Add(f)
		}
		return reported.Requests >= before.Requests
	}, "what was on the log is reported")
	require.GreaterOrEqual(t, reported.OutputTokens, before.OutputTokens)
	require.LessOrEqual(t, reported.OutputTokens, b.sum().OutputTokens)
	require.Empty(t, ragworttest.ReportViolations(b.Platform.ReceivedReports()))
}

func TestUsageShow(t *testing.T) {
	b := newBilled(t)
	b.call(b.entries[0], 2)
	b.reconcile()
	ctl := func(args ...string) []operator.WindowUsage {
		args = append([]string{"--platform=" + b.PlatformURL, "--output=json", "usage", "show"}, args...)
		out, err := exec.Command(ragworttest.Binary(t, "ragwortctl"), args...).Output()
		require.NoError(t, err)
		var windows []operator.WindowUsage
		require.NoError(t, json.Unmarshal(out, &windows))
		return windows
	}
	var shown id.Tokens
	all := ctl("--workspace=nan-forge")
	for _, w := range all {
		for _, l := range w.Lines {
			require.Equal(t, id.Workspace("nan-forge"), l.Workspace)
			shown += l.OutputTokens
		}
	}
	require.Equal(t, b.delivered["nan-forge"].OutputTokens, shown)
	one := ctl("--window=" + all[0].Window.Format(time.RFC3339))
	require.Len(t, one, 1)
	require.NotEmpty(t, one[0].Report)
}

func (b *billed) sum() usage.Counts {
	var all usage.Counts
	for _, f := range b.delivered {
		all = all.Add(f)
	}
	return all
}

// counted returns everything that the log holds, billed or not.
func (b *billed) counted() usage.Counts {
	s, err := b.Operator.UsageState(b.t.Context())
	require.NoError(b.t, err)
	var all usage.Counts
	_, open := s.Usage.Open()
	for _, lines := range open {
		all = all.Add(lines.Total())
	}
	for _, c := range s.Usage.Closed() {
		all = all.Add(usage.FromWire(c.Record.GetLines()).Total())
	}
	return all
}
