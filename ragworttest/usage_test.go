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

// billingFleet is a fleet of three entries with short leases and usage windows, whose callers
// belong to two workspaces. It adds up the usage of the answers that were delivered.
type billingFleet struct {
	*ragworttest.Fleet
	t         *testing.T
	entries   []*ragworttest.Process
	keys      map[id.Workspace]string
	delivered map[id.Workspace]usage.Counts
}

func newBillingFleet(t *testing.T) *billingFleet {
	f := ragworttest.NewFleet(t)
	f.PublishRules(ragworttest.ExampleRules(t, "hingeworks.rules"))
	b := &billingFleet{Fleet: f, t: t, keys: make(map[id.Workspace]string), delivered: make(map[id.Workspace]usage.Counts)}
	for _, ws := range []id.Workspace{"bangkok-forge", "nan-forge"} {
		b.keys[ws], _ = f.GiveKey(ws)
	}
	cfg := standin.DefaultEngineConfig()
	cfg.TokenGap = time.Millisecond
	g, url := f.StartEngine(cfg)
	g.MakeWarm()
	f.StartSidecar("s1", "th-a", url, "--models=temper-70b").WaitReady(t)
	for range 3 {
		b.addEntry()
	}
	for _, e := range b.entries {
		e.WaitReady(t)
	}
	return b
}

// addEntry starts a further entry.
func (b *billingFleet) addEntry() *ragworttest.Process {
	b.t.Helper()
	e := b.StartEntry(fmt.Sprintf("e%d", len(b.entries)), "th-a", "--lease-ttl=1s", "--usage-window=1s", "--usage-flush=100ms",
		"--usage-grace=500ms", "--checkpoint-every=10", "--checkpoint-delay=10ms")
	b.entries = append(b.entries, e)
	return e
}

// sendCalls sends n calls of each workspace through an entry and adds their usage to delivered.
func (b *billingFleet) sendCalls(e *ragworttest.Process, n int) {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(b.t.Context(), ragworttest.WaitTimeout)
	defer cancel()
	for ws, key := range b.keys {
		c := newClient(e, key)
		for range n {
			answer, err := c.Chat.Completions.New(ctx, chatParams("a hinge for "+string(ws)))
			require.NoError(b.t, err)
			b.delivered[ws] = b.delivered[ws].Add(usage.Counts{
				Requests: 1, PromptTokens: id.Tokens(answer.Usage.PromptTokens), OutputTokens: id.Tokens(answer.Usage.CompletionTokens),
			})
		}
	}
}

// waitHolder waits until an entry holds the usage lease with a term after the given one, and
// returns the entry and its term.
func (b *billingFleet) waitHolder(afterTerm id.Term) (*ragworttest.Process, id.Term) {
	b.t.Helper()
	var holder *ragworttest.Process
	var term id.Term
	ragworttest.Eventually(b.t, func() bool {
		g := b.LastGrant(id.DutyUsage)
		if g.Term <= afterTerm || g.Released {
			return false
		}
		for _, e := range b.entries {
			if len(g.Holder) > len(e.Node) && g.Holder[:len(e.Node)+1] == e.Node+"_" {
				holder, term = e, g.Term
				return true
			}
		}
		return false
	}, "an entry holds the usage lease after term %d", afterTerm)
	return holder, term
}

func (b *billingFleet) otherEntries(e *ragworttest.Process) []*ragworttest.Process {
	var rest []*ragworttest.Process
	for _, o := range b.entries {
		if o != e {
			rest = append(rest, o)
		}
	}
	return rest
}

// requireAllReported requires that exactly the delivered usage is reported, and only once.
func (b *billingFleet) requireAllReported() {
	b.t.Helper()
	ragworttest.Eventually(b.t, func() bool {
		return fmt.Sprint(ragworttest.ReportedCounts(b.Platform.ReceivedReports())) == fmt.Sprint(b.delivered)
	}, "reported usage equals delivered usage: first reported %v, delivered %v", ragworttest.ReportedCounts(b.Platform.ReceivedReports()), b.delivered)
	require.Empty(b.t, ragworttest.ReportViolations(b.Platform.ReceivedReports()))
	require.Empty(b.t, ragworttest.OrderViolations(b.Platform.ReceivedOrders()))
}

