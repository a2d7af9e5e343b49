package ragworttest

// This file defines Proxy, which injects network faults between two processes.
//
// Toxiproxy locks all links of a proxy while it adds or removes a fault, which it calls a toxic, and waits
// for each to be interrupted. One whose receiver has just gone waits for that lock, and neither goes on.
// A Proxy has therefore one toxic of its own in each direction from the start, and only tells it what to do.

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// proxyStartTries is how many addresses NewProxy tries.
const proxyStartTries = 10

// Proxy is a TCP proxy that forwards connections to an address and can disturb them.
type Proxy struct {
	t          testing.TB
	proxy      *toxiproxy.Proxy
	directions map[string]*faults
}

// NewProxy starts a proxy in front of an address, such as 127.0.0.1:7000, until the test ends. No
// outgoing connection takes its port while it is disabled.
func NewProxy(t testing.TB, address string) *Proxy {
	t.Helper()
	registerFaults.Do(func() { toxics.Register(faultsToxic, new(faults)) })
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	p := &Proxy{t: t, proxy: toxiproxy.NewProxy(server, t.Name(), FreeAddress(t), address), directions: make(map[string]*faults)}
	for _, direction := range []string{"upstream", "downstream"} {
		wrapper, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(`{"type": "` + faultsToxic + `", "stream": "` + direction + `"}`))
		require.NoError(t, err)
		f, ok := wrapper.Toxic.(*faults)
		require.True(t, ok)
		f.removed, f.dropped, f.silenced = make(chan struct{}), make(chan struct{}), make(chan struct{})
		p.directions[direction] = f
	}
	err := p.proxy.Start()
	for try := 1; err != nil && try < proxyStartTries; try++ { // another test process may have taken the port
		p.proxy.Listen = FreeAddress(t)
		err = p.proxy.Start()
	}
	require.NoError(t, err)
	t.Cleanup(p.proxy.Stop)
	return p
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.proxy.Listen }

// Disable closes every connection and refuses new ones.
func (p *Proxy) Disable() { p.proxy.Stop() }

// Enable accepts connections again after Disable.
func (p *Proxy) Enable() {
	p.t.Helper()
	require.NoError(p.t, p.proxy.Start())
}

// AddLatency delays the data of each response by d.
func (p *Proxy) AddLatency(d time.Duration) { p.directions["downstream"].set(d, false) }

// BlockDirection keeps connections open, but forwards no data in one direction: "upstream" for
// requests or "downstream" for responses.
func (p *Proxy) BlockDirection(direction string) { p.directions[direction].set(0, true) }

// SilenceConnections keeps the present connections open, but forwards nothing on them any more, as
// a box on the way does that has lost its state. New connections work.
func (p *Proxy) SilenceConnections() {
	for _, f := range p.directions {
		f.silence()
	}
}

// RemoveFaults removes the faults of AddLatency and BlockDirection. It closes the connections whose data
// may have been dropped.
func (p *Proxy) RemoveFaults() {
	for _, f := range p.directions {
		f.remove()
	}
}

const faultsToxic = "faults"

var registerFaults sync.Once // as a toxic of toxiproxy

// faults are the present faults of one direction of a proxy. It implements toxics.Toxic and
// toxics.BufferedToxic.
type faults struct {
	mu      sync.Mutex
	latency time.Duration
	blocked bool
	removed chan struct{} // closed when the faults are removed
	dropped chan struct{} // closed when they are, if data was dropped
	// silenced is closed when the present connections fall silent.
	silenced chan struct{}
}

var _ toxics.BufferedToxic = (*faults)(nil)

func (f *faults) set(latency time.Duration, blocked bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latency, f.blocked = max(f.latency, latency), f.blocked || blocked
}

func (f *faults) remove() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.removed)
	f.removed = make(chan struct{})
	if f.blocked {
		close(f.dropped)
		f.dropped = make(chan struct{})
	}
	f.latency, f.blocked = 0, false
}

func (f *faults) silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.silenced)
	f.silenced = make(chan struct{})
}

// now returns dropped and silenced of the faults of now.
func (f *faults) now() (dropped, silenced <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dropped, f.silenced
}

// passes waits as long as data that was read at a time is delayed. It reports false if the data is
// dropped.
func (f *faults) passes(at time.Time) bool {
	f.mu.Lock()
	latency, removed := f.latency, f.removed
	f.mu.Unlock()
	if delay := time.Until(at.Add(latency)); latency > 0 && delay > 0 {
		select {
		case <-time.After(delay):
		case <-removed:
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.blocked
}

// GetBufferSize implements toxics.BufferedToxic: so many pieces of data can be delayed at once.
func (f *faults) GetBufferSize() int { return 1024 }

// Pipe implements toxics.Toxic: it passes on the data of one connection.
func (f *faults) Pipe(stub *toxics.ToxicStub) {
	dropped, silenced := f.now()
	isSilent := false
	for {
		select {
		case <-stub.Interrupt:
			return
		case <-dropped:
			stub.Close()
			for range stub.Input { // until the sender is closed as well
				continue
			}
			return
		case <-silenced:
			isSilent, silenced = true, nil
		case c := <-stub.Input:
			if c == nil {
				stub.Close()
				return
			}
			if !isSilent && f.passes(c.Timestamp) {
				stub.Output <- c
			}
		}
	}
}
