package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
)

// textDecoder decodes records whose values are "version N", "evacuate", or "START SEQUENCE"
// with "draining" if it applies, for a catalog, an evacuation and a listing.
type textDecoder struct{}

func (textDecoder) DecodeChange(r feed.Record) (OperatorChange, error) {
	if r.Key != "config" {
		return &Evacuation{DataCentre: id.DataCentre(r.Key), Active: r.Value != nil}, nil
	}
	c := &catalog.Catalog{Services: map[id.Service]*catalog.Service{"desk": {Name: "desk"}}}
	_, err := fmt.Sscanf(string(r.Value), "version %d", &c.Version)
	return &CatalogChange{Catalog: c}, err
}

func (textDecoder) DecodeListing(r feed.Record) (pool.Listing, error) {
	l := pool.Listing{ID: id.Upstream(r.Key), Service: "desk", Address: "192.0.2.1:80", DataCentre: "th-a"}
	var state string
	_, err := fmt.Sscanf(string(r.Value), "%d %d %s", &l.StartUnixMS, &l.Sequence, &state)
	l.Draining = state == "draining"
	return l, err
}

func records(keysAndValues ...string) (out []feed.Record) {
	for i := 0; i < len(keysAndValues); i += 2 {
		r := feed.Record{Offset: feed.Offset(i / 2), Key: keysAndValues[i]}
		if value := keysAndValues[i+1]; value != "" {
			r.Value = []byte(value)
		}
		out = append(out, r)
	}
	return out
}

// TestRewindKeepsNewerListings replays the content of a store that has lost its last seconds:
// an upstream that was draining, gone or restarted must not be used as it was before.
func TestRewindKeepsNewerListings(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for name, tc := range map[string]struct {
		before, store, later []feed.Record
		used                 []id.Upstream // at once
		usedLater            []id.Upstream // after the records that are written again
	}{
		"draining": {
			before: records("i-1", "7 4 ready", "i-1", "7 5 draining"), store: records("i-1", "7 4 ready"),
			later: records("i-1", "7 6 draining"),
		},
		"gone": {
			before: records("i-1", "7 4 ready", "i-1", ""), store: records("i-1", "7 4 ready"), later: records("i-1", ""),
		},
		"gone and started again": {
			before: records("i-1", "7 4 ready", "i-1", ""), store: records("i-1", "9 1 ready"),
			used: []id.Upstream{"i-1"}, usedLater: []id.Upstream{"i-1"},
		},
		"listed since the copy": {
			before: records("i-1", "7 4 ready"), store: nil, later: records("i-1", "7 5 ready"),
			used: []id.Upstream{"i-1"}, usedLater: []id.Upstream{"i-1"},
		},
		"never back": {
			before: records("i-1", "7 4 ready"), store: nil, used: []id.Upstream{"i-1"},
		},
		"newer than before": {
			before: records("i-1", "7 4 ready"), store: records("i-1", "7 9 draining"),
		},
		"without a version": {
			before: records("i-1", "0 0 ready"), store: records("i-1", "0 0 draining"),
		},
	} {
		t.Run(name, func(t *testing.T) {
			latest := new(catalog.Latest)
			p := pool.New(latest)
			sink := newListingSink(textDecoder{}, p, log.NewNopLogger(), metrics.NewRegistry())
			used := func(now time.Time) (out []id.Upstream) {
				if a, ok := p.Choose(now, &pool.Request{Service: "desk"}).(*pool.Assignment); ok {
					a.End(time.Now())
					out = append(out, a.Upstream.ID)
				}
				return out
			}
			sink.Apply(now, tc.before)
			sink.Recovered(now.Add(time.Second))
			sink.Rewind(now.Add(time.Second), tc.store)
			require.Equal(t, tc.used, used(now.Add(time.Second)))
			sink.Apply(now.Add(2*time.Second), tc.later)
			require.Equal(t, tc.usedLater, used(now.Add(6*time.Second)))
		})
	}
}

// TestRemovedListingIsUsedAfterFullReads guards against an upstream that is removed, some seconds after a return of the
// store, and stays in use because full reads have followed the return.
func TestRemovedListingIsUsedAfterFullReads(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := pool.New(new(catalog.Latest))
	sink := newListingSink(textDecoder{}, p, log.NewNopLogger(), metrics.NewRegistry())
	sink.Apply(now, records("i-1", "7 4 ready", "i-2", "7 4 ready"))
	sink.Recovered(now)
	for range 5 {
		sink.Rewind(now, records("i-1", "7 4 ready", "i-2", "7 4 ready"))
		now = now.Add(time.Second)
	}
	sink.Apply(now, records("i-2", ""))
	require.Equal(t, []id.Upstream{"i-1"}, p.Upstreams())
}

// TestRewindKeepsNewerChanges does the same with an older catalog, an evacuation that has
// ended and one that the store has lost. Replace believes the store again.
func TestRewindKeepsNewerChanges(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	latest := new(catalog.Latest)
	p := pool.New(latest)
	sink := newOperatorSink(textDecoder{}, latest, p, log.NewNopLogger(), metrics.NewRegistry())
	sink.Apply(now, records("config", "version 3", "th-a", "evacuate"))
	copied := records("config", "version 3", "th-a", "evacuate")
	sink.Apply(now, records("config", "version 8", "th-a", "", "th-b", "evacuate"))

	sink.Rewind(now, copied)
	require.Equal(t, catalog.Version(8), latest.Load().Version)
	require.Equal(t, []id.DataCentre{"th-b"}, p.Evacuated())
	sink.Rewind(now, append(copied, records("th-c", "evacuate")...)) // begun since: not seen before
	require.ElementsMatch(t, []id.DataCentre{"th-b", "th-c"}, p.Evacuated())

	sink.Replace(now, copied)
	require.Equal(t, catalog.Version(8), latest.Load().Version, "a catalog never goes back")
	require.Equal(t, []id.DataCentre{"th-a"}, p.Evacuated())
}

// countingDecoder counts the records that it decodes.
type countingDecoder struct {
	textDecoder
	decoded *int
}

func (d countingDecoder) DecodeChange(r feed.Record) (OperatorChange, error) {
	*d.decoded++
	return d.textDecoder.DecodeChange(r)
}

// TestSeriesOfConfigurationsDelaysTheLast guards against decoding each of a series of large configurations
// that are read together, and against losing one that counts because a later one does not.
func TestSeriesOfConfigurationsDelaysTheLast(t *testing.T) {
	for name, tc := range map[string]struct {
		page    []feed.Record
		version catalog.Version
		decoded int
	}{
		"a series":                     {records("config", "version 5", "config", "version 7", "config", "version 8", "config", "version 11"), 11, 1},
		"the last one cannot be read":  {records("config", "version 5", "config", "version 7", "config", "nonsense"), 7, 2},
		"the last one is an older one": {records("config", "version 5", "config", "version 9", "config", "version 2"), 9, 2},
		"other keys between":           {records("config", "version 5", "th-a", "on", "config", "version 6", "th-a", ""), 6, 2},
	} {
		t.Run(name, func(t *testing.T) {
			var decoded int
			current := new(catalog.Latest)
			p := pool.New(current)
			sink := newOperatorSink(countingDecoder{decoded: &decoded}, current, p, log.NewNopLogger(), metrics.NewRegistry())
			now := time.Unix(1_800_000_000, 0)
			sink.Apply(now, records("config", "version 3"))
			decoded = 0
			sink.Apply(now, tc.page)
			require.Equal(t, tc.version, current.Load().Version)
			require.Equal(t, tc.decoded, decoded)
			require.Empty(t, p.Evacuated())
		})
	}
}