// TestDeliveredUsageIsReported guards against usage that is lost or billed twice when the log,
// the interface for reports, or the entry that holds the usage lease fails.
func TestDeliveredUsageIsReported(t *testing.T) {
	faults := []struct {
		name  string
		fault func(b *billingFleet)
	}{
		{"append and report responses lost", func(b *billingFleet) {
			b.Platform.SetFaults(standin.PlatformFaults{DropAppendResponses: 8, DropSubmitResponses: 3})
			for _, e := range b.entries {
				b.sendCalls(e, 3)
			}
		}},
		{"log outage while windows close", func(b *billingFleet) {
			b.waitHolder(0)
			b.sendCalls(b.entries[0], 2)
			b.Platform.SetFaults(standin.PlatformFaults{Outage: true})
			for _, e := range b.entries {
				b.sendCalls(e, 2)
			}
			time.Sleep(2 * time.Second) // longer than the lease and the usage window
			b.Platform.SetFaults(standin.PlatformFaults{DropAppendResponses: 2})
			b.sendCalls(b.entries[1], 1)
		}},
		{"holder paused past its lease", func(b *billingFleet) {
			holder, term := b.waitHolder(0)
			b.sendCalls(holder, 2)
			holder.Signal(b.t, syscall.SIGSTOP)
			b.sendCalls(b.otherEntries(holder)[0], 2)
			b.waitHolder(term)
			holder.Signal(b.t, syscall.SIGCONT)
			b.sendCalls(holder, 2)
		}},
		{"holder paused and report responses lost", func(b *billingFleet) {
			holder, term := b.waitHolder(0)
			b.sendCalls(holder, 1)
			b.Platform.SetFaults(standin.PlatformFaults{DropSubmitResponses: 2})
			holder.Signal(b.t, syscall.SIGSTOP)
			b.waitHolder(term)
			b.sendCalls(b.otherEntries(holder)[0], 2)
			holder.Signal(b.t, syscall.SIGCONT)
		}},
		{"holder shut down", func(b *billingFleet) {
			holder, term := b.waitHolder(0)
			b.sendCalls(holder, 2)
			holder.Signal(b.t, syscall.SIGTERM)
			holder.WaitExit(b.t)
			b.waitHolder(term)
		}},
		{"entries replaced in a log outage", func(b *billingFleet) {
			b.Platform.SetFaults(standin.PlatformFaults{Outage: true})
			for i := range 2 {
				b.sendCalls(b.entries[i], 2)
				b.entries[i].Signal(b.t, syscall.SIGTERM)
				b.entries[i].WaitExit(b.t) // the second entry also has the usage records of the first
			}
			b.Platform.SetFaults(standin.PlatformFaults{DropAppendResponses: 2})
		}},
		{"every entry replaced while the log is trimmed", func(b *billingFleet) {
			b.Platform.SetFaults(standin.PlatformFaults{KeepRecords: 60, DropAppendResponses: 2})
			for i := range 3 {
				b.sendCalls(b.entries[i], 2)
				b.addEntry().WaitReady(b.t)
				b.entries[i].Signal(b.t, syscall.SIGTERM)
				b.entries[i].WaitExit(b.t)
				b.Platform.RemoveVM(time.Now(), b.entries[i].Node)
			}
			b.sendCalls(b.entries[3], 1)
		}},
		{"holder killed after its last flush", func(b *billingFleet) {
			holder, term := b.waitHolder(0)
			b.sendCalls(holder, 2)
			ragworttest.Eventually(b.t, func() bool { return b.countedTotal() == b.deliveredTotal() }, "all delivered usage is on the log")
			holder.Kill(b.t)
			b.sendCalls(b.otherEntries(holder)[0], 1)
			b.waitHolder(term)
		}},
	}
	for _, c := range faults {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newBillingFleet(t)
			c.fault(b)
			b.requireAllReported()
		})
	}
}

// TestCrashLosesAtMostOneFlush kills an entry right after its last answer. It guards against
// the loss of usage that was already on the log, and against reports of usage that was not
// delivered.
func TestCrashLosesAtMostOneFlush(t *testing.T) {
	b := newBillingFleet(t)
	b.sendCalls(b.entries[0], 2)
	ragworttest.Eventually(t, func() bool { return b.countedTotal() == b.deliveredTotal() }, "all delivered usage is on the log")
	before := b.deliveredTotal()
	b.sendCalls(b.entries[0], 1)
	b.entries[0].Kill(t)
	var reported usage.Counts
	ragworttest.Eventually(t, func() bool {
		reported = usage.Counts{}
		for _, counts := range ragworttest.ReportedCounts(b.Platform.ReceivedReports()) {
			reported = reported.Add(counts)
		}
		return reported.Requests >= before.Requests
	}, "the usage on the log is reported")
	require.GreaterOrEqual(t, reported.OutputTokens, before.OutputTokens)
	require.LessOrEqual(t, reported.OutputTokens, b.deliveredTotal().OutputTokens)
	require.Empty(t, ragworttest.ReportViolations(b.Platform.ReceivedReports()))
}

// TestUsageShow guards against a "ragwortctl usage show" that does not print the delivered usage,
// by workspace and by window.
func TestUsageShow(t *testing.T) {
	b := newBillingFleet(t)
	b.sendCalls(b.entries[0], 2)
	b.requireAllReported()
	showUsage := func(args ...string) []operator.WindowUsage {
		args = append([]string{"--platform=" + b.PlatformURL, "--output=json", "usage", "show"}, args...)
		out, err := exec.Command(ragworttest.Binary(t, "ragwortctl"), args...).Output()
		require.NoError(t, err)
		var windows []operator.WindowUsage
		require.NoError(t, json.Unmarshal(out, &windows))
		return windows
	}
	var shown id.Tokens
	all := showUsage("--workspace=nan-forge")
	for _, w := range all {
		for _, l := range w.Lines {
			require.Equal(t, id.Workspace("nan-forge"), l.Workspace)
			shown += l.OutputTokens
		}
	}
	require.Equal(t, b.delivered["nan-forge"].OutputTokens, shown)
	single := showUsage("--window=" + all[0].Window.Format(time.RFC3339))
	require.Len(t, single, 1)
	require.NotEmpty(t, single[0].Report)
}

// deliveredTotal returns the delivered usage of all workspaces together.
func (b *billingFleet) deliveredTotal() usage.Counts {
	var all usage.Counts
	for _, counts := range b.delivered {
		all = all.Add(counts)
	}
	return all
}

// countedTotal returns all usage on the log, reported or not.
func (b *billingFleet) countedTotal() usage.Counts {
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
