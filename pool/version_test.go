package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
)

// versionPool returns a pool with two upstreams of the version v1 and four of v2.
func versionPool(now time.Time) *pool.Pool {
	p := pool.New(new(catalog.Latest))
	for i := range 6 {
		version := id.Version("v1")
		if i >= 2 {
			version = "v2"
		}
		p.Put(now, pool.Listing{ID: id.Upstream(fmt.Sprint("i-", i)), Service: "desk", Version: version, Slots: 4})
	}
	return p
}

// TestChoiceKeepsToAllowedUpstreams answers a version that is not to get requests, and one that is to get them at few
// upstreams.
func TestChoiceKeepsToAllowedUpstreams(t *testing.T) {
	now := time.Now()
	p := versionPool(now)
	used := map[id.Upstream]bool{}
	for range 100 {
		rq := pool.Request{Service: "desk", Allows: func(l *pool.Listing, _ time.Time) bool { return l.Version == "v2" }, MaxUpstreams: 2}
		a, ok := p.Choose(now, &rq).(*pool.Assignment)
		require.True(t, ok)
		require.Equal(t, id.Version("v2"), a.Upstream.Version)
		used[a.Upstream.ID] = true
	}
	require.Len(t, used, 2)
	rq := pool.Request{Service: "desk", Allows: func(l *pool.Listing, _ time.Time) bool { return l.Version == "v3" }}
	require.IsType(t, &pool.NoUpstream{}, p.Choose(now, &rq))
}

func TestVersionsCountUpstreamsThatTakeRequests(t *testing.T) {
	now := time.Now()
	p := versionPool(now)
	rq := pool.Request{Service: "desk", Allows: func(l *pool.Listing, _ time.Time) bool { return l.ID == "i-0" }}
	_, ok := p.Choose(now, &rq).(*pool.Assignment)
	require.True(t, ok)
	p.Put(now, pool.Listing{ID: "i-0", Service: "desk", Version: "v1", Slots: 4, Draining: true})
	require.Equal(t, map[id.Version]pool.VersionLoad{"v1": {Upstreams: 1, Slots: 4, Running: 1}, "v2": {Upstreams: 4, Slots: 16}}, p.Versions("desk"))
}
