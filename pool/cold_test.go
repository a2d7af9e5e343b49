package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/quota"
)

// TestExtremeColdRates guards against a gateway that panics, or sends without a limit, because the
// interval between two requests to a cold upstream is no time.Duration.
func TestExtremeColdRates(t *testing.T) {
	for _, tc := range []struct {
		rate    float64
		limited bool
	}{{1e10, false}, {1e300, false}, {1e-9, true}, {1e-300, true}} {
		latest := new(catalog.Latest)
		latest.Update(&catalog.Catalog{Version: 1, Services: map[id.Service]*catalog.Service{modelService: {Name: modelService, Cold: catalog.ColdLimit{Duration: time.Hour, RequestsPerSecond: tc.rate}}}})
		p := pool.New(latest)
		p.SetFleet(quota.NewFleet("gateway-0", nodes(1000), now, now))
		l := listing(1)
		l.ColdFor = time.Hour
		p.Put(now, l)
		taken := 0
		for i := range 100 {
			switch d := p.Choose(now.Add(time.Duration(i+1)*10*time.Second), &pool.Request{Service: modelService}).(type) {
			case *pool.Assignment:
				taken++
				d.End(now)
			case *pool.Throttled:
				require.True(t, d.Until.After(now), tc.rate)
			}
		}
		if tc.limited {
			require.LessOrEqual(t, taken, 1, tc.rate)
		} else {
			require.Equal(t, 100, taken, tc.rate)
		}
	}
}

// TestOutdatedViewsLimitRates has gateways lose the platform's topics while their upstreams get many requests: an
// upstream that becomes cold unnoticed must not get more than a cold one bears.
func TestOutdatedViewsLimitRates(t *testing.T) {
	const (
		gateways  = 5
		perSecond = 24.0
		bearable  = 41 // 1.5 times as many and 5, as the users bound it for one second
	)
	latest := new(catalog.Latest)
	latest.Update(&catalog.Catalog{Version: 1, Services: map[id.Service]*catalog.Service{modelService: {Name: modelService, Cold: catalog.ColdLimit{Duration: 3 * time.Second, RequestsPerSecond: perSecond}}}})
	var pools []*pool.Pool
	for i := range gateways {
		p := pool.New(latest)
		p.SetFleet(quota.NewFleet(nodes(gateways)[i], nodes(gateways), now, now))
		p.Put(now, listing(1))
		pools = append(pools, p)
	}
	send := func(from, length time.Duration) (most int) {
		var sent []time.Duration
		for at := from; at < from+length; at += time.Millisecond {
			p := pools[int(at/time.Millisecond)%gateways]
			if a, ok := p.Choose(now.Add(at), &pool.Request{Service: modelService}).(*pool.Assignment); ok {
				a.End(now.Add(at))
				sent = append(sent, at)
			}
			for len(sent) > 0 && sent[0] <= at-time.Second {
				sent = sent[1:]
			}
			most = max(most, len(sent))
		}
		return most
	}
	require.Greater(t, send(0, 2*time.Second), bearable, "without a limit")
	for _, p := range pools {
		p.SetViewsOutdated(true)
	}
	limited := send(2*time.Second, 5*time.Second)
	require.LessOrEqual(t, limited, bearable)
	require.Greater(t, limited, 20, "what a cold upstream bears is used")
	for _, p := range pools {
		p.SetViewsOutdated(false)
	}
	require.Greater(t, send(7*time.Second, 2*time.Second), bearable, "without a limit")
}
