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

const planRules = `
model name=temper-70b context=32768                                        # test
class name=counter tier=platinum ttft=750ms gap=40ms wait=20s deadline=60s # test
route name=chat classes=counter                                            # test
workspace name=nan-forge share=1                                           # test
upstream model=temper-70b concurrency=2 initial=2 fencing=checks           # test
fleet model=temper-70b data_centre=th-a min=1 max=2                        # test
`

// planned is a data centre with one upstream that runs, one spare, and three
// entries that stand for the orders.
type planned struct {
	*ragworttest.Fleet
	entries []*ragworttest.Process
	key     string
}

func newPlanned(t *testing.T) *planned {
	p := &planned{Fleet: ragworttest.NewFleet(t)}
	p.PublishRules(planRules)
	p.key, _ = p.GiveKey("nan-forge")
	for _, name := range []string{"s1", "s2"} {
		cfg := standin.DefaultEngineConfig()
		cfg.TokenGap = 50 * time.Millisecond
		g, url := p.StartEngine(cfg)
		g.MakeWarm()
		s := p.StartSidecar(name, "th-a", url, "--models=temper-70b")
		vm := hosting.VM{ID: s.Node, Role: "sidecar", DataCentre: "th-a", Address: s.Address, State: hosting.VMLive}
		p.Platform.AddSpareVM(standin.SpareVM{VM: vm, Upstream: id.Upstream("u-" + name), Model: "temper-70b", Started: name == "s1"})
		if name == "s2" {
			p.Platform.RemoveVM(time.Now(), vm.ID)
		}
		s.WaitReady(t)
	}
	for _, name := range []string{"e0", "e1", "e2"} {
		p.entries = append(p.entries, p.StartEntry(name, "th-a", "--lease-ttl=1s", "--fleet-every=100ms", "--fleet-steady=300ms",
			"--fleet-hold=1s", "--fleet-settle=3s"))
	}
	for _, e := range p.entries {
		e.WaitReady(t)
	}
	return p
}

// load keeps an upstream's slots taken until stop is called.
func (p *planned) load(t *testing.T, e *ragworttest.Process) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			c := client(e, p.key)
			for ctx.Err() == nil {
				_, _ = c.Chat.Completions.New(ctx, chat("x"))
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// taken returns the orders of a kind that the platform has taken.
func (p *planned) taken(kind hosting.OrderKind) int {
	n := 0
	for _, o := range p.Platform.ReceivedOrders() {
		if o.Accepted && o.Order.Kind == kind {
			n++
		}
	}
	return n
}

func (p *planned) holder() (e *ragworttest.Process, term id.Term) {
	g := p.LastGrant(id.DutyOrders)
	for _, e := range p.entries {
		if strings.HasPrefix(string(g.Holder), string(e.Node)+"_") && !g.Released {
			return e, g.Term
		}
	}
	return nil, 0
}

func TestFleetFollowsDemand(t *testing.T) {
	p := newPlanned(t)
	stop := p.load(t, p.entries[0])
	ragworttest.Eventually(t, func() bool { return p.taken(hosting.OrderStart) > 0 }, "an upstream is started")
	stop()
	ragworttest.Eventually(t, func() bool { return p.taken(hosting.OrderStop) > 0 }, "an upstream is stopped")
	require.Empty(t, ragworttest.OrderViolations(p.Platform.ReceivedOrders()))
	started := 0
	for _, s := range p.Platform.SpareVMs() {
		if s.Started {
			started++
		}
	}
	require.Equal(t, 1, started)
}

func TestNoOrdersFromTwo(t *testing.T) {
	faults := []struct {
		name  string
		fault func(t *testing.T, p *planned, held *ragworttest.Process, term id.Term)
	}{
		{"holder paused past its lease", func(t *testing.T, p *planned, held *ragworttest.Process, term id.Term) {
			held.Signal(t, syscall.SIGSTOP)
			ragworttest.Eventually(t, func() bool { return p.LastGrant(id.DutyOrders).Term > term }, "a successor")
			held.Signal(t, syscall.SIGCONT)
		}},
		{"holder killed, answers lost", func(t *testing.T, p *planned, held *ragworttest.Process, term id.Term) {
			p.Platform.SetFaults(standin.PlatformFaults{DropAppendResponses: 4, DropSubmitResponses: 2})
			held.Kill(t)
			ragworttest.Eventually(t, func() bool { return p.LastGrant(id.DutyOrders).Term > term }, "a successor")
		}},
		{"log outage", func(t *testing.T, p *planned, _ *ragworttest.Process, _ id.Term) {
			p.Platform.SetFaults(standin.PlatformFaults{Outage: true})
			defer p.load(t, p.entries[0])()
			time.Sleep(3 * time.Second) // past the lease, with a need for another upstream
			require.Empty(t, p.Platform.ReceivedOrders(), "no log, no orders")
			p.Platform.SetFaults(standin.PlatformFaults{DropAppendResponses: 2})
		}},
	}
	for _, c := range faults {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newPlanned(t)
			var held *ragworttest.Process
			var term id.Term
			ragworttest.Eventually(t, func() bool { held, term = p.holder(); return held != nil }, "a holder")
			c.fault(t, p, held, term)
			other := p.entries[0]
			if other == held {
				other = p.entries[1]
			}
			stop := p.load(t, other)
			defer stop()
			ragworttest.Eventually(t, func() bool { return p.taken(hosting.OrderStart) > 0 }, "orders go on")
			require.Empty(t, ragworttest.OrderViolations(p.Platform.ReceivedOrders()))
		})
	}
}
