package main

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/setting"
	"github.com/ragwortpass/ragwortpass/standin"
)

// rolloutBench is a store with a service, and the output of commands.
type rolloutBench struct {
	t     *testing.T
	store *standin.Store
	flag  storeFlag
	env   *commandEnv
	out   *bytes.Buffer
}

func newRolloutBench(t *testing.T) *rolloutBench {
	b := &rolloutBench{t: t, store: standin.NewStore(), out: &bytes.Buffer{}}
	b.env = &commandEnv{out: b.out}
	server := httptest.NewServer(b.store.Handler())
	t.Cleanup(server.Close)
	b.flag.Store = strings.TrimPrefix(server.URL, "http://")
	require.NoError(t, b.store.PutCatalog(&catalog.Catalog{Version: 1, Services: map[id.Service]*catalog.Service{"desk": {Name: "desk"}}}))
	require.NoError(t, b.store.PutListing(pool.Listing{ID: "i-1", Service: "desk", Address: "127.0.0.1:1", DataCentre: "th-a", Version: "v1"}))
	return b
}

// order orders a roll-out of the service.
func (b *rolloutBench) order(target string, replace bool) error {
	return (&rolloutOrder{storeFlag: b.flag, Service: "desk", Target: target, Within: 12 * time.Second, Replace: replace}).Run(b.env)
}

// show returns what is shown of a service.
func (b *rolloutBench) show(service string) string {
	b.out.Reset()
	require.NoError(b.t, (&rolloutShow{storeFlag: b.flag, Service: service}).Run(b.env))
	return b.out.String()
}

func (b *rolloutBench) putStatus(text string) {
	b.store.Put(standin.StatusTopic, standin.RolloutKey("desk"), []byte(text))
}

// TestRollout orders, shows, replaces and withdraws a roll-out.
func TestRollout(t *testing.T) {
	b := newRolloutBench(t)
	require.Empty(t, b.show(""))
	require.Equal(t, "service=desk upstreams[v1]=1\n", b.show("desk"))
	require.NoError(t, b.order("v2", false))
	require.Equal(t, "service=desk target=v2 within=12s upstreams[v1]=1\n", b.show(""))
	require.NoError(t, b.order("v2", false)) // it is there
	written := b.store.Len(standin.OperatorsTopic)
	err := b.order("v3", false)
	require.EqualError(t, err, "service desk: its roll-out to v2 has not ended: wait, withdraw it, or replace it")
	require.Equal(t, exitConflict, exitCode(err))
	require.Equal(t, written, b.store.Len(standin.OperatorsTopic))
	require.NoError(t, b.order("v3", true))
	b.putStatus(`{"State":"rolled_back","Target":"v3"}`)
	require.Contains(t, b.show("desk"), "target=v3 within=12s state=rolled_back state_target=v3")
	require.NoError(t, b.order("v4", false)) // the one before has ended
	require.NoError(t, (&rolloutWithdraw{storeFlag: b.flag, Service: "desk"}).Run(b.env))
	require.Equal(t, "service=desk state=rolled_back state_target=v3 upstreams[v1]=1\n", b.show("desk"))
	require.EqualError(t, (&rolloutWithdraw{storeFlag: b.flag, Service: "desk"}).Run(b.env), `service "desk" has no order of a roll-out`)
}

// TestRolloutStep shows what gateways have recorded of the order, but not of an order before.
func TestRolloutStep(t *testing.T) {
	b := newRolloutBench(t)
	require.NoError(t, b.order("v2", false))
	record := func(state, reason string) {
		b.store.Put(standin.StatusTopic, "rollout-record/desk", fmt.Appendf(nil,
			`{"service":"desk","target":"v2","order":1,"state":%q,"reason":%q,"started":"2026-12-07T04:00:00Z","at":"2026-12-07T04:00:07Z","by":"entry-1"}`, state, reason))
	}
	record("canary", "ordered")
	require.Contains(t, b.show(""), " step=canary reason=ordered by=entry-1 at=2026-12-07T04:00:07Z")
	require.Error(t, b.order("v3", false))
	record("rolled_back", "failing")
	require.Contains(t, b.show(""), " step=rolled_back reason=failing")
	require.NoError(t, b.order("v2", false)) // again
	require.NotContains(t, b.show(""), "step=")
	b.store.Put(standin.StatusTopic, "rollout-record/desk", []byte("no record"))
	require.Contains(t, b.show(""), "status_fault=")
}

