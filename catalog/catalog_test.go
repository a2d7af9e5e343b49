package catalog_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
)

func priority(n int) *int { return &n }

// TestUrgencyOrdersByWorkspaceThenRoute guards against engines that preempt the wrong
// request under the load of a large workspace with many urgent requests: among workspaces
// of the same priority, the priority of the route must still distinguish urgent requests
// from patient ones.
func TestUrgencyOrdersByWorkspaceThenRoute(t *testing.T) {
	first, second := &catalog.Workspace{Name: "first", Priority: priority(0)}, &catalog.Workspace{Name: "second", Priority: priority(1)}
	c := &catalog.Catalog{
		Workspaces: map[string]*catalog.Workspace{"k1": first, "k2": second},
		Routes:     []catalog.Route{{Name: "urgent", Priority: 0}, {Name: "middle", Priority: 1}, {Name: "patient", Priority: 2}},
	}
	c.Index()
	var got []int
	for _, w := range []*catalog.Workspace{first, second} {
		for i := range c.Routes {
			got = append(got, c.Urgency(w, &c.Routes[i], 9))
		}
	}
	require.Equal(t, []int{0, 1, 2, 3, 4, 5}, got)
	require.Equal(t, 0, c.Urgency(nil, &c.Routes[0], 9))
}

// TestUrgencyScalesManyPriorities guards against urgencies out of range or out of order if
// there are more pairs of priorities than values: neighbouring pairs must share values.
func TestUrgencyScalesManyPriorities(t *testing.T) {
	c := &catalog.Catalog{Workspaces: map[string]*catalog.Workspace{}}
	for i := range 12 {
		c.Workspaces[fmt.Sprint("k", i)] = &catalog.Workspace{Priority: priority(i)}
		c.Routes = append(c.Routes, catalog.Route{Priority: i})
	}
	c.Index()
	last := -1
	for i := range 12 {
		for j := range c.Routes {
			urgency := c.Urgency(c.Workspaces[fmt.Sprint("k", i)], &c.Routes[j], 9)
			require.GreaterOrEqual(t, urgency, last)
			require.LessOrEqual(t, urgency, 9)
			last = urgency
		}
	}
	require.Equal(t, 9, last)
}

func TestRouteMatchesLongestPrefix(t *testing.T) {
	c := &catalog.Catalog{Routes: []catalog.Route{
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/"},
	}}
	c.Index()
	for _, tc := range []struct {
		host, path string
		want       id.Route
	}{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example:80", "/x/y/", "long"},
		{"a.example", "/x", ""},
		{"a.example", "/z/", ""},
		{"b.example", "/anything", "other"},
		{"c.example", "/x/", ""},
	} {
		r := c.Route(tc.host, tc.path)
		if tc.want == "" {
			require.Nil(t, r, "%s%s", tc.host, tc.path)
			continue
		}
		require.NotNil(t, r, "%s%s", tc.host, tc.path)
		require.Equal(t, tc.want, r.Name)
	}
}

func TestPickServiceFollowsWeights(t *testing.T) {
	r := catalog.Route{Services: []catalog.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[id.Service]int{}
	for i := range 1000 {
		counts[r.PickService(float64(i)/1000)]++
	}
	require.Equal(t, map[id.Service]int{"a": 900, "b": 100}, counts)
}

func TestLatestNeverGoesBack(t *testing.T) {
	var latest catalog.Latest
	require.Nil(t, latest.Load())
	require.True(t, latest.Update(&catalog.Catalog{Version: 7}))
	require.False(t, latest.Update(&catalog.Catalog{Version: 7}))
	require.False(t, latest.Update(&catalog.Catalog{Version: 3}))
	require.True(t, latest.Update(&catalog.Catalog{Version: 20}))
	require.Equal(t, catalog.Version(20), latest.Load().Version)
}

func TestShortestEventGap(t *testing.T) {
	c := &catalog.Catalog{Routes: []catalog.Route{
		{MaxEventGap: 800 * time.Millisecond, Services: []catalog.WeightedService{{Service: "m", Weight: 1}}},
		{MaxEventGap: 200 * time.Millisecond, Services: []catalog.WeightedService{{Service: "m", Weight: 1}}},
		{Services: []catalog.WeightedService{{Service: "m", Weight: 1}}},
	}}
	c.Index()
	require.Equal(t, 200*time.Millisecond, c.ShortestEventGap("m"))
	require.Zero(t, c.ShortestEventGap("other"))
}
