package gateway

import (
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pace"
	"github.com/ragwortpass/ragwortpass/pool"
)

// TestGaugesOfGoneUpstreamsEnd guards against gauges that pile up as upstreams are replaced.
func TestGaugesOfGoneUpstreamsEnd(t *testing.T) {
	registry := metrics.NewRegistry()
	g := newPaceGauges(registry)
	g.update(map[id.Upstream]pool.KnownPace{"i-1": {Pace: 2, Samples: 7}, "i-2": {Pace: pace.Even}})
	require.InDelta(t, 2, registry.Get("upstream_pace_i-1").(metrics.GaugeFloat64).Value(), 0)
	require.InDelta(t, 7, registry.Get("upstream_pace_samples_i-1").(metrics.GaugeFloat64).Value(), 0)
	g.update(map[id.Upstream]pool.KnownPace{"i-2": {Pace: pace.Even}})
	require.Len(t, registry.GetAll(), 2)
	require.Nil(t, registry.Get("upstream_pace_i-1"))
}
