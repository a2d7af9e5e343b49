package gateway

// This file defines the gauges of what is known of the pace of upstreams.

import (
	"maps"

	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
)

// paceGauges keeps two gauges for each upstream that is known.
type paceGauges struct {
	registry metrics.Registry
	shown    map[id.Upstream][]string // names of gauges
}

func newPaceGauges(registry metrics.Registry) *paceGauges {
	return &paceGauges{registry: registry, shown: make(map[id.Upstream][]string)}
}

// update shows the present paces, and no longer those of upstreams that have gone.
func (g *paceGauges) update(paces map[id.Upstream]pool.KnownPace) {
	for u, p := range paces {
		names := g.shown[u]
		if names == nil {
			names = []string{"upstream_pace_" + string(u), "upstream_pace_samples_" + string(u)}
			g.shown[u] = names
		}
		for i, value := range []float64{float64(p.Pace), p.Samples} {
			metrics.GetOrRegisterGaugeFloat64(names[i], g.registry).Update(value)
		}
	}
	for u := range maps.Clone(g.shown) {
		if _, known := paces[u]; !known {
			for _, name := range g.shown[u] {
				g.registry.Unregister(name)
			}
			delete(g.shown, u)
		}
	}
}
