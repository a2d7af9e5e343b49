package ragworttest_test

// This file defines the process tests of configuration: published once, in force
// everywhere, never reverting, whatever happens to the log.

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
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/operator"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1/ragwortv1connect"
)

// inForceWithin is the time in which a published configuration is in force.
const inForceWithin = 3 * time.Second

// status returns what a process says of itself, or nil.
func status(t *testing.T, p *ragworttest.Process) *ragwortv1.StatusResponse {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	client := ragwortv1connect.NewNodeServiceClient(process.NewPeerClient(), "http://"+p.Address)
	rs, err := client.Status(ctx, connect.NewRequest(&ragwortv1.StatusRequest{}))
	if err != nil {
		return nil
	}
	return rs.Msg
}

// watch polls the rules' offset of processes until the function returned is called,
// which fails the test if any of them went back.
func watch(t *testing.T, processes ...*ragworttest.Process) (stop func()) {
	ended := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var reverted []string
	for _, p := range processes {
		wg.Go(func() {
			last := uint64(0)
			for {
				if s := status(t, p); s != nil {
					if s.GetRulesOffset() < last {
						mu.Lock()
						reverted = append(reverted, fmt.Sprintf("%s from %d to %d", p.Node, last, s.GetRulesOffset()))
						mu.Unlock()
					}
					last = max(last, s.GetRulesOffset())
				}
				select {
				case <-ended:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
	}
	return func() {
		close(ended)
		wg.Wait()
		require.Empty(t, reverted)
	}
}

// version returns rules that differ from every other version.
func version(t *testing.T, n int) string {
	return ragworttest.Rules(t, "hingeworks.rules") + fmt.Sprintf("\nworkspace name=version-%d # Somchai (head office): a test\n", n)
}

// TestConfigurationInForce publishes while the way to the log is faulty for some.
func TestConfigurationInForce(t *testing.T) {
	faults := map[string]func(f *ragworttest.Fleet, p *ragworttest.Proxy){
		"none":      func(*ragworttest.Fleet, *ragworttest.Proxy) {},
		"cut":       func(_ *ragworttest.Fleet, p *ragworttest.Proxy) { p.Cut() },
		"half open": func(_ *ragworttest.Fleet, p *ragworttest.Proxy) { p.HalfOpen("downstream") },
		"slow":      func(_ *ragworttest.Fleet, p *ragworttest.Proxy) { p.Slow(5 * time.Second) },
		"lost answers+cut": func(f *ragworttest.Fleet, p *ragworttest.Proxy) {
			p.Cut()
			f.Platform.SetFaults(standin.PlatformFaults{LoseAnswers: 2})
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := ragworttest.NewFleet(t)
			f.Publish(version(t, 0))
			proxy := ragworttest.NewProxy(t, strings.TrimPrefix(f.PlatformURL, "http://"))
			through := "--platform=http://" + proxy.Address()
			_, url := f.Engine(standin.DefaultEngineConfig())
			all := []*ragworttest.Process{
				f.Sidecar("s1", "th-a", url, "--models=temper-70b", through),
				f.Entry("e1", "th-a"), f.Entry("e2", "th-b", through),
			}
			for _, p := range all[1:] {
				p.Ready(t)
			}
			time.Sleep(time.Second) // heartbeats have gone round
			stop := watch(t, all...)
			fault(f, proxy)
			for n := 1; n <= 3; n++ {
				f.Publish(version(t, n))
				newest := rulesOffset(t, f)
				begin := time.Now()
				for _, p := range all {
					ragworttest.Eventually(t, func() bool { return status(t, p).GetRulesOffset() == newest }, "%s has %d", p.Node, newest)
				}
				require.Less(t, time.Since(begin), inForceWithin)
				t.Logf("in force everywhere %v after it was accepted", time.Since(begin))
			}
			stop()
		})
	}
}

func rulesOffset(t *testing.T, f *ragworttest.Fleet) uint64 {
	ctx, cancel := context.WithTimeout(t.Context(), ragworttest.Patience)
	defer cancel()
	s, err := f.Operator.State(ctx)
	require.NoError(t, err)
	return uint64(s.Rules().Offset)
}

// TestStartDuringOutage starts and restarts entries while the log is out, and after
// the log has dropped its first records.
func TestStartDuringOutage(t *testing.T) {
	f := ragworttest.NewFleet(t)
	f.Publish(version(t, 0))
	secret, _ := f.Key("bangkok-forge")
	gone, goneID := f.Key("bangkok-forge")
	g, url := f.Engine(standin.DefaultEngineConfig())
	g.Warm()
	f.Sidecar("s1", "th-a", url, "--models=temper-70b").Ready(t)
	checkpoints := []string{"--checkpoint-every=4", "--checkpoint-delay=100ms"}
	first := f.Entry("e1", "th-a", checkpoints...)
	first.Ready(t)
	whole(t, first, secret)
	ctx, cancel := context.WithTimeout(t.Context(), 2*ragworttest.Patience)
	defer cancel()
	require.NoError(t, f.Operator.WithdrawKey(ctx, time.Now(), goneID, "test"))
	f.Publish(version(t, 1))
	newest := rulesOffset(t, f)
	ragworttest.Eventually(t, func() bool { return status(t, first).GetRulesOffset() == newest }, "e1 has %d", newest)

	f.Platform.SetFaults(standin.PlatformFaults{Outage: true})
	fresh := f.Entry("e2", "th-b")
	fresh.Ready(t)
	require.Equal(t, newest, status(t, fresh).GetRulesOffset(), "ready on less than its peer has")
	whole(t, fresh, secret)
	require.Equal(t, http.StatusUnauthorized, refusal(t, fresh, gone, streamBody).Status)
	first.Kill(t)
	again := f.Entry("e3", "th-a")
	again.Ready(t)
	require.Equal(t, newest, status(t, again).GetRulesOffset())

	f.Platform.SetFaults(standin.PlatformFaults{})
	keeper := f.Entry("e4", "th-a", checkpoints...)
	keeper.Ready(t)
	ragworttest.Eventually(t, func() bool { return strings.Contains(keeper.Log.String(), "event=checkpoint result=accepted") }, "a checkpoint is taken")
	for range 12 {
		f.Key("korat-forge")
	}
	f.Platform.SetFaults(standin.PlatformFaults{Keep: 8})
	ragworttest.Eventually(t, func() bool {
		s, err := f.Operator.State(ctx)
		return err == nil && s.Rules().Offset == id.Offset(newest)
	}, "an operator, who has no peers, starts from the checkpoint")
	late := f.Entry("e6", "th-b")
	late.Ready(t)
	require.Equal(t, newest, status(t, late).GetRulesOffset())
	whole(t, late, secret)
	require.Equal(t, http.StatusUnauthorized, refusal(t, late, gone, streamBody).Status)
}

// publication is one attempt to publish, as the history holds it.
type publication struct{ base, offset id.Offset }

// TestRacingOperators lets operators publish over each other while answers of the log
// are lost: of those that edited the same rules one wins, and the others are told so.
func TestRacingOperators(t *testing.T) {
	f := ragworttest.NewFleet(t)
	f.Publish(version(t, 0))
	f.Platform.SetFaults(standin.PlatformFaults{LoseAnswers: 25})
	e := f.Entry("e1", "th-a")
	e.Ready(t)
	stop := watch(t, e)
	start := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	for n := range 6 {
		wg.Go(func() {
			o := operator.New(operator.Config{Platform: f.PlatformURL, OperatorName: fmt.Sprintf("o%d", n)}, process.NewExternalClient(), process.NewPeerClient())
			for i := range 5 {
				ctx, cancel := context.WithTimeout(t.Context(), ragworttest.Patience)
				s, err := o.State(ctx)
				if err == nil {
					p := publication{base: s.Rules().Offset}
					call := time.Since(start).Nanoseconds()
					p.offset, err = o.Publish(ctx, time.Now(), "rules", version(t, n*100+i), p.base)
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
	require.True(t, porcupine.CheckOperations(publishing, history), "the publications have no order")
	newest := rulesOffset(t, f)
	ragworttest.Eventually(t, func() bool { return status(t, e).GetRulesOffset() == newest }, "e1 has %d", newest)
	stop()
	t.Logf("%d of %d publications won", won, len(history))
}

// publishing holds the offset of the rules in force: a publication is accepted if and
// only if it was made from them.
var publishing = porcupine.Model{
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
