package gateway

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/rollout"
)

// orderDecoder decodes records whose keys are services and whose values are versions, for orders. A
// value of "?" is invalid.
type orderDecoder struct{ textDecoder }

func (orderDecoder) DecodeChange(r feed.Record) (OperatorChange, error) {
	c := &RolloutChange{Service: id.Service(r.Key), Offset: r.Offset}
	switch {
	case string(r.Value) == "?":
		c.Invalid = errors.New("not an order")
	case r.Value != nil:
		c.Order = &rollout.Order{Service: c.Service, Target: id.Version(r.Value), Duration: 20 * time.Second, Offset: r.Offset}
	}
	return c, nil
}

// newOrderSink returns a sink with a register, and its log.
func newOrderSink() (*operatorSink, *rollout.Register, *strings.Builder) {
	logged := new(strings.Builder)
	logger, registry := log.NewLogfmtLogger(logged), metrics.NewRegistry()
	current := new(catalog.Latest)
	sink := newOperatorSink(orderDecoder{}, current, pool.New(current), logger, registry)
	register := rollout.New(rollout.Config{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}, func() float64 { return 0 })
	sink.rollouts = &rolloutOrders{register: register, fleetTime: time.Now, logger: logger, registry: registry, latest: make(map[id.Service]feed.Offset)}
	return sink, register, logged
}

// requireOrder fails unless the newest order of a service is for a target, and stands or not.
func requireOrder(t *testing.T, register *rollout.Register, service id.Service, target id.Version, stands bool) {
	t.Helper()
	o, ok := register.Known(service)
	require.Equal(t, target, o.Target)
	require.Equal(t, stands, ok)
}

func TestOrdersAreTakenUpAndWithdrawn(t *testing.T) {
	sink, register, logged := newOrderSink()
	now := time.Now()
	sink.Apply(now, records("ledger", "v2", "desk", "v5"))
	requireOrder(t, register, "ledger", "v2", true)
	requireOrder(t, register, "desk", "v5", true)
	sink.Apply(now, []feed.Record{{Offset: 7, Key: "ledger", Value: []byte("v3")}})
	requireOrder(t, register, "ledger", "v3", true)
	require.Contains(t, logged.String(), "supersedes=0 superseded_target=v2")
	sink.Apply(now, []feed.Record{{Offset: 8, Key: "ledger"}})
	requireOrder(t, register, "ledger", "v3", false)
	sink.Replace(now, nil)
	requireOrder(t, register, "desk", "v5", false)
}

// TestUnreadableOrderLeavesTheOneBefore answers a malformed order, in a series and in a full read.
func TestUnreadableOrderLeavesTheOneBefore(t *testing.T) {
	sink, register, logged := newOrderSink()
	sink.Apply(time.Now(), records("ledger", "v2", "ledger", "?"))
	requireOrder(t, register, "ledger", "v2", true)
	require.Contains(t, logged.String(), `event=record_unreadable key=ledger offset=1 err="not an order"`)
	sink.Replace(time.Now(), records("ledger", "?"))
	requireOrder(t, register, "ledger", "v2", true)
}

// TestOlderStoreBringsNoOrderBack answers a store that comes back without the last records.
func TestOlderStoreBringsNoOrderBack(t *testing.T) {
	sink, register, logged := newOrderSink()
	now := time.Now()
	sink.Apply(now, records("ledger", "v2", "ledger", "v3", "desk", "v5", "till", "v7", "till", ""))
	sink.Apply(now, []feed.Record{{Offset: 5, Key: "desk"}})
	sink.Rewind(now, []feed.Record{
		{Offset: 0, Key: "ledger", Value: []byte("v2")}, {Offset: 2, Key: "desk", Value: []byte("v5")}, {Offset: 3, Key: "till", Value: []byte("v7")},
	})
	requireOrder(t, register, "ledger", "v3", true)
	requireOrder(t, register, "desk", "v5", false)
	requireOrder(t, register, "till", "", false)
	require.Equal(t, 3, strings.Count(logged.String(), "event=rollout_held"))
}

// TestOrdersAreIgnoredWithoutBounds answers a platform whose settings have no bounds for roll-outs.
func TestOrdersAreIgnoredWithoutBounds(t *testing.T) {
	sink, _, _ := newOrderSink()
	sink.rollouts = nil
	sink.Apply(time.Now(), records("ledger", "v2", "ledger", ""))
	sink.Replace(time.Now(), records("ledger", "v2"))
	sink.Rewind(time.Now(), records("ledger", "v2"))
}
