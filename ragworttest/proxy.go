package ragworttest

// This file defines Proxy, which injects network faults between two processes.

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// Proxy is a TCP proxy that forwards connections to an address and can disturb them.
type Proxy struct {
	t     testing.TB
	proxy *toxiproxy.Proxy
}

// NewProxy starts a proxy in front of an address, such as 127.0.0.1:7000, until the test ends.
func NewProxy(t testing.TB, address string) *Proxy {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	p := &Proxy{t: t, proxy: toxiproxy.NewProxy(server, t.Name(), "127.0.0.1:0", address)}
	require.NoError(t, p.proxy.Start())
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
func (p *Proxy) AddLatency(d time.Duration) {
	p.t.Helper()
	p.addToxic("latency", "downstream", fmt.Sprintf(`{"latency": %d}`, d.Milliseconds()))
}

// BlockDirection keeps connections open, but forwards no data in one direction: "upstream" for
// requests or "downstream" for responses.
func (p *Proxy) BlockDirection(direction string) {
	p.t.Helper()
	p.addToxic("timeout", direction, `{"timeout": 0}`)
}

// addToxic adds a fault, which toxiproxy calls a toxic.
func (p *Proxy) addToxic(kind, direction, attributes string) {
	p.t.Helper()
	_, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(
		fmt.Sprintf(`{"type": %q, "stream": %q, "attributes": %s}`, kind, direction, attributes)))
	require.NoError(p.t, err)
}

// RemoveFaults removes the faults of AddLatency and BlockDirection.
func (p *Proxy) RemoveFaults() { p.proxy.Toxics.ResetToxics(context.Background()) }
