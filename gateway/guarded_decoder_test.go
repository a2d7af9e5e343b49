package gateway

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/pool"
)

// brokenDecoder panics on records with the key "broken" and reads a catalog in all others.
type brokenDecoder struct{}

func (brokenDecoder) DecodeChange(r feed.Record) (OperatorChange, error) {
	if r.Key == "broken" {
		panic("index out of range")
	}
	return &CatalogChange{Catalog: &catalog.Catalog{Version: 7}}, nil
}

func (brokenDecoder) DecodeListing(r feed.Record) (pool.Listing, error) { panic(r.Key) }

// TestPanicOfDecoderIsAnUnreadableRecord applies a record at which the decoder panics. It must be counted as
// unreadable, and the record after it must be applied.
func TestPanicOfDecoderIsAnUnreadableRecord(t *testing.T) {
	registry, current := metrics.NewRegistry(), new(catalog.Latest)
	sink := newOperatorSink(guardedDecoder{brokenDecoder{}}, current, pool.New(current), log.NewNopLogger(), registry)
	sink.Apply(time.Now(), []feed.Record{{Key: "broken", Offset: 1}, {Key: "config", Offset: 2}})
	require.Equal(t, catalog.Version(7), current.Load().Version)
	require.Equal(t, int64(1), metrics.GetOrRegisterCounter("record_unreadable", registry).Count())
	_, err := guardedDecoder{brokenDecoder{}}.DecodeListing(feed.Record{Key: "i-1"})
	require.ErrorContains(t, err, "panic in decode_listing: i-1")
}
