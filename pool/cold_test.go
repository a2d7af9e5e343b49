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
