package pool

// This file defines the rate limit of cold upstreams. When a whole data centre comes back, every
// gateway sees the same idle upstreams, and all gateways together must stay below the rate at
// which a cold upstream fails.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/quota"
)

const (
	// coldRateShare is the fraction of the rate limit of a cold upstream that all gateways
	// together use. The rest is a margin for the moments in which gateways disagree about
	// who of them is alive.
	coldRateShare = 0.7
	// coldSlotUsable is how long a slot of a cold upstream may be used. It is short so that slots
	// that were left unused are not all used when a surge begins.
	coldSlotUsable = 500 * time.Millisecond
	// unknownSlotUsable is the same for upstreams that may be cold, whose whole rate limit is used.
	unknownSlotUsable = 250 * time.Millisecond
)

// coldRate returns the rate that the gateways share if an upstream is cold. After the end of an
// evacuation, the upstreams of the data centre count as cold for the cold duration of their
// service, since they may have been restarted meanwhile. While the views of the platform's topics are
// outdated, any upstream may have become cold. The caller holds the lock.
func (p *Pool) coldRate(now time.Time, u *upstreamState) (rate quota.Rate, cold bool) {
	config := p.serviceConfig(u.Service)
	if config == nil || config.Cold.RequestsPerSecond <= 0 {
		return quota.Rate{}, false
	}
	if !now.Before(u.coldUntil) && !now.Before(p.evacuationEndedAt[u.DataCentre].Add(config.Cold.Duration)) {
		if !p.viewsOutdated {
			return quota.Rate{}, false
		}
		return quota.Rate{Key: ^u.hashOrder, PerSecond: id.PerSecond(config.Cold.RequestsPerSecond), Usable: unknownSlotUsable, Burst: true}, true
	}
	return quota.Rate{Key: ^u.hashOrder, PerSecond: id.PerSecond(config.Cold.RequestsPerSecond * coldRateShare), Usable: coldSlotUsable}, true
}
