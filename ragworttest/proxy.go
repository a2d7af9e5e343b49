package ragworttest

// This file defines Proxy, which injects faults between two processes.

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

// Proxy passes connections on to an address until it is told otherwise.
type Proxy struct {
	t     testing.TB
	proxy *toxiproxy.Proxy
}

// NewProxy starts a proxy before an address, such as 127.0.0.1:7000.
func NewProxy(t testing.TB, address string) *Proxy {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	p := &Proxy{t: t, proxy: toxiproxy.NewProxy(server, t.Name(), "127.0.0.1:0", address)}
	require.NoError(t, p.proxy.Start())
	t.Cleanup(p.proxy.Stop)
	return p
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.proxy.Listen }

// Disable ends every connection and refuses new ones.
func (p *Proxy) Disable() { p.proxy.Stop() }

// Enable undoes Disable.
func (p *Proxy) Enable() {
	p.t.Helper()
	require.NoError(p.t, p.proxy.Start())
}

// AddLatency delays each answer.
func (p *Proxy) AddLatency(d time.Duration) {
	p.t.Helper()
	p.toxic("latency", "downstream", fmt.Sprintf(`{"latency": %d}`, d.Milliseconds()))
}

// BlockDirection keeps connections open and lets nothing through in one direction, which
// is upstream or downstream.
func (p *Proxy) BlockDirection(direction string) {
	p.t.Helper()
	p.toxic("timeout", direction, `{"timeout": 0}`)
}

func (p *Proxy) toxic(kind, direction, attributes string) {
	p.t.Helper()
	_, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(
		fmt.Sprintf(`{"type": %q, "stream": %q, "attributes": %s}`, kind, direction, attributes)))
	require.NoError(p.t, err)
}

// RemoveFaults undoes AddLatency and BlockDirection.
func (p *Proxy) RemoveFaults() { p.proxy.Toxics.ResetToxics(context.Background()) }
