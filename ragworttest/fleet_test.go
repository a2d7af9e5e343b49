package ragworttest_test

import (
	"context"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

const scalingRules = `
model name=temper-70b context=32768                                        # test
class name=counter tier=platinum ttft=750ms gap=40ms wait=20s deadline=60s # test
route name=chat classes=counter                                            # test
workspace name=nan-forge share=1                                           # test
upstream model=temper-70b concurrency=2 initial=2 fencing=checks           # test
fleet model=temper-70b data_centre=th-a min=1 max=2                        # test
`

// scalingFleet is a data centre with one running upstream, one spare VM, and three entries
// that compete for the lease to give scaling orders.
type scalingFleet struct {
	*ragworttest.Fleet
	entries []*ragworttest.Process
	key     string
}

func newScalingFleet(t *testing.T) *scalingFleet {
	f := &scalingFleet{Fleet: ragworttest.NewFleet(t)}
	f.PublishRules(scalingRules)
	f.key, _ = f.GiveKey("nan-forge")
	for _, name := range []string{"s1", "s2"} {
		cfg := standin.DefaultEngineConfig()
		cfg.TokenGap = 50 * time.Millisecond
		g, url := f.StartEngine(cfg)
		g.MakeWarm()
		s := f.StartSidecar(name, "th-a", url, "--models=temper-70b")
		vm := hosting.VM{ID: s.Node, Role: "sidecar", DataCentre: "th-a", Address: s.Address, State: hosting.VMLive}
		f.Platform.AddSpareVM(standin.SpareVM{VM: vm, Upstream: id.Upstream("u-" + name), Model: "temper-70b", Started: name == "s1"})
		if name == "s2" {
			f.Platform.RemoveVM(time.Now(), vm.ID)
		}
		s.WaitReady(t)
	}
	for _, name := range []string{"e0", "e1", "e2"} {
		f.entries = append(f.entries, f.StartEntry(name, "th-a", "--lease-ttl=1s", "--fleet-every=100ms", "--fleet-steady=300ms",
			"--fleet-hold=1s", "--fleet-settle=3s"))
	}
	for _, e := range f.entries {
		e.WaitReady(t)
	}
	return f
}

// startLoad keeps the two slots of an upstream busy until stop is called.
func (f *scalingFleet) startLoad(t *testing.T, e *ragworttest.Process) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			c := newClient(e, f.key)
			for ctx.Err() == nil {
				_, _ = c.Chat.Completions.New(ctx, chatParams("x"))
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// acceptedOrders returns the number of orders of a kind that the platform has accepted.
func (f *scalingFleet) acceptedOrders(kind hosting.OrderKind) int {
	n := 0
	for _, o := range f.Platform.ReceivedOrders() {
		if o.Accepted && o.Order.Kind == kind {
			n++
		}
	}
	return n
}

// leaseHolder returns the entry that holds the lease for orders, or nil, and its term.
func (f *scalingFleet) leaseHolder() (e *ragworttest.Process, term id.Term) {
	g := f.LastGrant(id.DutyOrders)
	for _, e := range f.entries {
		if strings.HasPrefix(string(g.Holder), string(e.Node)+"_") && !g.Released {
			return e, g.Term
		}
	}
	return nil, 0
}

// TestFleetScalesWithDemand guards against orders that do not follow the load: a spare VM is
// started under load and stopped after it.
func TestFleetScalesWithDemand(t *testing.T) {
	f := newScalingFleet(t)
	stop := f.startLoad(t, f.entries[0])
	ragworttest.Eventually(t, func() bool { return f.acceptedOrders(hosting.OrderStart) > 0 }, "an upstream is started")
	stop()
	ragworttest.Eventually(t, func() bool { return f.acceptedOrders(hosting.OrderStop) > 0 }, "an upstream is stopped")
	require.Empty(t, ragworttest.OrderViolations(f.Platform.ReceivedOrders()))
	started := 0
	for _, s := range f.Platform.SpareVMs() {
		if s.Started {
			started++
		}
	}
	require.Equal(t, 1, started)
}

// TestOnlyLeaseHolderOrders guards against orders from two entries at once, which come about
// when the lease holder is paused or killed or cannot reach the log.
func TestOnlyLeaseHolderOrders(t *testing.T) {
	faults := []struct {
		name  string
		fault func(t *testing.T, f *scalingFleet, holder *ragworttest.Process, term id.Term)
	}{
		{"holder paused past its lease", func(t *testing.T, f *scalingFleet, holder *ragworttest.Process, term id.Term) {
			holder.Signal(t, syscall.SIGSTOP)
			ragworttest.Eventually(t, func() bool { return f.LastGrant(id.DutyOrders).Term > term }, "another entry takes the lease")
			holder.Signal(t, syscall.SIGCONT)
		}},
		{"holder killed, responses lost", func(t *testing.T, f *scalingFleet, holder *ragworttest.Process, term id.Term) {
			f.Platform.SetFaults(standin.PlatformFaults{DropAppendResponses: 4, DropSubmitResponses: 2})
			holder.Kill(t)
			ragworttest.Eventually(t, func() bool { return f.LastGrant(id.DutyOrders).Term > term }, "another entry takes the lease")
		}},
		{"log outage", func(t *testing.T, f *scalingFleet, _ *ragworttest.Process, _ id.Term) {
			f.Platform.SetFaults(standin.PlatformFaults{Outage: true})
			defer f.startLoad(t, f.entries[0])()
			time.Sleep(3 * time.Second) // longer than the lease, while the load needs another upstream
			require.Empty(t, f.Platform.ReceivedOrders(), "orders given during a log outage")
			f.Platform.SetFaults(standin.PlatformFaults{DropAppendResponses: 2})
		}},
	}
	for _, c := range faults {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newScalingFleet(t)
			var holder *ragworttest.Process
			var term id.Term
			ragworttest.Eventually(t, func() bool { holder, term = f.leaseHolder(); return holder != nil }, "an entry holds the lease for orders")
			c.fault(t, f, holder, term)
			other := f.entries[0]
			if other == holder {
				other = f.entries[1]
			}
			stop := f.startLoad(t, other)
			defer stop()
			ragworttest.Eventually(t, func() bool { return f.acceptedOrders(hosting.OrderStart) > 0 }, "an upstream is started after the fault")
			require.Empty(t, ragworttest.OrderViolations(f.Platform.ReceivedOrders()))
		})
	}
}