// TestOrderOfLostAnswer orders a roll-out while answers of the store are lost: it is there in the end, once.
func TestOrderOfLostAnswer(t *testing.T) {
	b := newRolloutBench(t)
	before := b.store.Len(standin.OperatorsTopic)
	b.store.SetFaults(standin.StoreFaults{DropResponses: 1})
	require.NoError(t, b.order("v2", false))
	require.Equal(t, before+1, b.store.Len(standin.OperatorsTopic))
	b.store.SetFaults(standin.StoreFaults{DropResponses: 1})
	require.NoError(t, (&rolloutWithdraw{storeFlag: b.flag, Service: "desk"}).Run(b.env))
	require.Equal(t, before+2, b.store.Len(standin.OperatorsTopic))
}

// TestRolloutOfBadInput gives each command what it cannot use.
func TestRolloutOfBadInput(t *testing.T) {
	b := newRolloutBench(t)
	written := b.store.Len(standin.OperatorsTopic)
	for _, c := range []struct {
		order rolloutOrder
		want  string
	}{
		{rolloutOrder{b.flag, "desk", "v 2", time.Minute, false}, `--target: bad value "v 2": expected 1 to 240 bytes without spaces`},
		{rolloutOrder{b.flag, "", "v2", time.Minute, false}, `--service: bad value ""`},
		{rolloutOrder{b.flag, "desk", strings.Repeat("v", 241), time.Minute, false}, `--target: bad value`},
		{rolloutOrder{b.flag, "desk", "v2", 0, false}, `--within: bad value "0s": expected a time from 1ms to a year, such as 10m`},
		{rolloutOrder{storeFlag{"store"}, "desk", "v2", time.Minute, false}, `--store: bad value "store": expected IP:port`},
	} {
		err := c.order.Run(b.env)
		require.ErrorContains(t, err, c.want)
		require.Equal(t, setting.ExitBadSettings, exitCode(err))
	}
	err := (&rolloutOrder{b.flag, "nowhere", "v2", time.Minute, false}).Run(b.env)
	require.EqualError(t, err, `unknown service "nowhere": expected one of [desk]`)
	require.Equal(t, setting.ExitFailure, exitCode(err))
	require.ErrorContains(t, (&rolloutShow{b.flag, "nowhere"}).Run(b.env), `unknown service "nowhere"`)
	require.Equal(t, written, b.store.Len(standin.OperatorsTopic))
	b.store.SetFaults(standin.StoreFaults{Status: 403})
	require.ErrorContains(t, (&rolloutOrder{b.flag, "desk", "v2", time.Minute, false}).Run(b.env), "status 403")
}

// TestRolloutRecordsThatCannotBeRead shows what is wrong with records of others, and withdraws such an order.
func TestRolloutRecordsThatCannotBeRead(t *testing.T) {
	b := newRolloutBench(t)
	for text, want := range map[string]string{
		`no order`:                         "expected a JSON object",
		`{"Service":"desk","Target":"v2"}`: "DurationS",
		`{"Service":"other","Target":"v2","DurationS":1}`: "Service",
		`{"Service":"desk","Target":{},"DurationS":1}`:    "Target: {}",
	} {
		b.store.Put(standin.OperatorsTopic, standin.RolloutKey("desk"), []byte(text))
		shown := b.show("")
		require.Contains(t, shown, "order_fault=")
		require.Contains(t, shown, want)
	}
	b.putStatus(`{"State":7}`)
	require.Contains(t, b.show(""), "status_fault=")
	require.NoError(t, (&rolloutWithdraw{storeFlag: b.flag, Service: "desk"}).Run(b.env))
	require.NotContains(t, b.show(""), "order_fault=")
}
