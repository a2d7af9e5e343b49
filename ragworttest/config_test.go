package ragworttest_test

// This file tests the publishing of rules with real processes: once published, rules reach
// every process and are never reverted, whatever faults the log has.

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/operator"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1/ragwortv1connect"
)

// rulesLimit is the time within which every process must apply published rules.
const rulesLimit = 3 * time.Second

// nodeStatus returns the status that a process reports, or nil if it does not respond.
func nodeStatus(t *testing.T, p *ragworttest.Process) *ragwortv1.StatusResponse {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	client := ragwortv1connect.NewNodeServiceClient(process.NewPeerClient(), "http://"+p.Address)
	rs, err := client.Status(ctx, connect.NewRequest(&ragwortv1.StatusRequest{}))
	if err != nil {
		return nil
	}
	return rs.Msg
}

// watchRulesOffset polls the offset of the rules that processes apply until stop is called.
// Stop fails the test if any process has gone back to older rules.
func watchRulesOffset(t *testing.T, processes ...*ragworttest.Process) (stop func()) {
	stopped := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var reverted []string
	for _, p := range processes {
		wg.Go(func() {
			last := uint64(0)
			for {
				if s := nodeStatus(t, p); s != nil {
					if s.GetRulesOffset() < last {
						mu.Lock()
						reverted = append(reverted, fmt.Sprintf("%s went from offset %d back to %d", p.Node, last, s.GetRulesOffset()))
						mu.Unlock()
					}
					last = max(last, s.GetRulesOffset())
				}
				select {
				case <-stopped:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
	}
	return func() {
		close(stopped)
		wg.Wait()
		require.Empty(t, reverted)
	}
}

// rulesVersion returns rules that differ from those of every other n.
func rulesVersion(t *testing.T, n int) string {
	return ragworttest.ExampleRules(t, "hingeworks.rules") + fmt.Sprintf("\nworkspace name=version-%d # Somchai (head office): a test\n", n)
}

// TestConfigurationReachesEveryProcess guards against processes that keep old rules or revert
// to them while their connection to the log is disturbed.
func TestConfigurationReachesEveryProcess(t *testing.T) {
	faults := map[string]func(f *ragworttest.Fleet, p *ragworttest.Proxy){
		"none":              func(*ragworttest.Fleet, *ragworttest.Proxy) {},
		"disconnected":      func(_ *ragworttest.Fleet, p *ragworttest.Proxy) { p.Disable() },
		"responses blocked": func(_ *ragworttest.Fleet, p *ragworttest.Proxy) { p.BlockDirection("downstream") },
		"responses delayed": func(_ *ragworttest.Fleet, p *ragworttest.Proxy) { p.AddLatency(5 * time.Second) },
		"disconnected, append responses lost": func(f *ragworttest.Fleet, p *ragworttest.Proxy) {
			p.Disable()
			f.Platform.SetFaults(standin.PlatformFaults{DropAppendResponses: 2})
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := ragworttest.NewFleet(t)
			f.PublishRules(rulesVersion(t, 0))
			proxy := ragworttest.NewProxy(t, strings.TrimPrefix(f.PlatformURL, "http://"))
			platformFlag := "--platform=http://" + proxy.Address()
			_, url := f.StartEngine(standin.DefaultEngineConfig())
			all := []*ragworttest.Process{
				f.StartSidecar("s1", "th-a", url, "--models=temper-70b", platformFlag),
				f.StartEntry("e1", "th-a"), f.StartEntry("e2", "th-b", platformFlag),
			}
			for _, p := range all[1:] {
				p.WaitReady(t)
			}
			time.Sleep(time.Second) // long enough for a round of heartbeats
			stop := watchRulesOffset(t, all...)
			fault(f, proxy)
			for n := 1; n <= 3; n++ {
				f.PublishRules(rulesVersion(t, n))
				newest := rulesOffset(t, f)
				publishedAt := time.Now()
				for _, p := range all {
					ragworttest.Eventually(t, func() bool { return nodeStatus(t, p).GetRulesOffset() == newest }, "%s applies the rules at offset %d", p.Node, newest)
				}
				require.Less(t, time.Since(publishedAt), rulesLimit)
				t.Logf("rules applied everywhere %v after they were accepted", time.Since(publishedAt))
			}
			stop()
		})
	}
}

// TestRulesAreLateWhileTheLogIsSilent guards against rules that are in force late at processes whose
// connections to the log have all fallen silent, while new ones work.
func TestRulesAreLateWhileTheLogIsSilent(t *testing.T) {
	const phases = 4 // of the reads, which have waited differently long
	for phase := range phases {
		t.Run(fmt.Sprint("phase ", phase), func(t *testing.T) {
			t.Parallel()
			f := ragworttest.NewFleet(t)
			f.PublishRules(rulesVersion(t, 0))
			proxy := ragworttest.NewProxy(t, strings.TrimPrefix(f.PlatformURL, "http://"))
			platformFlag := "--platform=http://" + proxy.Address()
			_, url := f.StartEngine(standin.DefaultEngineConfig())
			all := []*ragworttest.Process{f.StartSidecar("s1", "th-a", url, "--models=temper-70b", platformFlag), f.StartEntry("e1", "th-a", platformFlag)}
			all[1].WaitReady(t)
			time.Sleep(time.Second + time.Duration(phase)*time.Second/phases) // at least a round of heartbeats
			for n := 1; n <= 2; n++ {
				proxy.SilenceConnections()
				f.PublishRules(rulesVersion(t, n))
				newest, publishedAt := rulesOffset(t, f), time.Now()
				for _, p := range all {
					ragworttest.Eventually(t, func() bool { return nodeStatus(t, p).GetRulesOffset() == newest }, "%s applies the rules at offset %d", p.Node, newest)
				}
				t.Logf("rules applied everywhere %v after they were accepted", time.Since(publishedAt))
				assert.Less(t, time.Since(publishedAt), rulesLimit)
				time.Sleep(time.Duration(phase) * time.Second / phases)
			}
		})
	}
}

// rulesOffset returns the offset of the rules in force on the log.
func rulesOffset(t *testing.T, f *ragworttest.Fleet) uint64 {
	ctx, cancel := context.WithTimeout(t.Context(), ragworttest.WaitTimeout)
	defer cancel()
	s, err := f.Operator.State(ctx)
	require.NoError(t, err)
	return uint64(s.Rules().Offset)
}

// TestStartDuringOutage guards against entries that become ready with an old state or not at
// all when they start during a log outage, with only peers to read from, or after the log has
// trimmed its first records, with only a checkpoint to start from.
func TestStartDuringOutage(t *testing.T) {
	f := ragworttest.NewFleet(t)
	f.PublishRules(rulesVersion(t, 0))
	secret, _ := f.GiveKey("bangkok-forge")
	withdrawn, withdrawnID := f.GiveKey("bangkok-forge")
	g, url := f.StartEngine(standin.DefaultEngineConfig())
	g.MakeWarm()
	f.StartSidecar("s1", "th-a", url, "--models=temper-70b").WaitReady(t)
	checkpoints := []string{"--checkpoint-every=4", "--checkpoint-delay=100ms"}
	first := f.StartEntry("e1", "th-a", checkpoints...)
	first.WaitReady(t)
	waitServing(t, first, secret)
	ctx, cancel := context.WithTimeout(t.Context(), 2*ragworttest.WaitTimeout)
	defer cancel()
	require.NoError(t, f.Operator.WithdrawKey(ctx, time.Now(), withdrawnID, "test"))
	f.PublishRules(rulesVersion(t, 1))
	newest := rulesOffset(t, f)
	ragworttest.Eventually(t, func() bool { return nodeStatus(t, first).GetRulesOffset() == newest }, "e1 applies the rules at offset %d", newest)

	f.Platform.SetFaults(standin.PlatformFaults{Outage: true})
	second := f.StartEntry("e2", "th-b")
	second.WaitReady(t)
	require.Equal(t, newest, nodeStatus(t, second).GetRulesOffset(), "ready with older rules than its peer")
	waitServing(t, second, secret)
	require.Equal(t, http.StatusUnauthorized, postRefused(t, second, withdrawn, streamedChatBody).Status)
	first.Kill(t)
	restarted := f.StartEntry("e3", "th-a")
	restarted.WaitReady(t)
	require.Equal(t, newest, nodeStatus(t, restarted).GetRulesOffset())

	f.Platform.SetFaults(standin.PlatformFaults{})
	checkpointer := f.StartEntry("e4", "th-a", checkpoints...)
	checkpointer.WaitReady(t)
	ragworttest.Eventually(t, func() bool { return strings.Contains(checkpointer.Log.String(), "event=checkpoint result=accepted") }, "a checkpoint is accepted")
	for range 12 {
		f.GiveKey("korat-forge")
	}
	f.Platform.SetFaults(standin.PlatformFaults{KeepRecords: 8})
	ragworttest.Eventually(t, func() bool {
		s, err := f.Operator.State(ctx)
		return err == nil && s.Rules().Offset == id.Offset(newest)
	}, "an operator client, which has no peers, starts from the checkpoint")
	late := f.StartEntry("e6", "th-b")
	late.WaitReady(t)
	require.Equal(t, newest, nodeStatus(t, late).GetRulesOffset())
	waitServing(t, late, secret)
	require.Equal(t, http.StatusUnauthorized, postRefused(t, late, withdrawn, streamedChatBody).Status)
}

// publication is one attempt to publish rules, as recorded in the history: the offset of the
// rules that were edited, and the offset of the new ones if accepted.
type publication struct{ base, offset id.Offset }

// TestConcurrentPublications guards against a lost update: operators publish concurrently while
// responses of the log are lost. Of those that edited the same rules exactly one must
// succeed, and the others must get a conflict.
func TestConcurrentPublications(t *testing.T) {
	f := ragworttest.NewFleet(t)
	f.PublishRules(rulesVersion(t, 0))
	f.Platform.SetFaults(standin.PlatformFaults{DropAppendResponses: 25})
	e := f.StartEntry("e1", "th-a")
	e.WaitReady(t)
	stop := watchRulesOffset(t, e)
	start := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	for n := range 6 {
		wg.Go(func() {
			o := operator.New(operator.Config{Platform: f.PlatformURL, OperatorName: fmt.Sprintf("o%d", n)}, process.NewExternalClient(), process.NewPeerClient())
			for i := range 5 {
				ctx, cancel := context.WithTimeout(t.Context(), ragworttest.WaitTimeout)
				s, err := o.State(ctx)
				if err == nil {
					p := publication{base: s.Rules().Offset}
					call := time.Since(start).Nanoseconds()
					p.offset, err = o.Publish(ctx, time.Now(), "rules", rulesVersion(t, n*100+i), p.base)
					end := time.Since(start).Nanoseconds()
					mu.Lock()
					history = append(history, porcupine.Operation{ClientId: n, Input: p, Output: err, Call: call, Return: end})
					mu.Unlock()
				}
				cancel()
			}
		})
	}
	wg.Wait()
	won := 0
	for _, op := range history {
		var conflict *operator.ConflictError
		if err, _ := op.Output.(error); err == nil {
			won++
		} else {
			require.True(t, errors.As(err, &conflict), err)
		}
	}
	require.NotEmpty(t, history)
	require.Positive(t, won)
	require.True(t, porcupine.CheckOperations(publicationModel, history), "the publications are not linearizable")
	newest := rulesOffset(t, f)
	ragworttest.Eventually(t, func() bool { return nodeStatus(t, e).GetRulesOffset() == newest }, "e1 applies the rules at offset %d", newest)
	stop()
	t.Logf("%d of %d publications succeeded", won, len(history))
}

// publicationModel is the sequential specification of publishing. Its state is the offset of
// the rules in force: a publication is accepted if and only if it was made from these rules.
var publicationModel = porcupine.Model{
	Init: func() any { return id.Offset(1) },
	Step: func(state, input, output any) (bool, any) {
		p, inForce := input.(publication), state.(id.Offset)
		if err, _ := output.(error); err != nil {
			return p.base != inForce, inForce
		}
		return p.base == inForce && p.offset > inForce, p.offset
	},
	Equal: func(a, b any) bool { return a == b },
}
